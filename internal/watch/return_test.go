package watch

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// sinks are the sinks of one host.
type sinks struct {
	pool    *pool.Pool
	holder  *policy.Holder
	tables  *Tables
	servers *Servers
	domains *Evacuations
}

func newSinks() *sinks {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s := &sinks{pool: &pool.Pool{Domain: "d1", Region: "east"}, holder: &policy.Holder{}}
	s.tables = &Tables{Holder: s.holder, Log: log}
	s.servers = &Servers{Pool: s.pool, Health: &Health{Log: log}, Log: log}
	s.domains = &Evacuations{Pool: s.pool, Log: log}
	return s
}

func (s *sinks) isAvailable(id string) bool {
	_, ok := s.pool.Get(id, time.Now())
	return ok
}

func newServer(id string, started, sequence int64, isLeaving bool) pool.Server {
	return pool.Server{
		ID: id, Service: "model", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d1", Region: "east", Slots: 8,
		StartedMS: started, Sequence: sequence, Draining: isLeaving,
	}
}

func position(era, revision int64) epoch.Position {
	return epoch.Position{Era: era, Revision: revision}
}

// TestServersAfterAReturn guards against servers that take requests again because a copy of the store shows an earlier state of them, and
// against servers that are given up although they live.
func TestServersAfterAReturn(t *testing.T) {
	healthy, leaving := newServer("a", 100, 4, false), newServer("a", 100, 5, true)
	for _, tc := range []struct {
		name string
		// before are the entries that the host has read before the return, in order; nil means that the entry was removed.
		before []*pool.Server
		// copied is the entry in the copy, nil for none; after is what the server writes a second later, nil for nothing.
		copied, after *pool.Server
		// isAvailable is whether it takes requests at once, after 1.5 s and after 10 s.
		isAvailable [3]bool
	}{
		{"healthy, in the copy too", []*pool.Server{&healthy}, &healthy, nil, [3]bool{true, true, true}},
		{"leaving, healthy in the copy, and its entry is kept", []*pool.Server{&healthy, &leaving}, &healthy, nil, [3]bool{false, false, true}},
		{"leaving, and says so again", []*pool.Server{&healthy, &leaving}, &healthy, &leaving, [3]bool{}},
		{"leaving, healthy in the copy, and says that it is healthy", []*pool.Server{&healthy, &leaving}, &healthy, new(newServer("a", 100, 6, false)), [3]bool{false, true, true}},
		{"leaving, in the copy too", []*pool.Server{&leaving}, &leaving, nil, [3]bool{}},
		{"gone, in the copy, and writes", []*pool.Server{&healthy, nil}, &healthy, new(newServer("a", 100, 5, false)), [3]bool{false, true, true}},
		{"gone, in the copy, and its entry is kept", []*pool.Server{&healthy, nil}, &healthy, nil, [3]bool{false, false, true}},
		{"gone, in the copy with a later state", []*pool.Server{&healthy, nil}, new(newServer("a", 100, 9, false)), nil, [3]bool{true, true, true}},
		{"gone, and a later lifetime in the copy", []*pool.Server{&healthy, nil}, new(newServer("a", 900, 1, false)), nil, [3]bool{true, true, true}},
		{"an earlier lifetime in the copy", []*pool.Server{new(newServer("a", 900, 1, false))}, &healthy, nil, [3]bool{true, true, false}},
		{"an earlier lifetime in the copy, and writes", []*pool.Server{new(newServer("a", 900, 1, false))}, &healthy, new(newServer("a", 900, 2, false)), [3]bool{true, true, true}},
		{"new, not in the copy, and writes", []*pool.Server{&healthy}, nil, &healthy, [3]bool{true, true, true}},
		{"new, not in the copy, and writes nothing", []*pool.Server{&healthy}, nil, nil, [3]bool{true, true, false}},
		{"not known", nil, &healthy, nil, [3]bool{true, true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSinks()
				s.servers.Replace(Batch[pool.Server]{At: position(1, 1)}, 0)
				for _, entry := range tc.before {
					if entry == nil {
						s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Removed: []string{"a"}}, 0)
					} else {
						s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Changed: []pool.Server{*entry}}, 0)
					}
				}
				time.Sleep(time.Second)
				list := Batch[pool.Server]{At: position(2, 1)}
				if tc.copied != nil {
					list.Changed = []pool.Server{*tc.copied}
				}
				s.servers.Replace(list, 0)
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[0], "at once")
				time.Sleep(time.Second)
				if tc.after != nil {
					s.servers.Apply(Batch[pool.Server]{At: position(2, 2), Changed: []pool.Server{*tc.after}}, 0)
				}
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[1], "after 1.5 s")
				for range 9 {
					time.Sleep(time.Second)
					s.servers.Apply(Batch[pool.Server]{At: position(2, 2)}, 0)
				}
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[2], "after 10 s")
			})
		})
	}
}

