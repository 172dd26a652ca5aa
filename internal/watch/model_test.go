package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

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
