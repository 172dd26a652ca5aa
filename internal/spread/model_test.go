package spread_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/spread"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// storeReader reads the store without the hidden keys, which simulates a stale read.
type storeReader struct {
	memory *objapi.Memory
	hidden map[string]bool
}

func (r storeReader) Get(_ context.Context, key string) (object.Object, error) {
	if r.hidden[key] {
		return object.Object{}, object.ErrNotFound
	}
	return r.memory.Get(key)
}

func (r storeReader) List(_ context.Context, prefix string) (object.Listing, error) {
	l := r.memory.List(prefix)
	l.Objects = slices.DeleteFunc(l.Objects, func(o object.Object) bool { return r.hidden[o.Key] })
	return l, nil
}

func (r storeReader) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	return r.memory.Put(key, value, expect)
}

type host struct {
	name  string
	board *board.Board
	core  *spread.Core
}

type envelope struct {
	from, to string
	message  *peerpb.Message
}

// fleetModel simulates a fleet of cores, a store and the messages between the cores, delivered in any order.
type fleetModel struct {
	now         time.Time
	memory      objapi.Memory
	hosts       []*host
	inFlight    []envelope
	changeCount int
	// acknowledged maps each version whose acceptance was confirmed to an operator to the change's ID.
	acknowledged map[change.Version]string
	// lastSeen is the highest version of each host since its start.
	lastSeen map[string]change.Version
}

func newModel(hosts int) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), acknowledged: make(map[change.Version]string), lastSeen: make(map[string]change.Version)}
	for i := range hosts {
		m.hosts = append(m.hosts, &host{name: fmt.Sprintf("host-%d", i)})
	}
	for _, h := range m.hosts {
		m.restart(h)
	}
	return m
}

func (m *fleetModel) restart(h *host) {
	h.board = &board.Board{}
	for i, other := range m.hosts {
		h.board.Hosts.Put(board.Host{Name: other.name, Domain: fmt.Sprintf("domain-%d", i%2), State: board.HostLive})
	}
	i := slices.Index(m.hosts, h)
	h.core = &spread.Core{
		Self: h.name, Domain: fmt.Sprintf("domain-%d", i%2), Board: h.board,
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Started: m.now,
	}
	m.lastSeen[h.name] = 0
}

func (m *fleetModel) newestVersion() change.Version {
	v := change.Version(0)
	for {
		if _, err := m.memory.Get(change.Key(v + 1)); err != nil {
			return v
		}
		v++
	}
}

func (m *fleetModel) enqueue(from *host, out []peer.Outgoing) {
	for _, o := range out {
		m.inFlight = append(m.inFlight, envelope{from: from.name, to: o.To, message: o.Message})
	}
}

func (m *fleetModel) deliver(e envelope) {
	i := slices.IndexFunc(m.hosts, func(h *host) bool { return h.name == e.to })
	h := m.hosts[i]
	answers, others := h.core.Receive(m.now, e.from, e.message)
	for _, a := range answers {
		m.inFlight = append(m.inFlight, envelope{from: h.name, to: e.from, message: a})
	}
	m.enqueue(h, others)
}

func (m *fleetModel) tick(h *host) bool {
	p := h.core.Tick(m.now)
	m.enqueue(h, p.Messages)
	return p.Fetch
}

func (m *fleetModel) fetch(h *host, behind int) error {
	hidden := make(map[string]bool)
	for i := range behind {
		hidden[change.Key(m.newestVersion()-change.Version(i))] = true
	}
	f, err := spread.Fetch(context.Background(), storeReader{&m.memory, hidden}, h.board.Config.State(), h.core.Entry)
	if err != nil {
		h.core.FetchFailed(m.now)
		return err
	}
	m.enqueue(h, h.core.FetchSucceeded(m.now, m.now, f))
	return nil
}

// write commits a change based on the host's state, which may be old. With lost, the answer to the first put is lost;
// with crash, the host restarts after the commit.
func (m *fleetModel) write(h *host, lost, crash bool) {
	m.changeCount++
	row := config.Row{Workspace: fmt.Sprintf("w-%d", m.changeCount%3), Service: "s", Weight: float64(m.changeCount)}
	edit := func(change.State) ([]change.Edit, error) { return []change.Edit{{To: &change.Item{Row: &row}}}, nil }
	a, err := commit.Prepare(h.board.Config.State(), commit.Request{ID: fmt.Sprintf("c-%d", m.changeCount), Edit: edit}, m.now)
	if err != nil {
		panic(err)
	}
	key := change.Key(a.Entry.Change.Version)
	for a.Next() != commit.StepDone {
		if a.Next() == commit.StepGet {
			a.Get(m.memory.Get(key))
			continue
		}
		_, err := m.memory.Put(key, a.Entry.Raw, 0)
		if lost {
			err = object.ErrUnknown
			lost = false
		}
		a.Put(err)
	}
	if a.Outcome() != commit.OutcomeAccepted {
		return
	}
	m.acknowledged[a.Entry.Change.Version] = a.Entry.Change.ID
	if crash {
		m.restart(h)
		return
	}
	m.enqueue(h, h.core.Apply(m.now, []change.Entry{a.Entry}))
}