// TestServerRemovedWhileItIsHeldBackStaysGone guards against a server that is gone, whose entry in the copy the store has removed too.
func TestServerRemovedWhileItIsHeldBackStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSinks()
		healthy := newServer("a", 100, 4, false)
		s.servers.Replace(Batch[pool.Server]{At: position(1, 1), Changed: []pool.Server{healthy}}, 0)
		s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Removed: []string{"a"}}, 0)
		s.servers.Replace(Batch[pool.Server]{At: position(2, 1), Changed: []pool.Server{healthy}}, 0)
		s.servers.Apply(Batch[pool.Server]{At: position(2, 2), Removed: []string{"a"}}, 0)
		time.Sleep(2 * silenceTime)
		s.servers.Apply(Batch[pool.Server]{At: position(2, 2)}, 0)
		assert.Assert(t, !s.isAvailable("a"))
	})
}

// TestEvacuationsAfterAReturn guards against failure domains that are in or out again because a copy of the store shows an earlier state.
func TestEvacuationsAfterAReturn(t *testing.T) {
	order := func(revision int64) []Evacuation { return []Evacuation{{Domain: "d2", Revision: revision}} }
	for _, tc := range []struct {
		name   string
		before func(e *Evacuations)
		copied []Evacuation
		after  func(e *Evacuations)
		// isOut is whether the domain is out at once, after what is written, and after a minute.
		isOut [3]bool
	}{
		{"out, in the copy too", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, order(5), nil, [3]bool{true, true, true}},
		{
			"out, not in the copy, and written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil,
			func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 4), Changed: order(4)}, 0) },
			[3]bool{true, true, true},
		},
		{"out, not in the copy, not written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil, nil, [3]bool{true, true, false}},
		{
			"taken back, in the copy", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5), func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 4), Removed: []string{"d2"}}, 0) }, [3]bool{},
		},
		{
			"taken back, in the copy, and not taken back again", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5), nil, [3]bool{false, false, true},
		},
		{
			"taken back, in the copy, and ordered again", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5),
			func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 9), Changed: order(9)}, 0) },
			[3]bool{false, true, true},
		},
		{
			"taken back, and ordered before the first list", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(7), nil, [3]bool{true, true, true},
		},
		{
			"out, not in the copy, and taken back after it was written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil,
			func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(2, 4), Changed: order(4)}, 0)
				e.Apply(Batch[Evacuation]{At: position(2, 5), Removed: []string{"d2"}}, 0)
			},
			[3]bool{true, false, false},
		},
		{"not known", func(*Evacuations) {}, order(3), nil, [3]bool{true, true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSinks()
				s.domains.Replace(Batch[Evacuation]{At: position(1, 1)}, 0)
				tc.before(s.domains)
				isOut := func() bool { return slices.Contains(s.pool.Evacuated(), "d2") }
				s.domains.Replace(Batch[Evacuation]{At: position(2, 3), Changed: tc.copied}, 0)
				assert.Equal(t, isOut(), tc.isOut[0], "at once")
				// A list of the same era shows the copy once more.
				s.domains.Replace(Batch[Evacuation]{At: position(2, 3), Changed: tc.copied}, 0)
				assert.Equal(t, isOut(), tc.isOut[0], "after a second list")
				if tc.after != nil {
					tc.after(s.domains)
				}
				assert.Equal(t, isOut(), tc.isOut[1], "after what is written")
				time.Sleep(time.Minute)
				s.domains.Apply(Batch[Evacuation]{At: position(2, 9)}, 0)
				assert.Equal(t, isOut(), tc.isOut[2], "after a minute")
			})
		})
	}
}

