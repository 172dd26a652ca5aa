// Package admit counts the tokens served to each row of the table and orders the rows for fair serving.
package admit

import (
	"math"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/fair"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// burst bounds the credit of a row that was idle: its unused share of this much time.
	burst = 2500 * time.Millisecond
	// digestLag is the time within which a usage digest reaches the other hosts.
	digestLag = 500 * time.Millisecond
	// band is the amount of service, in time, by which two rows may differ and still count as equally served.
	band = 4 * time.Second
)

// peerUsage is one row's usage in the last digest between this host and a peer.
type peerUsage struct {
	tokens   uint64
	promised int
	waiting  int
	running  int
}

// Account is the usage of one row of the table across all hosts, in this host's local view.
type Account struct {
	Key board.RowKey
	Row config.Row
	// Share is the fraction of the service's tokens that the row is entitled to, from 0 to 1.
	Share float64
	// Running and Waiting count the row's grants and claims at this host.
	Running int
	Waiting int

	// index is the account's position in Ledger.list.
	index int
	// virtual is the sum of tokens divided by weight (virtual token counter, fair serving).
	virtual float64
	// ownTokens sums the tokens charged by this host.
	ownTokens float64
	// promised sums the tokens that are charged but not yet generated.
	promised     float64
	peerPromised int
	peers        map[string]peerUsage
	peerRunning  int
	peerWaiting  int
	// bucket holds the tokens that the row's token rate allows now.
	bucket float64
	// grantCount counts the grants since grantsSince; after digestLag, peers have received them and counting restarts.
	grantCount  int
	grantsSince time.Time
	refilled    time.Time
	service     *service
}

// service is the state that the rows of one service share.
type service struct {
	accounts []*Account
	weights  float64
	// rate is the decayed average of the tokens that all rows are charged per second.
	rate fair.Rate
}

// rateWindow is the time over which the token rate of a service is averaged.
const rateWindow = 10 * time.Second

func (s *service) addTokens(tokens float64, now time.Time) { s.rate.Add(tokens, rateWindow, now) }

// IsActive reports whether any host has running or waiting requests of the row.
func (a *Account) IsActive() bool {
	return a.Running > 0 || a.Waiting > 0 || a.peerRunning > 0 || a.peerWaiting > 0
}

// VirtualCounter returns the row's virtual token counter; the lowest one is served next.
func (a *Account) VirtualCounter() float64 { return a.virtual }

// CounterBand returns the difference between virtual token counters within which rows count as equally served.
func (a *Account) CounterBand() float64 {
	return a.service.rate.Last() * band.Seconds() / a.service.weights
}

// Charge adds generated or promised tokens to the row; a negative number cancels promised ones.
func (a *Account) Charge(tokens float64, now time.Time) {
	a.ownTokens += tokens
	a.addUsage(tokens, now)
}

func (a *Account) addUsage(tokens float64, now time.Time) {
	a.virtual += tokens / a.Row.Weight
	a.bucket -= tokens
	a.service.addTokens(tokens, now)
}

// IsWaiting reports whether any host has waiting requests of the row.
func (a *Account) IsWaiting() bool { return a.Waiting > 0 || a.peerWaiting > 0 }

// RaiseCounter is called before a row gets its first waiting request. It raises the row's counter to the lowest one of
// the waiting rows, less the credit of a short burst, so that a row can't save up its share while it is idle.
func (a *Account) RaiseCounter() {
	lowest := a.lowestServed((*Account).IsWaiting)
	if math.IsInf(lowest, 1) {
		lowest = a.lowestServed((*Account).IsActive)
	}
	if math.IsInf(lowest, 1) {
		return
	}
	credit := a.service.rate.Last() * burst.Seconds() / a.service.weights
	a.virtual += max(0, lowest-credit-a.served())
}

// served returns the row's counter without the promised tokens. A row that was idle has few of these; compared without
// them, it may start as many sequences as the other rows run.
func (a *Account) served() float64 {
	return a.virtual - (a.promised+float64(a.peerPromised))/a.Row.Weight
}

// AddPromised adds change to the number of tokens that are charged but not yet generated.
func (a *Account) AddPromised(change float64) { a.promised += change }

// lowestServed returns the lowest served counter among the service's other rows that meet a condition, +Inf if none does.
func (a *Account) lowestServed(meets func(*Account) bool) float64 {
	lowest := math.Inf(1)
	for _, o := range a.service.accounts {
		if o != a && meets(o) {
			lowest = min(lowest, o.served())
		}
	}
	return lowest
}

// CanStart reports whether the row's limits across all hosts allow one more start. Digests lag, so within the lag a
// host grants only its part of the remaining limit, and at least one start: the limit is exceeded by less than one
// start per host, and for no longer than such a start runs.
func (a *Account) CanStart(now time.Time, hosts int) bool {
	left, granted := a.Row.MaxRunning-a.Running-a.peerRunning, a.recentGrants(now)
	if a.Row.MaxRunning > 0 && (left <= 0 || granted >= max(1, (left+granted)/hosts)) {
		return false
	}
	return a.Row.TokensPerSecond <= 0 || a.refillBucket(now) > 0
}

// RecordGrant records a start that this host has granted.
func (a *Account) RecordGrant(now time.Time) {
	if now.Sub(a.grantsSince) >= digestLag {
		a.grantsSince, a.grantCount = now, 0
	}
	a.grantCount++
	a.Running++
}

// recentGrants returns the number of recent starts that peers may not have received in a digest yet.
func (a *Account) recentGrants(now time.Time) int {
	if now.Sub(a.grantsSince) >= digestLag {
		return 0
	}
	return a.grantCount
}

// refillBucket refills the token bucket of the row's rate limit, which holds one second's worth, and returns its level.
func (a *Account) refillBucket(now time.Time) float64 {
	limit := a.Row.TokensPerSecond
	if a.refilled.IsZero() {
		a.bucket = limit
	} else {
		a.bucket = min(limit, a.bucket+limit*now.Sub(a.refilled).Seconds())
	}
	a.refilled = now
	return a.bucket
}
