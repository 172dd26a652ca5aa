// Package grant decides who may start how much on a backend server, without consensus.
//
// The start limit of a backend server is divided into units, and the units into parts. Each part has one
// holder among the hosts of the failure domain, found by rendezvous hashing over all hosts that may still
// run. A holder lends its parts, by a short lease, to the host that it sees as the owner of the backend
// server, and the owner grants starts out of what it is lent. Two hosts that both believe they own a
// backend server are lent disjoint parts, so that their starts together stay within the limit under any
// partition. If two hosts know each other, rendezvous hashing never makes both the holder of one part;
// a joining host therefore holds nothing until each host that it knows of has confirmed that it knows the
// joining host and that its own leases on the lost parts have run out. The scheme is an escrow (O'Neil
// 1986) with leases (Gray and Cheriton 1989).
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
	// leasePeriods is the length of a lease, counted by the owner from its question.
	leasePeriods = 8
	// marginPeriods is what a holder adds before it takes a lease for ended.
	marginPeriods = 1
	// askPeriods is the time between two renewals.
	askPeriods = 2
	// pausePeriods is the time without a tick after which a ledger takes itself for paused.
	pausePeriods = 4
	// gonePeriods is the time from a host's absence until its parts pass to others.
	gonePeriods = 12
	// settlePeriods bounds the time from a grant to its start together with the lag of load reports.
	settlePeriods = 4
	// newsPeriods bounds the lag of the news that a start has ended.
	newsPeriods = 2
	// silentPeriods is the time for which starts of a former owner are assumed on a backend server without load reports.
	silentPeriods = 20
	// aloneWaitPeriods is the time after which the word of peers stands in for the platform's list.
	aloneWaitPeriods = 20
	// formerPeriods is how long a former owner goes on telling the new one what it still runs.
	formerPeriods = 20
)

// Backend is one backend server as the table gives it.
type Backend struct {
	Name   string
	Domain string
	// Max is the number of requests that may run when the backend server is warm.
	Max int
	// Cold is the number that may run right after its start.
	Cold int
	// Out says that no new work may start on it.
	Out bool
}

// Host is another host of the failure domain that may still run.
type Host struct {
	Name        string
	Incarnation uint64
}

// HostView is what a ledger is told about hosts.
type HostView struct {
	// Present are the other hosts of the failure domain that may still run.
	Present []Host
	// Live are the names of the hosts that may own a slot, with this one.
	Live []string
	// Remote are the live hosts known of other failure domains.
	Remote map[string][]string
	// Listed says that a platform list from after the ledger's start names this host.
	Listed bool
	// Unlisted says that such a list does not name this host, so that others may take its parts.
	Unlisted bool
}

// Ledger is one host's account of starts; it does no I/O and is not safe for concurrent use.
// Self, Domain, Incarnation and Period are set before the first call.
type Ledger struct {
	Self        string
	Domain      string
	Incarnation uint64
	Period      time.Duration

	// process is the incarnation at the start of the process.
	process uint64
	// base is the moment that stamps count from; begun is the start of the present incarnation.
	base    time.Time
	begun   time.Time
	ticked  time.Time
	asked   time.Time
	active  bool
	stopped bool
	view    HostView
	holders map[string]*holder
	layout  *layout
	// arranged names the hosts that the layout is made of.
	arranged string
	lent     [slots][parts]loan
	have     [slots][parts]share
	given    [slots]time.Time
	former   [slots]map[loanID]*statement
	loans    uint64
	was      [slots]time.Time
	backends map[string]*backend
	inSlot   [slots][]string
	stamps   map[string]uint64
	queue    []peer.Outgoing
}

// holder is another host that may hold parts.
type holder struct {
	incarnation uint64
	// known says that the host has confirmed to know this ledger.
	known bool
	// absent is the time at which the host was first missing; zero while it is present.
	absent time.Time
}

// grantor names an owner and its process: a new process does not know the starts of the old one.
type grantor string

func newGrantor(host string, process uint64) grantor {
	return grantor(host + "#" + strconv.FormatUint(process, 36))
}

// loanID identifies the unbroken time for which a part is lent to one owner.
type loanID uint64

// loan is a part that this host holds and lends.
type loan struct {
	owner grantor
	until time.Time
	id    loanID
	// former is the loan before; zero means unknown.
	former loanID
	// lost says that another host has held the part since it was lent.
	lost bool
}

// share is a part that this host is lent as an owner.
type share struct {
	until time.Time
	// since is the start of the unbroken time for which the part has been lent to this host.
	since  time.Time
	id     loanID
	former loanID
}

// statement is what a former owner says it still runs in a slot.
type statement struct {
	from  grantor
	at    time.Time
	count map[string]int
}

// SetBackends replaces the table of backend servers; one that returns to service is cold.
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
	l.inSlot = [slots][]string{}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if next[name].Domain == l.Domain {
			s := next[name].slot
			l.inSlot[s] = append(l.inSlot[s], name)
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
	l.stamps = make(map[string]uint64)
	for s := range l.former {
		l.former[s] = make(map[loanID]*statement)
	}
	l.layout = newLayout([]string{l.Self}, []string{l.Self})
}