// TestOlderTableOfACopyConfirmsNothing guards against keys that were withdrawn and count as confirmed by a copy of the store that still
// holds them.
func TestOlderTableOfACopyConfirmsNothing(t *testing.T) {
	batch := func(era, version int64) Batch[*policy.Table] {
		b := Batch[*policy.Table]{At: position(era, version)}
		if version > 0 {
			b.Changed = []*policy.Table{{Version: version}}
		}
		return b
	}
	s := newSinks()
	s.tables.Replace(batch(1, 8), time.Second)
	s.tables.Replace(batch(2, 7), 2*time.Second)
	s.tables.Apply(batch(2, 0), 3*time.Second)
	table, confirmed := s.holder.View()
	assert.Equal(t, table.Version, int64(8))
	assert.Equal(t, confirmed, time.Second, "nothing confirms version 8")
	s.tables.Apply(batch(2, 8), 4*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 4*time.Second, "written again")
	s.tables.Replace(batch(3, 0), 5*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 4*time.Second, "a copy without a table")
	s.tables.Apply(batch(3, 9), 6*time.Second)
	table, confirmed = s.holder.View()
	assert.Equal(t, table.Version, int64(9))
	assert.Equal(t, confirmed, 6*time.Second)
	s.tables.Replace(batch(3, 9), 7*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 7*time.Second, "the same era")
}

// modelStore is a store with servers, orders for failure domains and a table, which can come back from a copy.
type modelStore struct {
	state   modelState
	era     int64
	history []modelChange
	// truth is what the servers and the operator have written last.
	truth modelState
}

type modelState struct {
	revision int64
	servers  map[string]pool.Server
	domains  map[string]int64
	table    int64
}

// modelChange is one change in the history of an era.
type modelChange struct {
	revision int64
	server   *pool.Server
	domain   string
	isGone   bool
	name     string
	table    int64
}

func (s modelState) clone() modelState {
	cloned := modelState{revision: s.revision, table: s.table, servers: map[string]pool.Server{}, domains: map[string]int64{}}
	for k, v := range s.servers {
		cloned.servers[k] = v
	}
	for k, v := range s.domains {
		cloned.domains[k] = v
	}
	return cloned
}

func (m *modelStore) change(c modelChange) {
	m.state.revision++
	c.revision = m.state.revision
	switch {
	case c.server != nil:
		m.state.servers[c.server.ID] = *c.server
	case c.table > 0:
		m.state.table = c.table
	case c.domain != "" && c.isGone:
		delete(m.state.domains, c.domain)
	case c.domain != "":
		m.state.domains[c.domain] = c.revision
	default:
		delete(m.state.servers, c.name)
	}
	m.history = append(m.history, c)
}

// rewrite writes again what the servers and the operator have written.
func (m *modelStore) rewrite() {
	m.heartbeat()
	for d := range m.truth.domains {
		if _, found := m.state.domains[d]; !found {
			m.change(modelChange{domain: d})
		}
	}
	for d := range m.state.domains {
		if _, found := m.truth.domains[d]; !found {
			m.change(modelChange{domain: d, isGone: true})
		}
	}
	if m.truth.table > m.state.table {
		m.change(modelChange{table: m.truth.table})
	}
}

