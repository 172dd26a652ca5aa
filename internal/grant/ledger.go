// Package grant decides how many requests each host may start on a backend server, without consensus.
//
// The start limit of a backend server is divided into units, and the units into parts. Each part has one
// holder among the hosts of the failure domain, found by rendezvous hashing over all hosts that may still
// run. A holder lends its parts, by a short lease, to the host that it sees as the owner of the backend
// server, and the owner grants starts out of the parts that it is lent. Two hosts that both take themselves for
// the owner of a backend server are lent disjoint parts, so that their starts together stay within the limit
// under any network partition. If two hosts have each other in their local views, rendezvous hashing never makes
// both the holder of one part; a joining host therefore holds nothing until each host in its view has confirmed
// that it has added the joining host and that its own leases on the parts it lost have expired. The scheme is an
// escrow (O'Neil 1986) with leases (Gray and Cheriton 1989).
package grant

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/warm"
)

// Time limits, in periods of the ledger.
const (
	// leasePeriods is the duration of a lease; the owner counts it from the time of its request.
	leasePeriods = 8
	// leaseMarginPeriods is what a holder adds to a lease before it treats it as expired.
	leaseMarginPeriods = 1
	// renewPeriods is the time between two renewals.
	renewPeriods = 2
	// pausePeriods is the time without a tick after which a ledger counts as paused.
	pausePeriods = 4
	// holderExpiryPeriods is the time from a host's first absence until its parts pass to other hosts.
	holderExpiryPeriods = 12
	// startLagPeriods is the upper bound on the time from a grant to its start plus the lag of load reports.
	startLagPeriods = 4
	// endLagPeriods is the upper bound on the delay until the ledger is notified that a start has ended.
	endLagPeriods = 2
	// unreportedPeriods is how long starts of a former owner count as running on a backend server without load reports.
	unreportedPeriods = 20
	// unlistedJoinPeriods is the time after which confirmations of peers suffice to join without the platform's list.
	unlistedJoinPeriods = 20
	// formerReportPeriods is how long a former owner keeps reporting to the new owner what it still runs.
	formerReportPeriods = 20
)

// Backend is the configuration of one backend server.
type Backend struct {
	Name   string
	Domain string
	// Max is the number of requests that may run at once when the backend server is warm.
	Max int
	// Cold is the number of requests that may run at once right after its start.
	Cold int
	// Out means that no new requests may start on it.
	Out bool
}

// Host is another host of the failure domain that may still run.
type Host struct {
	Name        string
	Incarnation uint64
}

// HostView is the local view of the hosts that a ledger works with.
type HostView struct {
	// Present are the other hosts of the failure domain that may still run.
	Present []Host
	// Live are the names of the hosts that may own a slot, this one included.
	Live []string
	// Remote maps each other failure domain to its live hosts in the local view.
	Remote map[string][]string
	// Listed means that a platform list from after the ledger's start names this host.
	Listed bool
	// Unlisted means that such a list does not name this host, so that other hosts may become holders of its parts.
	Unlisted bool
}

// Ledger keeps the leases and starts of one host; it does no I/O and is not safe for concurrent use.
// Self, Domain, Incarnation and Period are set before the first call.
type Ledger struct {
	Self        string
	Domain      string
	Incarnation uint64
	Period      time.Duration

	// process is the incarnation at the start of the process.
	process uint64
	// stampBase is the time that message stamps count from.
	stampBase time.Time
	// incarnationStart is the start of the current incarnation.
	incarnationStart time.Time
	lastTick         time.Time
	lastRenewal      time.Time
	active           bool
	stopped          bool
	view             HostView
	holders          map[string]*holder
	layout           *layout
	// layoutKey lists the hosts that the layout was computed from.
	layoutKey      string
	lent           [slots][parts]loan
	shares         [slots][parts]share
	givenBackAt    [slots]time.Time
	formerReports  [slots]map[loanID]*formerReport
	loanCount      uint64
	lastOwnedAt    [slots]time.Time
	backends       map[string]*backend
	backendsInSlot [slots][]string
	lastStamps     map[string]uint64
	outgoing       []peer.Outgoing
}