// check asserts that no host's version decreased and that each state and each acknowledged change is that of the store.
func (m *fleetModel) check(t assert.TestingT) {
	for _, h := range m.hosts {
		s := h.board.Config.State()
		assert.Assert(t, s.Version >= m.lastSeen[h.name], "version of %s decreased from %d to %d", h.name, m.lastSeen[h.name], s.Version)
		m.lastSeen[h.name] = s.Version
		if s.Version > 0 {
			assert.Equal(t, s.ID, m.storedChange(t, s.Version).ID)
		}
		assert.Assert(t, !h.core.IsForked())
	}
	for v, id := range m.acknowledged {
		assert.Equal(t, m.storedChange(t, v).ID, id)
	}
}

func (m *fleetModel) storedChange(t assert.TestingT, v change.Version) change.Change {
	o, err := m.memory.Get(change.Key(v))
	assert.NilError(t, err)
	e, err := change.Decode(o.Value)
	assert.NilError(t, err)
	return e.Change
}

// settle runs the fleet for five seconds and delivers all messages.
func (m *fleetModel) settle(withStore bool) {
	for range 50 {
		m.now = m.now.Add(spread.Period)
		for _, h := range m.hosts {
			if m.tick(h) && withStore {
				_ = m.fetch(h, 0)
			} else {
				h.core.FetchFailed(m.now)
			}
		}
		for len(m.inFlight) > 0 {
			e := m.inFlight[0]
			m.inFlight = m.inFlight[1:]
			m.deliver(e)
		}
	}
}

func TestVersionsNeverDecrease(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		assert.NilError(t, f.Value.Set("1"))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5)
		pick := func(t *rapid.T) *host { return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { m.check(t) },
			"write": func(t *rapid.T) {
				m.write(pick(t), rapid.Bool().Draw(t, "lost"), rapid.IntRange(0, 5).Draw(t, "crash") == 0)
			},
			"fetch": func(t *rapid.T) {
				behind := rapid.IntRange(0, int(min(3, m.newestVersion()))).Draw(t, "behind")
				assert.NilError(t, m.fetch(pick(t), behind))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				m.tick(pick(t))
			},
			"deliver": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
				e := m.inFlight[i]
				if !rapid.Bool().Draw(t, "duplicate") {
					m.inFlight = slices.Delete(m.inFlight, i, i+1)
				}
				m.deliver(e)
			},
			"base": func(t *rapid.T) {
				assert.NilError(t, spread.SaveSnapshot(context.Background(), storeReader{&m.memory, nil}, pick(t).board.Config.State()))
			},
			"drop":    func(*rapid.T) { m.inFlight = m.inFlight[len(m.inFlight)/2:] },
			"restart": func(t *rapid.T) { m.restart(pick(t)) },
		})
		m.settle(true)
		m.check(t)
		for _, h := range m.hosts {
			assert.Equal(t, h.board.Config.State().Version, m.newestVersion(), h.name)
			assert.Assert(t, h.core.IsReady())
		}
	})
}

func TestStartingHostSyncsFromPeersDuringStoreOutage(t *testing.T) {
	m := newModel(5)
	m.settle(true)
	for range 3 {
		m.write(m.hosts[0], false, false)
	}
	m.settle(true)
	m.restart(m.hosts[4])
	assert.Assert(t, !m.hosts[4].core.IsReady())
	m.settle(false)
	assert.Assert(t, m.hosts[4].core.IsReady())
	assert.Equal(t, m.hosts[4].board.Config.State().Version, change.Version(3))
}

func TestLostChangesAreRestoredToStore(t *testing.T) {
	m := newModel(5)
	m.settle(true)
	for range 4 {
		m.write(m.hosts[0], false, false)
	}
	m.settle(true)
	for v := change.Version(3); v <= 4; v++ {
		o, err := m.memory.Get(change.Key(v))
		assert.NilError(t, err)
		assert.NilError(t, m.memory.Delete(change.Key(v), o.Version))
	}
	assert.Equal(t, m.newestVersion(), change.Version(2))
	m.restart(m.hosts[4])
	m.settle(true)
	assert.Equal(t, m.newestVersion(), change.Version(4))
	m.check(t)
	assert.Equal(t, m.hosts[4].board.Config.State().Version, change.Version(4))
}

func TestConflictingHistoryIsRejectedAndReported(t *testing.T) {
	m := newModel(2)
	m.settle(true)
	m.write(m.hosts[0], false, false)
	m.settle(true)
	other, err := change.Encode(change.Change{Version: 1, ID: "other"})
	assert.NilError(t, err)
	before := m.hosts[1].board.Config.State()
	m.hosts[1].core.Apply(m.now, []change.Entry{other})
	assert.Assert(t, m.hosts[1].core.IsForked())
	assert.Equal(t, m.hosts[1].board.Config.State().ID, before.ID)
}

func TestFailedReadsBackOff(t *testing.T) {
	m := newModel(40)
	calls := make(map[time.Duration]int)
	begin := m.now
	for range 600 {
		m.now = m.now.Add(spread.Period)
		for _, h := range m.hosts {
			if m.tick(h) {
				calls[m.now.Sub(begin).Truncate(time.Second)]++
				h.core.FetchFailed(m.now)
			}
		}
		m.inFlight = nil
	}
	worst := 0
	for second, n := range calls {
		if second >= 5*time.Second {
			worst = max(worst, n)
		}
	}
	assert.Assert(t, worst <= 40, "%d reads in one second of a store outage without peers", worst)
}
