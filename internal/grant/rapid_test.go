package grant_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/grant"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

const (
	period = 500 * time.Millisecond
	limit  = 5
)

// chooser draws the next random number below a bound.
type chooser func(below int, label string) int

// node is one process; a restart creates a new one.
type node struct {
	name        string
	ledger      *grant.Ledger
	startedAt   time.Time
	pausedUntil time.Time
	// deadAfter is the time without a heartbeat after which the node considers another one dead.
	deadAfter time.Duration
	lastSeen  map[string]time.Time
	stopped   bool
	stoppedAt time.Time
}

// execution is one request that runs at a backend server.
type execution struct {
	node *node
	at   time.Time
	// endOdds is the reciprocal of the probability to end in a step.
	endOdds int
}

// simulation connects ledgers by a network with delay, loss and partitions, and counts what actually runs.
type simulation struct {
	loop       *vtime.Loop
	choose     chooser
	nodes      map[string]*node
	names      []string
	stopped    []*node
	partition  map[string]int
	backends   []grant.Backend
	running    map[string]map[string]execution
	history    map[string][]sample
	lastID     int
	maxRunning int
	reliable   bool
	// frequentJoins makes hosts with new names join often, also in another partition.
	frequentJoins bool
	// listLag is the age of the platform's list.
	listLag time.Duration
}

// sample is the number of running requests from a point in time on.
type sample struct {
	at      time.Time
	running int
}

func newSimulation(hosts int, choose chooser) *simulation {
	w := &simulation{
		loop:      vtime.New(time.Unix(1_000_000, 0)),
		choose:    choose,
		nodes:     make(map[string]*node),
		partition: make(map[string]int),
		running:   make(map[string]map[string]execution),
		history:   make(map[string][]sample),
		listLag:   time.Duration(choose(16, "list lag")) * period,
	}
	for i := range 2 {
		name := fmt.Sprintf("engine-%d", i)
		w.backends = append(w.backends, grant.Backend{Name: name, Domain: "d", Max: limit, Cold: limit})
		w.running[name] = make(map[string]execution)
	}
	for i := range hosts {
		w.startNode(fmt.Sprintf("entry-%d", i))
	}
	return w
}

func (w *simulation) startNode(name string) {
	w.lastID++
	l := &grant.Ledger{Self: name, Domain: "d", Incarnation: uint64(w.lastID), Period: period}
	l.SetBackends(w.backends)
	n := &node{name: name, ledger: l, startedAt: w.loop.Now(), lastSeen: make(map[string]time.Time)}
	n.deadAfter = time.Duration(2+w.choose(12, "patience")) * period
	w.nodes[name] = n
	if !slices.Contains(w.names, name) {
		w.names = append(w.names, name)
		slices.Sort(w.names)
	}
}

func (w *simulation) stopNode(name string) {
	n := w.nodes[name]
	n.stopped = true
	n.stoppedAt = w.loop.Now()
	w.stopped = append(w.stopped, n)
	delete(w.nodes, name)
}

// listed reports whether the platform's list, which lags by listLag, names a host.
func (w *simulation) listed(name string) bool {
	at := w.loop.Now().Add(-w.listLag)
	if n := w.nodes[name]; n != nil && !n.startedAt.After(at) {
		return true
	}
	for _, n := range w.stopped {
		if n.name == name && !n.startedAt.After(at) && n.stoppedAt.After(at) {
			return true
		}
	}
	return false
}

// view returns a node's local view according to its failure detector and the platform's list.
func (w *simulation) view(n *node) grant.HostView {
	now := w.loop.Now()
	v := grant.HostView{Live: []string{n.name}}
	v.Listed = w.listed(n.name) && !n.startedAt.After(now.Add(-w.listLag))
	for _, name := range w.names {
		if name == n.name {
			continue
		}
		seenRecently := now.Sub(n.lastSeen[name]) < n.deadAfter
		if seenRecently {
			v.Live = append(v.Live, name)
		}
		if seenRecently || w.listed(name) || n.lastSeen[name].After(now.Add(-w.listLag)) {
			v.Present = append(v.Present, grant.Host{Name: name})
		}
	}
	return v
}

func (w *simulation) isAwake(n *node) bool { return !n.stopped && !w.loop.Now().Before(n.pausedUntil) }

func (w *simulation) send(from *node, out []peer.Outgoing) {
	for _, o := range out {
		delay := w.delay(o)
		if !w.reliable && w.choose(20, "lost") == 0 {
			continue
		}
		// Messages are marshaled, so that ledgers share no memory.
		text, _ := proto.Marshal(o.Message)
		w.loop.After(delay, func() {
			to := w.nodes[o.To]
			if to == nil || !w.isAwake(to) || w.partition[from.name] != w.partition[o.To] {
				return
			}
			m := &peerpb.Message{}
			_ = proto.Unmarshal(text, m)
			w.send(to, to.ledger.Receive(from.name, m.GetLend(), w.loop.Now()))
		})
	}
}

// delay draws the network delay of a message. The delay of former owners' reports is bounded by the sender's
// timeout, like that of load reports; leases must be safe under any delay.
func (w *simulation) delay(o peer.Outgoing) time.Duration {
	d := time.Duration(w.choose(5, "delay")) * period / 2
	if !w.reliable && o.Message.GetLend().GetFormer() == nil && w.choose(6, "long") == 0 {
		d += time.Duration(w.choose(24, "long delay")) * period
	}
	return d
}

