// Package member maintains the table of entry hosts from heartbeats and the platform's list.
//
// Hosts of one failure domain probe each other with SWIM (Das, Gupta, Motivala 2002): each period a host pings
// another one, asks helpers to ping it if it does not answer, marks it suspect and later lost, and piggybacks
// changed host states on its heartbeats. Two rules come from Lifeguard (Dadgar, Phillips, Currey 2017): a host
// that is itself slow waits longer before it suspects others, and a suspicion that more hosts share times out
// sooner. Failure domains exchange digests with only a few contacts of each other.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// fanout is the number of hosts pinged in a period.
	fanout = 1
	// helpers is the number of hosts that are asked to ping a host that did not answer.
	helpers = 3
	// missedPeriods is the number of periods without a tick after which a host counts as paused.
	missedPeriods = 4
	// suspectMinPeriods and suspectMaxPeriods bound the time from suspect to lost.
	suspectMinPeriods = 4
	suspectMaxPeriods = 10
	// maxHealth is the largest local health score; time limits are multiplied by the score plus one.
	maxHealth = 4
	// maxUpdates is the maximum number of host updates on one heartbeat.
	maxUpdates = 8
	// spreadFactor times the logarithm of the number of hosts is how often one host update is sent.
	spreadFactor = 3
	// lostProbePeriods is the number of periods between two pings of lost or dead hosts.
	lostProbePeriods = 8
	// syncPeriods is the minimum number of periods between two requests for a whole table.
	syncPeriods = 8
	// forgetPeriods is the number of periods for which a dead and unlisted host is kept.
	forgetPeriods = 120
)

// Member is the failure detector of one host; it does no I/O and is not safe for concurrent use.
// Self, Period and Hosts are set before the first call.
type Member struct {
	// Self is this host; its incarnation identifies the process.
	Self   board.Host
	Period time.Duration
	// Hosts is the table that is maintained.
	Hosts *board.Hosts
	Seed  uint64

	// refuted increases when this host refutes what others report of it.
	refuted      uint32
	rand         *rand.Rand
	records      map[string]*record
	pingOrder    []string
	probes       map[string]*probe
	pingRequests map[string][]string
	lastTick     time.Time
	ticks        int
	// health is the local health score: it rises with failed probes and refutations, and falls with answers.
	health   int
	nextSync int
	wantSync bool
	hostList object.HostList
	digests  map[string]*receivedDigest
	outgoing []peer.Outgoing
	// PauseCount counts the pauses of this host that it detected.
	PauseCount int
}

// record is the local view of one host of the failure domain.
type record struct {
	host hostUpdate
	// sendsLeft is how many more times the state is to be sent.
	sendsLeft int
	// since is the time of the last change of state.
	since time.Time
	// suspectedBy is the set of hosts that reported the current state or share the suspicion.
	suspectedBy map[string]bool
	// unlistedSince is the time of the first list without the host; zero while it is listed or no list has arrived.
	unlistedSince time.Time
	// contacted means that the host has answered or sent a heartbeat.
	contacted bool
}

// probe is a ping that has not been answered yet.
type probe struct {
	deadline time.Time
	indirect bool
}

// Receive handles one heartbeat or digest and returns the messages to send.
func (m *Member) Receive(from peer.Sender, msg *peerpb.Message, now time.Time) []peer.Outgoing {
	m.init(now)
	switch body := msg.GetBody().(type) {
	case *peerpb.Message_Heartbeat:
		m.handleHeartbeat(from, body.Heartbeat, now)
	case *peerpb.Message_MemberDigest:
		m.handleDigest(body.MemberDigest, now)
	default:
		return nil
	}
	return m.flush()
}

// Tick does the work of one period and returns the messages to send.
func (m *Member) Tick(now time.Time) []peer.Outgoing {
	m.init(now)
	if now.Sub(m.lastTick) > missedPeriods*m.Period {
		m.rejoin(now)
	}
	m.lastTick = now
	m.ticks++
	m.checkProbes(now)
	m.checkSuspects(now)
	m.forgetEnded(now)
	m.pingNext(now)
	m.sendDigests(now)
	return m.flush()
}

// AnnounceLeaving marks this host as leaving and returns the messages that announce it.
func (m *Member) AnnounceLeaving(now time.Time) []peer.Outgoing {
	return m.announce(board.HostLeaving, now)
}

// AnnounceStopped marks this host as dead and returns the messages that announce it; the caller must start nothing any more.
func (m *Member) AnnounceStopped(now time.Time) []peer.Outgoing {
	return m.announce(board.HostDead, now)
}

func (m *Member) announce(state board.HostState, now time.Time) []peer.Outgoing {
	m.init(now)
	m.Self.State = state
	m.Self.LastSeen = now
	m.Hosts.Put(m.Self)
	for _, name := range m.names(board.HostLive, board.HostSuspect, board.HostLeaving) {
		m.ping(name)
	}
	return m.flush()
}

// IsPaused reports whether the host has missed more than missedPeriods periods, so that it must rejoin before it acts.
func (m *Member) IsPaused(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > missedPeriods*m.Period
}

