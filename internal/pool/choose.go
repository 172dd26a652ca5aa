package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/policy"
)

// ErrNoServer says that no backend server may take the request.
var ErrNoServer = errors.New("no backend server takes the request")

// The costs that order backend servers, as milliseconds of expected delay.
const (
	// prefillTokensPerMS is the speed at which an engine reads prompts, from the deployments' sheets.
	prefillTokensPerMS = 14.0
	// runCost is the slowdown of a token by each further run of the batch over the length of an event.
	runCost = 3.0
	// evenCost is the cost of using all of an engine's memory.
	evenCost = 400.0
	// memoryFree is the part of an engine's memory that may be committed before preemption threatens.
	memoryFree = 0.85
	// memoryCost is the cost of committing all of an engine's memory once more.
	memoryCost = 4000.0
	// queueCost is the service time of a plain request that fills all slots of a backend server.
	queueCost = 60.0
	// regionCost is the handshake and the round trip over the link between regions.
	regionCost = 80.0
	// domainCost keeps traffic in its failure domain where all else is equal.
	domainCost = 6.0
	// suspectCost ranks a backend server that has just failed behind all others.
	suspectCost = 20000.0
	// failureCost is the delay of a request that fails and is sent again.
	failureCost = 1500.0
	// coldCost ranks a cold backend server behind warm ones.
	coldCost = 120.0
	// jitterCost spreads hosts that see the same loads.
	jitterCost = 4.0
)

// The costs that order the places of copies, as parts of an engine's memory.
const (
	copyDomainCost = 0.2
	copyJitter     = 0.05
	// copyPendingCost is the part for a millisecond of prompt reading, which doubles the time between the events of a
	// run that goes on there at once.
	copyPendingCost = 0.002
)

// Requirements is what a request needs of a backend server.
type Requirements struct {
	Service *policy.Service
	// Regions lists where the request may be served; each non-empty list binds.
	Regions [][]string
	// Exclude lists backend servers that have been tried.
	Exclude []string
	// Prompt is the number of prompt tokens, and Tokens the memory that the run is expected to need.
	Prompt int
	Tokens int
	// Beside is the backend server whose run is copied; nil for runs.
	Beside *Server
}

// Lease is one request's claim on a backend server.
type Lease struct {
	Server Server
	// Seen is the load of the backend server before this claim, by all hosts as far as known.
	Seen Load

	pool    *Pool
	entry   *entry
	load    Load
	pending int
	ended   bool
}

// Choose claims the backend server with the lowest cost.
func (p *Pool) Choose(a Requirements, now time.Time) (*Lease, error) {
	l, err := p.choose(a, now)
	if err == nil && p.OnClaim != nil {
		p.OnClaim()
	}
	return l, err
}

func (p *Pool) choose(a Requirements, now time.Time) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *entry
	lowest := math.Inf(1)
	for _, e := range p.servers {
		if !p.fits(e, a, now) {
			continue
		}
		if c := p.cost(e, a, now); c < lowest {
			best, lowest = e, c
		}
	}
	if best == nil {
		return nil, ErrNoServer
	}
	if best.isCold(now) {
		best.coldSends = append(best.coldSends, now)
	}
	return p.lease(best, Load{Runs: 1, Tokens: a.Tokens, Pending: a.Prompt}), nil
}

// Purpose says what a copy of a run is for.
type Purpose int

// The purposes of copies.
const (
	// Standby is a copy in case that the run breaks.
	Standby Purpose = iota
	// Move is a copy that the run goes on from at once.
	Move
	// Precaution is a copy of a run whose backend server may end without a notice.
	Precaution
)

// The parts of an engine's memory that may be in use together with a copy.
const (
	// standbyRoom leaves memory for runs that start while a copy stands by.
	standbyRoom = 0.45
	// moveRoom suffices for a run that goes on at its copy at once.
	moveRoom = 0.95
	// precautionRoom leaves memory for the output of all runs during an outage.
	precautionRoom = 0.8
)

// room is the part of an engine's memory that may be in use together with the copy.
func (use Purpose) room() float64 {
	switch use {
	case Move:
		return moveRoom
	case Precaution:
		return precautionRoom
	default:
		return standbyRoom
	}
}

// ChooseCopy claims the memory for a copy of a run beside the backend server that it runs on.
func (p *Pool) ChooseCopy(a Requirements, use Purpose, now time.Time) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *entry
	lowest := math.Inf(1)
	for _, e := range p.servers {
		// The link between regions is too narrow for an engine's memory, and a copy that waits for it holds up all
		// others of its engine.
		if !p.fits(e, a, now) || e.isSuspect(now) || e.Region != a.Beside.Region || e.ID == a.Beside.ID {
			continue
		}
		if c := p.copyCost(e, a, use); c < lowest && usedPart(e, a) <= use.room() {
			best, lowest = e, c
		}
	}
	if best == nil {
		return nil, ErrNoServer
	}
	return p.lease(best, Load{Tokens: a.Tokens}), nil
}