// heartbeat writes what the servers write again and again, and removes the entries of those that write nothing more.
func (m *modelStore) heartbeat() {
	for id, s := range m.truth.servers {
		if m.state.servers[id] != s {
			m.change(modelChange{server: &s})
		}
	}
	for id := range m.state.servers {
		if _, found := m.truth.servers[id]; !found {
			m.change(modelChange{name: id})
		}
	}
}

// modelHost is a host that reads the store at times.
type modelHost struct {
	*sinks

	at  epoch.Position
	now *time.Time
	// leaving are the servers of which the host has learned that they leave or are gone.
	leaving map[string]bool
	// known are all servers that the host has ever known.
	known   map[string]bool
	version int64
}

// read makes the host read what it has not read, as a watch or, if that is not possible, as a list.
func (h *modelHost) read(m *modelStore) {
	at := epoch.Position{Era: m.era, Revision: m.state.revision}
	var servers Batch[pool.Server]
	var domains Batch[Evacuation]
	var tables Batch[*policy.Table]
	servers.At, domains.At, tables.At = at, at, at
	if h.at.Era != m.era {
		for _, s := range m.state.servers {
			servers.Changed = append(servers.Changed, s)
		}
		for d, revision := range m.state.domains {
			domains.Changed = append(domains.Changed, Evacuation{d, revision})
		}
		tables.Changed = append(tables.Changed, &policy.Table{Version: m.state.table})
		h.servers.Replace(servers, 0)
		h.domains.Replace(domains, 0)
		h.tables.Replace(tables, 0)
		h.at = at
		return
	}
	// Each change is a batch of its own, as if the host had called that often.
	for _, c := range m.history {
		if c.revision <= h.at.Revision {
			continue
		}
		servers.Changed, servers.Removed, domains.Changed, domains.Removed, tables.Changed = nil, nil, nil, nil, nil
		switch {
		case c.server != nil:
			servers.Changed = []pool.Server{*c.server}
		case c.table > 0:
			tables.Changed = []*policy.Table{{Version: c.table}}
		case c.domain != "" && c.isGone:
			domains.Removed = []string{c.domain}
		case c.domain != "":
			domains.Changed = []Evacuation{{c.domain, c.revision}}
		default:
			servers.Removed = []string{c.name}
		}
		h.servers.Apply(servers, 0)
		h.domains.Apply(domains, 0)
		h.tables.Apply(tables, 0)
	}
	h.at = at
}