// rejoin restarts failure detection after a pause: the local view is out of date, so pending probes are dropped and
// suspicions start anew, and this host refutes what others reported of it.
func (m *Member) rejoin(now time.Time) {
	m.PauseCount++
	m.refuted++
	m.probes = make(map[string]*probe)
	m.wantSync = true
	m.nextSync = 0
	for _, r := range m.records {
		if r.host.State == board.HostSuspect {
			r.since = now
		}
	}
	for _, name := range m.names(board.HostLive, board.HostSuspect) {
		m.ping(name)
	}
}

func (m *Member) init(now time.Time) {
	if m.records != nil {
		return
	}
	m.rand = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.Name)))
	m.records = make(map[string]*record)
	m.probes = make(map[string]*probe)
	m.pingRequests = make(map[string][]string)
	m.digests = make(map[string]*receivedDigest)
	m.lastTick = now
	m.wantSync = true
	if m.Self.State == board.HostUnknown {
		m.Self.State = board.HostLive
	}
	m.Self.LastSeen = now
	m.Hosts.Put(m.Self)
}

func (m *Member) flush() []peer.Outgoing {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// names returns the names of the other hosts of the failure domain in one of the states, sorted.
func (m *Member) names(states ...board.HostState) []string {
	var list []string
	for name, r := range m.records {
		if slices.Contains(states, r.host.State) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// timeout returns the duration of a number of periods, multiplied by the local health score plus one.
func (m *Member) timeout(periods int) time.Duration {
	return time.Duration(periods) * m.Period * time.Duration(m.health+1)
}

// spreadCount returns how often one host update is sent.
func (m *Member) spreadCount() int {
	return spreadFactor * (1 + bits.Len(uint(len(m.records))))
}

// tableHash returns a hash of the hosts that are live, suspect or leaving in the local view.
func (m *Member) tableHash() uint64 {
	sum := uint64(0)
	add := func(h hostUpdate) {
		if h.State == board.HostLive || h.State == board.HostSuspect || h.State == board.HostLeaving {
			sum += xxhash.Sum64String(h.Name) ^ bits.RotateLeft64((h.Incarnation+uint64(h.refuted))*0x9e3779b97f4a7c15, 17)
		}
	}
	add(m.self())
	for _, r := range m.records {
		add(r.host)
	}
	return sum
}

// hostUpdate is the state of a host as one host reports it.
type hostUpdate struct {
	board.Host
	// refuted counts the times that the host has refuted what others reported of it.
	refuted uint32
}

func (m *Member) self() hostUpdate { return hostUpdate{Host: m.Self, refuted: m.refuted} }

// overrides reports whether an update supersedes another one of the same host.
func (n hostUpdate) overrides(old hostUpdate) bool {
	switch {
	case n.Incarnation != old.Incarnation:
		return n.Incarnation > old.Incarnation
	case n.refuted != old.refuted:
		return n.refuted > old.refuted
	default:
		return n.State > old.State
	}
}

func toInfo(h hostUpdate) *peerpb.HostInfo {
	return &peerpb.HostInfo{
		Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address.String(),
		Incarnation: h.Incarnation, State: toWire(h.State), Refuted: h.refuted,
	}
}

func fromInfo(i *peerpb.HostInfo) (hostUpdate, bool) {
	addr, err := netip.ParseAddrPort(i.GetAddress())
	if err != nil || i.GetName() == "" {
		return hostUpdate{}, false
	}
	h := board.Host{
		Name: i.GetName(), Domain: i.GetDomain(), Region: i.GetRegion(), Address: addr,
		Incarnation: i.GetIncarnation(), State: fromWire(i.GetState()),
	}
	return hostUpdate{Host: h, refuted: i.GetRefuted()}, true
}

func toWire(s board.HostState) peerpb.HostState {
	switch s {
	case board.HostLive:
		return peerpb.HostState_HOST_STATE_LIVE
	case board.HostSuspect:
		return peerpb.HostState_HOST_STATE_SUSPECT
	case board.HostLeaving:
		return peerpb.HostState_HOST_STATE_LEAVING
	case board.HostLost:
		return peerpb.HostState_HOST_STATE_LOST
	case board.HostDead:
		return peerpb.HostState_HOST_STATE_DEAD
	default:
		return peerpb.HostState_HOST_STATE_UNSPECIFIED
	}
}

func fromWire(s peerpb.HostState) board.HostState {
	switch s {
	case peerpb.HostState_HOST_STATE_LIVE:
		return board.HostLive
	case peerpb.HostState_HOST_STATE_SUSPECT:
		return board.HostSuspect
	case peerpb.HostState_HOST_STATE_LEAVING:
		return board.HostLeaving
	case peerpb.HostState_HOST_STATE_LOST:
		return board.HostLost
	case peerpb.HostState_HOST_STATE_DEAD:
		return board.HostDead
	default:
		return board.HostUnknown
	}
}

func byName(a, b board.Host) int { return cmp.Compare(a.Name, b.Name) }