// Owner returns the host that grants starts on a backend server; ok is false when none is known.
// For a backend server of another failure domain it is the contact that would own it if there were no others.
func (l *Ledger) Owner(name string) (host string, ok bool) {
	b := l.backends[name]
	if b == nil {
		return "", false
	}
	if b.Domain != l.Domain {
		host, _ = highest(ownerKey(b.slot), l.view.Remote[b.Domain])
		return host, host != ""
	}
	host = l.layout.owner[b.slot]
	return host, host != ""
}

// Room returns the number of requests that may be started on a backend server now.
func (l *Ledger) Room(name string, now time.Time) int {
	b := l.backends[name]
	if b == nil || b.Out || b.Domain != l.Domain || l.isPaused(now) || l.stopped || l.layout.owner[b.slot] != l.Self {
		return 0
	}
	sure, unsure := l.free(b, now)
	// After the limit has fallen, more may run than it allows, on units above it.
	return max(0, min(sure+max(0, unsure-b.charge), b.ramp.Limit(now)-len(b.running)))
}

// free counts the free units of a backend server in parts without and with possible starts of others.
func (l *Ledger) free(b *backend, now time.Time) (sure, unsure int) {
	limit := b.ramp.Limit(now)
	for part := range parts {
		switch l.standing(b, part, now) {
		case partSure:
			sure += b.freeIn(part, limit)
		case partUnsure:
			unsure += b.freeIn(part, limit)
		case partUnusable:
		}
	}
	return sure, unsure
}

// unit returns a free unit, in a part without possible starts of others if there is one; -1 means none.
func (l *Ledger) unit(b *backend, now time.Time) int {
	var standings [parts]standing
	for part := range parts {
		standings[part] = l.standing(b, part, now)
	}
	limit := b.ramp.Limit(now)
	for _, want := range [...]standing{partSure, partUnsure} {
		for unit := range limit {
			if !b.isTaken(unit) && standings[partOf(b.shift, unit)] == want {
				return unit
			}
		}
	}
	return -1
}

// standing is what an owner may do with a part.
type standing int

const (
	// partUnusable says that the part is not lent, or that others may still start on it without bound.
	partUnusable standing = iota
	// partUnsure says that the backend server's charge bounds the starts of others.
	partUnsure
	// partSure says that nobody else runs anything on the part.
	partSure
)

func (l *Ledger) standing(b *backend, part int, now time.Time) standing {
	h := &l.have[b.slot][part]
	switch {
	case !now.Before(h.until):
		return partUnusable
	case b.cleared[part].Equal(h.since):
		return partSure
	case l.isCovered(b, part, now):
		return partUnsure
	default:
		return partUnusable
	}
}

// isCovered reports whether the starts of others on a part are bounded by the backend server's charge.
func (l *Ledger) isCovered(b *backend, part int, now time.Time) bool {
	h := &l.have[b.slot][part]
	if _, told := l.told(b.slot, h); told {
		return true
	}
	return l.isReported(b, h, now)
}

// told returns what the former owner of a share says it still runs, if it has said so late enough.
func (l *Ledger) told(slot int, h *share) (*statement, bool) {
	s, ok := l.former[slot][h.former]
	return s, ok && h.former != 0 && !s.at.Before(h.since.Add(l.span(settlePeriods)))
}

// isReported reports whether a load report bounds the starts of others on a share.
func (l *Ledger) isReported(b *backend, h *share, now time.Time) bool {
	if b.reported.IsZero() {
		return now.Sub(h.since) >= l.span(silentPeriods)
	}
	return !b.othersAt.Before(h.since.Add(l.span(settlePeriods)))
}

// Started notes a start; the caller has seen room for it at the same moment.
func (l *Ledger) Started(name, request string, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.start(request, l.unit(b, now), now)
}

// Ended notes the end of a start and what it showed about the backend server.
func (l *Ledger) Ended(name, request string, o sched.Outcome, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.end(request)
	b.ramp.Ended(o, now)
}

// Report takes a load report of a backend server.
func (l *Ledger) Report(name string, load engine.Load, now time.Time) {
	b := l.backends[name]
	if b == nil {
		return
	}
	b.ramp.Report(load, now)
	b.reported = now
	b.pending = append(b.pending, report{at: now, running: load.Running + load.Waiting})
	l.review(b, now)
}

// Limit returns the number of requests that a backend server is held to bear now.
func (l *Ledger) Limit(name string, now time.Time) int {
	b := l.backends[name]
	if b == nil {
		return 0
	}
	return b.ramp.Limit(now)
}

// Ramp returns the evidence on a backend server, or nil if the table does not name it.
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

func (l *Ledger) span(periods int) time.Duration { return time.Duration(periods) * l.Period }

// isPaused reports whether the ledger has not ticked for so long that its views can't be trusted.
func (l *Ledger) isPaused(now time.Time) bool { return now.Sub(l.ticked) > l.span(pausePeriods) }

func (l *Ledger) send(to string, m *peerpb.Lend) {
	m.Incarnation = l.Incarnation
	m.Process = l.process
	l.queue = append(l.queue, peer.Outgoing{To: to, Message: &peerpb.Message{Body: &peerpb.Message_Lend{Lend: m}}})
}