// step advances the clock by half a period: hosts tick, load reports arrive, requests start and end.
func (w *simulation) step() {
	w.loop.RunUntil(w.loop.Now().Add(period / 2))
	now := w.loop.Now()
	for _, name := range w.names {
		n := w.nodes[name]
		if n == nil || !w.isAwake(n) {
			continue
		}
		for other, o := range w.nodes {
			if w.isAwake(o) && w.partition[other] == w.partition[name] {
				n.lastSeen[other] = now
			}
		}
		// A resumed host starts requests before its next tick.
		w.startSome(n)
		w.send(n, n.ledger.Tick(w.view(n), now))
		for _, b := range w.backends {
			lag := time.Duration(w.choose(3, "report lag")) * period / 2
			n.ledger.Report(b.Name, engine.Load{Boot: "1", At: now, Running: w.runningAt(b.Name, now.Add(-lag))}, now)
		}
		w.startSome(n)
	}
	w.endSome()
}

func (w *simulation) startSome(n *node) {
	now := w.loop.Now()
	for _, b := range w.backends {
		for n.ledger.Headroom(b.Name, now) > 0 && w.choose(3, "start") > 0 {
			w.lastID++
			id := fmt.Sprint(w.lastID)
			n.ledger.Started(b.Name, id, now)
			w.running[b.Name][id] = execution{node: n, at: now, endOdds: 4 + w.choose(2, "long request")*100}
			w.record(b.Name)
		}
	}
}

// endSome ends some requests; their hosts are notified with a delay.
func (w *simulation) endSome() {
	for _, b := range w.backends {
		for _, id := range sortedKeys(w.running[b.Name]) {
			f := w.running[b.Name][id]
			if w.choose(f.endOdds, "end") != 0 {
				continue
			}
			delete(w.running[b.Name], id)
			w.record(b.Name)
			w.loop.After(time.Duration(w.choose(3, "end lag"))*period/2, func() {
				f.node.ledger.Ended(b.Name, id, sched.Outcome{Result: sched.ResultOK}, w.loop.Now())
			})
		}
	}
}

func (w *simulation) record(backend string) {
	n := len(w.running[backend])
	w.maxRunning = max(w.maxRunning, n)
	w.history[backend] = append(w.history[backend], sample{w.loop.Now(), n})
}

func (w *simulation) runningAt(backend string, t time.Time) int {
	for _, p := range slices.Backward(w.history[backend]) {
		if !p.at.After(t) {
			return p.running
		}
	}
	return 0
}

func sortedKeys(m map[string]execution) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// injectFault causes or ends one random fault.
func (w *simulation) injectFault() {
	name := w.names[w.choose(len(w.names), "host")]
	n := w.nodes[name]
	if w.frequentJoins && w.choose(2, "join") == 0 && len(w.names) < 16 {
		joined := fmt.Sprintf("entry-%d", len(w.names))
		w.startNode(joined)
		w.partition[joined] = w.choose(3, "side")
		return
	}
	switch w.choose(8, "action") {
	case 0:
		w.partition[name] = w.choose(3, "side")
	case 1:
		w.partition = make(map[string]int)
	case 2:
		if n != nil {
			w.stopNode(name)
		}
	case 3:
		if n == nil {
			w.startNode(name)
		}
	case 4:
		if n != nil {
			n.pausedUntil = w.loop.Now().Add(time.Duration(w.choose(60, "pause")) * period)
		}
	case 5:
		if len(w.names) < 8 {
			w.startNode(fmt.Sprintf("entry-%d", len(w.names)))
		}
	case 6:
		if n != nil {
			w.stopNode(name)
			w.startNode(name)
		}
	}
}

func TestStartsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := newSimulation(rapid.IntRange(1, 6).Draw(rt, "hosts"), seededChooser(seed))
		w.frequentJoins = rapid.Bool().Draw(rt, "joins")
		faultInterval := rapid.IntRange(4, 40).Draw(rt, "steps between failures")
		for i := range 400 {
			w.step()
			if w.maxRunning > limit {
				rt.Fatalf("%d starts in flight at step %d, limit %d", w.maxRunning, i, limit)
			}
			if i%faultInterval == faultInterval-1 {
				w.injectFault()
			}
		}
	})
}

func TestWholeLimitIsUsableAfterFailures(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(5, seededChooser(seed))
		for i := range 200 {
			w.step()
			if i%10 == 9 {
				w.injectFault()
			}
		}
		w.partition = make(map[string]int)
		w.reliable = true
		for range 400 {
			w.step()
		}
		w.drain()
		if len(w.awake()) == 0 {
			continue
		}
		for _, b := range w.backends {
			room := 0
			for _, n := range w.awake() {
				room += n.ledger.Headroom(b.Name, w.loop.Now())
			}
			assert.Equal(t, room, limit, "seed %d, %s", seed, b.Name)
		}
	}
}

// drain runs until all requests have ended, without new starts.
func (w *simulation) drain() {
	choose := w.choose
	w.choose = func(below int, label string) int {
		if label == "start" || label == "end" {
			return 0
		}
		return choose(below, label)
	}
	for range 60 {
		w.step()
	}
}

func (w *simulation) awake() []*node {
	var list []*node
	for _, name := range w.names {
		if n := w.nodes[name]; n != nil && w.isAwake(n) {
			list = append(list, n)
		}
	}
	return list
}

func seededChooser(seed uint64) chooser {
	r := rand.New(rand.NewPCG(seed, 1))
	return func(below int, _ string) int { return r.IntN(below) }
}