// holder is another host that may hold parts.
type holder struct {
	incarnation uint64
	// confirmed means that the host has confirmed that it counts this ledger as a holder.
	confirmed bool
	// absentSince is the time at which the host was first absent; zero while it is present.
	absentSince time.Time
}

// ownerProcess identifies an owner and its process: a restarted process has no record of the old one's starts.
type ownerProcess string

func newOwnerProcess(host string, process uint64) ownerProcess {
	return ownerProcess(host + "#" + strconv.FormatUint(process, 36))
}

// loanID identifies an uninterrupted period for which a part is lent to one owner.
type loanID uint64

// loan is a part that this host holds and lends.
type loan struct {
	owner ownerProcess
	until time.Time
	id    loanID
	// former is the previous loan of the part; zero means unknown.
	former loanID
	// lost means that another host has held the part since it was lent.
	lost bool
}

// share is a part that is lent to this host as an owner.
type share struct {
	until time.Time
	// since is the time from which the part has been lent to this host without interruption.
	since  time.Time
	id     loanID
	former loanID
}

// formerReport is the number of requests by backend server that a former owner of a slot still runs.
type formerReport struct {
	from  ownerProcess
	at    time.Time
	count map[string]int
}

// SetBackends replaces the table of backend servers; one that returns to service starts cold.
func (l *Ledger) SetBackends(list []Backend) {
	l.init()
	next := make(map[string]*backend, len(list))
	for _, b := range list {
		old := l.backends[b.Name]
		if old == nil {
			old = newBackend(b)
		}
		old.set(b)
		next[b.Name] = old
	}
	l.backends = next
	l.backendsInSlot = [slots][]string{}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if next[name].Domain == l.Domain {
			s := next[name].slot
			l.backendsInSlot[s] = append(l.backendsInSlot[s], name)
		}
	}
}

func (l *Ledger) init() {
	if l.holders != nil {
		return
	}
	l.process = l.Incarnation
	l.holders = make(map[string]*holder)
	l.backends = make(map[string]*backend)
	l.lastStamps = make(map[string]uint64)
	for s := range l.formerReports {
		l.formerReports[s] = make(map[loanID]*formerReport)
	}
	l.layout = newLayout([]string{l.Self}, []string{l.Self})
}

// Owner returns the host that grants starts on a backend server; ok is false if there is none in the local view.
// For a backend server of another failure domain it chooses the owner among that domain's contacts.
func (l *Ledger) Owner(name string) (host string, ok bool) {
	b := l.backends[name]
	if b == nil {
		return "", false
	}
	if b.Domain != l.Domain {
		host, _ = rendezvous(ownerKey(b.slot), l.view.Remote[b.Domain])
		return host, host != ""
	}
	host = l.layout.owner[b.slot]
	return host, host != ""
}

// Headroom returns the number of requests that may be started on a backend server now.
func (l *Ledger) Headroom(name string, now time.Time) int {
	b := l.backends[name]
	if b == nil || b.Out || b.Domain != l.Domain || l.isPaused(now) || l.stopped || l.layout.owner[b.slot] != l.Self {
		return 0
	}
	exclusive, bounded := l.freeUnits(b, now)
	// After the limit has been lowered, requests may still run on units above it.
	return max(0, min(exclusive+max(0, bounded-b.maxOthers), b.ramp.Limit(now)-len(b.running)))
}

// freeUnits returns the number of free units in exclusive and in bounded parts.
func (l *Ledger) freeUnits(b *backend, now time.Time) (exclusive, bounded int) {
	limit := b.ramp.Limit(now)
	for part := range parts {
		switch l.partState(b, part, now) {
		case partExclusive:
			exclusive += b.freeIn(part, limit)
		case partBounded:
			bounded += b.freeIn(part, limit)
		case partUnusable:
		}
	}
	return exclusive, bounded
}

