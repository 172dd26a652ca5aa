package member

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// handleHeartbeat handles a heartbeat of a host of the same failure domain; others are ignored.
func (m *Member) handleHeartbeat(from peer.Sender, b *peerpb.Heartbeat, now time.Time) {
	sender, ok := fromInfo(b.GetSender())
	if !ok || sender.Name != from.Host || sender.Domain != m.Self.Domain || sender.Name == m.Self.Name {
		return
	}
	if old := m.records[sender.Name]; old != nil && sender.Incarnation < old.host.Incarnation {
		return
	}
	m.merge(sender, sender.Name, now)
	m.noteAlive(sender.Name, now)
	for _, i := range b.GetNews() {
		if h, ok := fromInfo(i); ok {
			m.merge(h, sender.Name, now)
		}
	}
	for _, d := range b.GetDigests() {
		m.handleDigest(d, now)
	}
	m.reply(sender, b, now)
}

// noteAlive records that a host answered or sent a heartbeat.
func (m *Member) noteAlive(name string, now time.Time) {
	r := m.records[name]
	r.host.LastSeen = now
	r.contacted = true
	delete(m.probes, name)
	m.health = max(0, m.health-1)
	m.Hosts.Put(r.host.Host)
}

func (m *Member) reply(sender hostUpdate, b *peerpb.Heartbeat, now time.Time) {
	switch b.GetKind() {
	case peerpb.HeartbeatKind_HEARTBEAT_KIND_PING:
		ack := m.newHeartbeat(peerpb.HeartbeatKind_HEARTBEAT_KIND_ACK, sender.Name)
		if b.GetWantAll() {
			ack.News = m.allUpdates()
			ack.Digests = m.allDigests()
		}
		m.send(sender.Name, ack)
	case peerpb.HeartbeatKind_HEARTBEAT_KIND_PING_REQUEST:
		if _, known := m.records[b.GetTarget()]; known {
			m.pingRequests[b.GetTarget()] = append(m.pingRequests[b.GetTarget()], sender.Name)
			m.ping(b.GetTarget())
		}
	case peerpb.HeartbeatKind_HEARTBEAT_KIND_ACK:
		m.handleAck(sender, b, now)
	}
	if b.GetTable() != m.tableHash() {
		m.wantSync = true
	}
}

// handleAck forwards an ACK to the hosts that requested the ping, and records the target of a forwarded one as alive.
func (m *Member) handleAck(sender hostUpdate, b *peerpb.Heartbeat, now time.Time) {
	for _, name := range m.pingRequests[sender.Name] {
		ack := m.newHeartbeat(peerpb.HeartbeatKind_HEARTBEAT_KIND_ACK, name)
		ack.Target = sender.Name
		m.send(name, ack)
	}
	delete(m.pingRequests, sender.Name)
	if m.records[b.GetTarget()] != nil {
		m.noteAlive(b.GetTarget(), now)
	}
}

// merge merges a source's update of a host of the failure domain into the local view.
func (m *Member) merge(h hostUpdate, source string, now time.Time) {
	if h.Domain != m.Self.Domain || h.State == board.HostUnknown {
		return
	}
	if h.Name == m.Self.Name {
		m.refute(h)
		return
	}
	r := m.records[h.Name]
	if r == nil {
		r = &record{}
		m.records[h.Name] = r
		m.pingOrder = append(m.pingOrder, h.Name)
	}
	if r.host.State == board.HostSuspect && h.State == board.HostSuspect && h.Incarnation == r.host.Incarnation && h.refuted == r.host.refuted {
		r.suspectedBy[source] = true
	}
	if !h.overrides(r.host) {
		return
	}
	m.set(r, h, source, now)
}

func (m *Member) set(r *record, h hostUpdate, source string, now time.Time) {
	h.LastSeen = r.host.LastSeen
	if h.Incarnation > r.host.Incarnation {
		h.LastSeen = now
		r.unlistedSince = time.Time{}
	}
	r.host = h
	r.since = now
	r.sendsLeft = m.spreadCount()
	r.suspectedBy = map[string]bool{source: true}
	m.Hosts.Put(h.Host)
}

// refute raises the refutation counter if an update marks this host suspect, lost or dead.
func (m *Member) refute(h hostUpdate) {
	if !h.overrides(m.self()) {
		return
	}
	if h.Incarnation > m.Self.Incarnation {
		// The clock was set back between two starts of the host.
		m.Self.Incarnation = h.Incarnation + 1
		m.Hosts.Put(m.Self)
	}
	m.refuted = max(m.refuted, h.refuted) + 1
	m.health = min(maxHealth, m.health+1)
}

// checkProbes asks helpers to ping hosts that did not answer, and suspects those that helpers can't reach either.
func (m *Member) checkProbes(now time.Time) {
	for name, p := range m.probes {
		if r := m.records[name]; (r == nil || r.host.State != board.HostLive) && !now.Before(p.deadline) {
			delete(m.probes, name)
		}
	}
	for _, name := range m.names(board.HostLive) {
		p := m.probes[name]
		if p == nil || now.Before(p.deadline) {
			continue
		}
		if p.indirect {
			delete(m.probes, name)
			m.health = min(maxHealth, m.health+1)
			m.suspect(name, now)
			continue
		}
		p.indirect = true
		p.deadline = now.Add(m.timeout(1))
		for _, helper := range m.pickLive(helpers, name) {
			ask := m.newHeartbeat(peerpb.HeartbeatKind_HEARTBEAT_KIND_PING_REQUEST, helper)
			ask.Target = name
			m.send(helper, ask)
		}
	}
}