// TestNothingLearnedIsUnlearned checks, over orders of writes, copies, returns and reads by several hosts, that a server of which a host
// has learned that it leaves takes no requests there in its lifetime, that tables never go back, and that all hosts agree in the end.
func TestNothingLearnedIsUnlearned(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now, returnedAt := time.Unix(1_000_000, 0), time.Time{}
		empty := modelState{revision: 1, table: 1, servers: map[string]pool.Server{}, domains: map[string]int64{}}
		m := &modelStore{state: empty.clone(), truth: empty.clone(), era: 1}
		copied, copiedHistory := m.state.clone(), 0
		hosts := make([]*modelHost, 3)
		for i := range hosts {
			hosts[i] = &modelHost{sinks: newSinks(), leaving: make(map[string]bool), known: make(map[string]bool), now: &now}
			hosts[i].servers.Now = func() time.Time { return now }
			hosts[i].domains.Now = hosts[i].servers.Now
		}
		check := func() {
			for i, h := range hosts {
				for id := range h.leaving {
					if h.isAvailable(id) {
						r.Fatalf("host %d: server %s, which leaves, takes requests", i, id)
					}
				}
				if table, _ := h.holder.View(); table != nil {
					if table.Version < h.version {
						r.Fatalf("host %d: table %d after %d", i, table.Version, h.version)
					}
					h.version = table.Version
				}
			}
		}
		servers := 0
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(r, "pause")) * time.Millisecond)
			if !returnedAt.IsZero() && now.Sub(returnedAt) > 5*time.Second {
				m.heartbeat()
			}
			switch rapid.SampledFrom([]string{"start", "leave", "end", "domain", "table", "copy", "return", "rewrite", "read", "read", "read"}).Draw(r, "step") {
			case "start":
				servers++
				s := newServer(fmt.Sprint("s", servers), int64(1000+servers), 1, false)
				m.truth.servers[s.ID] = s
				m.change(modelChange{server: &s})
			case "leave":
				if id := draw(r, m.truth.servers); id != "" {
					s := m.truth.servers[id]
					s.Sequence, s.Draining = s.Sequence+1, true
					m.truth.servers[id] = s
					m.change(modelChange{server: &s})
				}
			case "end":
				if id := draw(r, m.truth.servers); id != "" {
					delete(m.truth.servers, id)
					m.change(modelChange{name: id})
				}
			case "domain":
				d := fmt.Sprint("x", rapid.IntRange(0, 2).Draw(r, "domain"))
				if _, isOut := m.truth.domains[d]; isOut {
					delete(m.truth.domains, d)
					m.change(modelChange{domain: d, isGone: true})
				} else {
					m.truth.domains[d] = 1
					m.change(modelChange{domain: d})
				}
			case "table":
				m.truth.table++
				m.change(modelChange{table: m.truth.table})
			case "copy":
				copied, copiedHistory = m.state.clone(), len(m.history)
			case "return":
				m.era++
				returnedAt = now
				m.state, m.history = copied.clone(), slices.Clone(m.history[:min(copiedHistory, len(m.history))])
			case "rewrite":
				m.rewrite()
			case "read":
				h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(r, "host")]
				h.read(m)
				h.learn(m)
			}
			check()
		}
		m.rewrite()
		for range 2 {
			for _, h := range hosts {
				h.read(m)
			}
			now = now.Add(rewriteTime + time.Second)
			for _, h := range hosts {
				h.servers.Apply(Batch[pool.Server]{At: h.at}, 0)
				h.domains.Apply(Batch[Evacuation]{At: h.at}, 0)
			}
			check()
		}
		for i, h := range hosts {
			for id, s := range m.truth.servers {
				if h.isAvailable(id) == s.Draining {
					r.Fatalf("host %d: server %s available %t, leaving %t", i, id, h.isAvailable(id), s.Draining)
				}
			}
			for id := range h.pool.Snapshot() {
				if _, found := m.truth.servers[id.ID]; !found && h.isAvailable(id.ID) {
					r.Fatalf("host %d: server %s is gone and takes requests", i, id.ID)
				}
			}
			out := slices.Sorted(func(yield func(string) bool) {
				for d := range m.truth.domains {
					if !yield(d) {
						return
					}
				}
			})
			if !slices.Equal(h.pool.Evacuated(), out) {
				r.Fatalf("host %d: failure domains %v are out, not %v", i, h.pool.Evacuated(), out)
			}
			if table, _ := h.holder.View(); table.Version != m.truth.table {
				r.Fatalf("host %d: table %d, not %d", i, table.Version, m.truth.table)
			}
		}
	})
}

// isAvailable reports whether a server takes requests at the host now.
func (h *modelHost) isAvailable(id string) bool {
	_, ok := h.pool.Get(id, *h.now)
	return ok
}

// learn records which servers the host knows to leave or to be gone now.
func (h *modelHost) learn(m *modelStore) {
	for s := range h.pool.Snapshot() {
		h.known[s.ID] = true
		if s.Draining {
			h.leaving[s.ID] = true
		}
	}
	for id := range h.known {
		if _, lives := m.truth.servers[id]; !lives && !h.isAvailable(id) {
			h.leaving[id] = true
		}
	}
}

func draw(r *rapid.T, servers map[string]pool.Server) string {
	var ids []string
	for id := range servers {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(r, "server")
}