// pickUnit returns a free unit, preferably in an exclusive part, or -1 if there is none.
func (l *Ledger) pickUnit(b *backend, now time.Time) int {
	var states [parts]partState
	for part := range parts {
		states[part] = l.partState(b, part, now)
	}
	limit := b.ramp.Limit(now)
	for _, want := range [...]partState{partExclusive, partBounded} {
		for unit := range limit {
			if !b.isTaken(unit) && states[partOf(b.partOffset, unit)] == want {
				return unit
			}
		}
	}
	return -1
}

// partState tells whether an owner may grant starts on a part.
type partState int

const (
	// partUnusable means that the part is not lent, or that the number of other owners' starts on it is unbounded.
	partUnusable partState = iota
	// partBounded means that the backend server's maxOthers bounds the starts of other owners.
	partBounded
	// partExclusive means that no other owner runs anything on the part.
	partExclusive
)

func (l *Ledger) partState(b *backend, part int, now time.Time) partState {
	h := &l.shares[b.slot][part]
	switch {
	case !now.Before(h.until):
		return partUnusable
	case b.cleared[part].Equal(h.since):
		return partExclusive
	case l.isBounded(b, part, now):
		return partBounded
	default:
		return partUnusable
	}
}

// isBounded reports whether the backend server's maxOthers bounds the starts of other owners on a part.
func (l *Ledger) isBounded(b *backend, part int, now time.Time) bool {
	h := &l.shares[b.slot][part]
	if _, told := l.formerReportFor(b.slot, h); told {
		return true
	}
	return l.hasLoadReport(b, h, now)
}

// formerReportFor returns the report of a share's former owner, if it is recent enough to include all its starts.
func (l *Ledger) formerReportFor(slot int, h *share) (*formerReport, bool) {
	s, ok := l.formerReports[slot][h.former]
	return s, ok && h.former != 0 && !s.at.Before(h.since.Add(l.duration(startLagPeriods)))
}

// hasLoadReport reports whether a load report bounds the starts of other owners on a share.
func (l *Ledger) hasLoadReport(b *backend, h *share, now time.Time) bool {
	if b.lastReport.IsZero() {
		return now.Sub(h.since) >= l.duration(unreportedPeriods)
	}
	return !b.reportedOthersAt.Before(h.since.Add(l.duration(startLagPeriods)))
}

// Started records a start; the caller has checked Headroom at the same time.
func (l *Ledger) Started(name, request string, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.start(request, l.pickUnit(b, now), now)
}

// Ended records the end of a start and updates the warm-up evidence on the backend server.
func (l *Ledger) Ended(name, request string, o sched.Outcome, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.end(request)
	b.ramp.Ended(o, now)
}

// Report records a load report of a backend server.
func (l *Ledger) Report(name string, load engine.Load, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.ramp.Report(load, b.latestReportTime(load, now))
	b.lastReport = now
	b.pendingReports = append(b.pendingReports, loadReport{at: now, running: load.Running + load.Waiting})
	l.updateBounds(b, now)
}

// Limit returns the number of requests that a backend server can currently run at once, or 0 if it is not in the table.
func (l *Ledger) Limit(name string, now time.Time) int {
	b := l.backends[name]
	if b == nil {
		return 0
	}
	return b.ramp.Limit(now)
}

// Ramp returns the warm-up state of a backend server, or nil if it is not in the table.
func (l *Ledger) Ramp(name string) *warm.Ramp {
	b := l.backends[name]
	if b == nil {
		return nil
	}
	return &b.ramp
}

// Running returns the number of running starts on a backend server that this ledger has granted.
func (l *Ledger) Running(name string) int {
	if b := l.backends[name]; b != nil {
		return len(b.running)
	}
	return 0
}

func (l *Ledger) duration(periods int) time.Duration { return time.Duration(periods) * l.Period }

// isPaused reports whether the ledger has not ticked for so long that its view is out of date.
func (l *Ledger) isPaused(now time.Time) bool { return now.Sub(l.lastTick) > l.duration(pausePeriods) }

func (l *Ledger) send(to string, m *peerpb.Lend) {
	m.Incarnation = l.Incarnation
	m.Process = l.process
	l.outgoing = append(l.outgoing, peer.Outgoing{To: to, Message: &peerpb.Message{Body: &peerpb.Message_Lend{Lend: m}}})
}