func (m *Member) suspect(name string, now time.Time) {
	r := m.records[name]
	h := r.host
	h.State = board.HostSuspect
	m.set(r, h, m.Self.Name, now)
}

// checkSuspects marks suspects lost when their suspicion times out; each host that shares it shortens the timeout.
func (m *Member) checkSuspects(now time.Time) {
	for _, name := range m.names(board.HostSuspect) {
		r := m.records[name]
		periods := max(suspectMinPeriods, suspectMaxPeriods-2*(len(r.suspectedBy)-1))
		if now.Sub(r.since) < m.timeout(periods) {
			continue
		}
		h := r.host
		h.State = board.HostLost
		m.set(r, h, m.Self.Name, now)
	}
}

// forgetEnded removes hosts that have been dead and unlisted for forgetPeriods.
func (m *Member) forgetEnded(now time.Time) {
	for _, name := range m.names(board.HostDead, board.HostUnknown) {
		r := m.records[name]
		if r.unlistedSince.IsZero() || now.Sub(r.unlistedSince) < forgetPeriods*m.Period || now.Sub(r.since) < forgetPeriods*m.Period {
			continue
		}
		delete(m.records, name)
		m.pingOrder = slices.DeleteFunc(m.pingOrder, func(s string) bool { return s == name })
		m.Hosts.Remove(name)
	}
}

// pingNext pings the next hosts of the ping order, and every lostProbePeriods a lost or dead one.
func (m *Member) pingNext(now time.Time) {
	sent := 0
	for range len(m.pingOrder) {
		if sent == fanout {
			break
		}
		name := m.next()
		r := m.records[name]
		if r.host.State >= board.HostLost || m.probes[name] != nil {
			continue
		}
		m.ping(name)
		m.probes[name] = &probe{deadline: now.Add(m.timeout(1))}
		sent++
	}
	if lost := m.names(board.HostLost, board.HostDead); len(lost) > 0 && m.ticks%lostProbePeriods == 0 {
		m.ping(lost[m.rand.IntN(len(lost))])
	}
}

// next returns the next host of the ping order and moves it to a random place in the order's last quarter.
func (m *Member) next() string {
	name := m.pingOrder[0]
	m.pingOrder = m.pingOrder[1:]
	at := len(m.pingOrder) - m.rand.IntN(len(m.pingOrder)/4+1)
	m.pingOrder = slices.Insert(m.pingOrder, at, name)
	return name
}

// pickLive returns up to count random live hosts other than except.
func (m *Member) pickLive(count int, except string) []string {
	live := m.names(board.HostLive)
	live = slices.DeleteFunc(live, func(s string) bool { return s == except })
	m.rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}

func (m *Member) ping(name string) {
	m.send(name, m.newHeartbeat(peerpb.HeartbeatKind_HEARTBEAT_KIND_PING, name))
}

// newHeartbeat returns a heartbeat with the updates that are still to be sent, those sent least often first.
func (m *Member) newHeartbeat(kind peerpb.HeartbeatKind, to string) *peerpb.Heartbeat {
	b := &peerpb.Heartbeat{Kind: kind, Sender: toInfo(m.self()), Table: m.tableHash()}
	if kind == peerpb.HeartbeatKind_HEARTBEAT_KIND_PING && m.wantSync && m.ticks >= m.nextSync {
		b.WantAll = true
		m.wantSync = false
		m.nextSync = m.ticks + syncPeriods
	}
	if r := m.records[to]; r != nil && r.host.State != board.HostLive {
		// The receiver gets its own state in the local view, so that it can refute it.
		b.News = append(b.News, toInfo(r.host))
	}
	b.News = append(b.News, m.pendingUpdates()...)
	b.Digests = m.pendingDigests()
	return b
}

func (m *Member) pendingUpdates() []*peerpb.HostInfo {
	var waiting []*record
	for _, name := range m.names(board.HostLive, board.HostSuspect, board.HostLeaving, board.HostLost, board.HostDead) {
		if r := m.records[name]; r.sendsLeft > 0 {
			waiting = append(waiting, r)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *record) int { return b.sendsLeft - a.sendsLeft })
	var list []*peerpb.HostInfo
	for _, r := range waiting[:min(maxUpdates, len(waiting))] {
		r.sendsLeft--
		list = append(list, toInfo(r.host))
	}
	return list
}

// allUpdates returns the local view of all other hosts of the failure domain.
func (m *Member) allUpdates() []*peerpb.HostInfo {
	var list []*peerpb.HostInfo
	for _, name := range m.names(board.HostLive, board.HostSuspect, board.HostLeaving, board.HostLost, board.HostDead) {
		list = append(list, toInfo(m.records[name].host))
	}
	return list
}

func (m *Member) send(to string, b *peerpb.Heartbeat) {
	m.outgoing = append(m.outgoing, peer.Outgoing{To: to, Message: &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: b}}})
}