// Claim claims a known backend server for a run that goes on there.
func (p *Pool) Claim(id string, tokens int, now time.Time) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[id]
	if e == nil || !p.isOpen(e, now) {
		return nil, ErrNoServer
	}
	return p.lease(e, Load{Runs: 1, Tokens: tokens}), nil
}

func (p *Pool) lease(e *entry, l Load) *Lease {
	seen := e.load()
	e.own.add(l)
	return &Lease{Server: e.Server, Seen: seen, pool: p, entry: e, load: l, pending: l.Pending}
}

func (p *Pool) fits(e *entry, a Requirements, now time.Time) bool {
	if e.Service != a.Service.Name || !p.isOpen(e, now) || slices.Contains(a.Exclude, e.ID) {
		return false
	}
	for _, regions := range a.Regions {
		if len(regions) > 0 && !slices.Contains(regions, e.Region) {
			return false
		}
	}
	return !e.isCold(now) || p.hasColdRoom(e, a.Service.ColdPerSecond, now)
}

// hasColdRoom reports whether this host's part of a cold backend server's bound allows one more send.
func (p *Pool) hasColdRoom(e *entry, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	if p.ColdShare != nil {
		perSecond = p.ColdShare(e.ID, perSecond)
	}
	e.coldSends = slices.DeleteFunc(e.coldSends, func(at time.Time) bool { return now.Sub(at) > time.Second })
	return float64(len(e.coldSends)+1) <= perSecond
}

func (p *Pool) cost(e *entry, a Requirements, now time.Time) float64 {
	c := p.jitter()*jitterCost + e.failing*failureCost
	l := e.load()
	if engine := a.Service.Engine; engine != nil {
		c += float64(l.Pending)/prefillTokensPerMS + runCost*float64(l.Runs)
		c += evenCost * float64(l.Tokens) / float64(engine.MemoryTokens)
		if over := float64(l.Tokens+a.Tokens)/float64(engine.MemoryTokens) - memoryFree; over > 0 {
			c += memoryCost * over
		}
	} else {
		c += queueCost * float64(l.Runs) / float64(max(1, e.Slots))
	}
	if e.Region != p.Region {
		c += regionCost
	}
	if e.Domain != p.Domain {
		c += domainCost
	}
	if e.isCold(now) {
		c += coldCost
	}
	if e.isSuspect(now) {
		c += suspectCost
	}
	return c
}

// usedPart is the part of an engine's memory that would be in use.
func usedPart(e *entry, a Requirements) float64 {
	return float64(e.load().Tokens+a.Tokens) / float64(a.Service.Engine.MemoryTokens)
}

// copyCost ranks the places of a copy: free memory first, then the failure domain of the run, where copying takes
// half the time, and for a move the prompts that are being read there.
func (p *Pool) copyCost(e *entry, a Requirements, use Purpose) float64 {
	c := usedPart(e, a) + copyJitter*p.jitter()
	if e.Domain != a.Beside.Domain {
		c += copyDomainCost
	}
	if use == Move {
		c += copyPendingCost * float64(e.load().Pending) / prefillTokensPerMS
	}
	return c
}

// Read notes that a part of the lease's prompt has been read, which its first event shows.
func (l *Lease) Read() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.entry.own.Pending -= l.pending
	l.pending = 0
}

// Hold notes the memory that the lease's run or copy holds by now.
func (l *Lease) Hold(tokens int) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.entry.own.Tokens += tokens - l.load.Tokens
	l.load.Tokens = tokens
}

// Release gives the claim back.
func (l *Lease) Release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.entry.own.add(Load{Runs: -l.load.Runs, Tokens: -l.load.Tokens, Pending: -l.pending})
}

// Answered notes that the backend server answered, well or with a failure of its own.
func (l *Lease) Answered(failed bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	e := l.entry
	e.strikes = 0
	e.suspectUntil = time.Time{}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.failing += failureWeight * (outcome - e.failing)
}

// Broke notes that the backend server could not be reached or broke a connection.
func (l *Lease) Broke(now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	e := l.entry
	pause := min(suspectMax, suspectFirst<<min(e.strikes, 8))
	e.strikes++
	e.suspectUntil = now.Add(pause)
	e.failing += failureWeight * (1 - e.failing)
}
