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

// node is one process; a restart makes a new one.
type node struct {
	name     string
	ledger   *grant.Ledger
	born     time.Time
	pausedTo time.Time
	// patience is the time without a heartbeat after which the host holds another for dead.
	patience time.Duration
	heard    map[string]time.Time
	dead     bool
	died     time.Time
}

// flight is one start as the backend server sees it.
type flight struct {
	node *node
	at   time.Time
	// odds is one over the chance to end in a step.
	odds int
}

// world joins ledgers by a network with delay, loss and cut, and counts what really runs.
type world struct {
	loop     *vtime.Loop
	choose   chooser
	nodes    map[string]*node
	names    []string
	ended    []*node
	side     map[string]int
	backends []grant.Backend
	running  map[string]map[string]flight
	history  map[string][]point
	serial   int
	worst    int
	quiet    bool
	// joins makes hosts with new names join often, also behind a cut.
	joins bool
	// listLag is the age of the platform's list.
	listLag time.Duration
}

// point is the number of running requests from a moment on.
type point struct {
	at      time.Time
	running int
}

func newWorld(hosts int, choose chooser) *world {
	w := &world{
		loop:    vtime.New(time.Unix(1_000_000, 0)),
		choose:  choose,
		nodes:   make(map[string]*node),
		side:    make(map[string]int),
		running: make(map[string]map[string]flight),
		history: make(map[string][]point),
		listLag: time.Duration(choose(16, "list lag")) * period,
	}
	for i := range 2 {
		name := fmt.Sprintf("engine-%d", i)
		w.backends = append(w.backends, grant.Backend{Name: name, Domain: "d", Max: limit, Cold: limit})
		w.running[name] = make(map[string]flight)
	}
	for i := range hosts {
		w.boot(fmt.Sprintf("entry-%d", i))
	}
	return w
}

func (w *world) boot(name string) {
	w.serial++
	l := &grant.Ledger{Self: name, Domain: "d", Incarnation: uint64(w.serial), Period: period}
	l.SetBackends(w.backends)
	n := &node{name: name, ledger: l, born: w.loop.Now(), heard: make(map[string]time.Time)}
	n.patience = time.Duration(2+w.choose(12, "patience")) * period
	w.nodes[name] = n
	if !slices.Contains(w.names, name) {
		w.names = append(w.names, name)
		slices.Sort(w.names)
	}
}

func (w *world) kill(name string) {
	n := w.nodes[name]
	n.dead = true
	n.died = w.loop.Now()
	w.ended = append(w.ended, n)
	delete(w.nodes, name)
}

// listed reports whether the platform's list, which lags, names a host.
func (w *world) listed(name string) bool {
	at := w.loop.Now().Add(-w.listLag)
	if n := w.nodes[name]; n != nil && !n.born.After(at) {
		return true
	}
	for _, n := range w.ended {
		if n.name == name && !n.born.After(at) && n.died.After(at) {
			return true
		}
	}
	return false
}

// view is what a host's failure detector and the platform's list show it.
func (w *world) view(n *node) grant.HostView {
	now := w.loop.Now()
	v := grant.HostView{Live: []string{n.name}}
	v.Listed = w.listed(n.name) && !n.born.After(now.Add(-w.listLag))
	for _, name := range w.names {
		if name == n.name {
			continue
		}
		fresh := now.Sub(n.heard[name]) < n.patience
		if fresh {
			v.Live = append(v.Live, name)
		}
		if fresh || w.listed(name) || n.heard[name].After(now.Add(-w.listLag)) {
			v.Present = append(v.Present, grant.Host{Name: name})
		}
	}
	return v
}

func (w *world) isAwake(n *node) bool { return !n.dead && !w.loop.Now().Before(n.pausedTo) }

func (w *world) send(from *node, out []peer.Outgoing) {
	for _, o := range out {
		delay := w.delay(o)
		if !w.quiet && w.choose(20, "lost") == 0 {
			continue
		}
		// The wire form stands between two ledgers, so that they share no memory.
		text, _ := proto.Marshal(o.Message)
		w.loop.After(delay, func() {
			to := w.nodes[o.To]
			if to == nil || !w.isAwake(to) || w.side[from.name] != w.side[o.To] {
				return
			}
			m := &peerpb.Message{}
			_ = proto.Unmarshal(text, m)
			w.send(to, to.ledger.Receive(from.name, m.GetLend(), w.loop.Now()))
		})
	}
}

// delay draws the time of a message on its way. Statements of former owners are bounded by the sender's
// timeout, as load reports are; leases must hold under any delay.
func (w *world) delay(o peer.Outgoing) time.Duration {
	d := time.Duration(w.choose(5, "delay")) * period / 2
	if !w.quiet && o.Message.GetLend().GetFormer() == nil && w.choose(6, "long") == 0 {
		d += time.Duration(w.choose(24, "long delay")) * period
	}
	return d
}

// step lets half a period pass: hosts tick, reports arrive, requests start and end.
func (w *world) step() {
	w.loop.RunUntil(w.loop.Now().Add(period / 2))
	now := w.loop.Now()
	for _, name := range w.names {
		n := w.nodes[name]
		if n == nil || !w.isAwake(n) {
			continue
		}
		for other, o := range w.nodes {
			if w.isAwake(o) && w.side[other] == w.side[name] {
				n.heard[other] = now
			}
		}
		// A host that wakes starts before it ticks.
		w.start(n)
		w.send(n, n.ledger.Tick(w.view(n), now))
		for _, b := range w.backends {
			lag := time.Duration(w.choose(3, "report lag")) * period / 2
			n.ledger.Report(b.Name, engine.Load{Boot: "1", At: now, Running: w.at(b.Name, now.Add(-lag))}, now)
		}
		w.start(n)
	}
	w.end()
}

func (w *world) start(n *node) {
	now := w.loop.Now()
	for _, b := range w.backends {
		for n.ledger.Room(b.Name, now) > 0 && w.choose(3, "start") > 0 {
			w.serial++
			id := fmt.Sprint(w.serial)
			n.ledger.Started(b.Name, id, now)
			w.running[b.Name][id] = flight{node: n, at: now, odds: 4 + w.choose(2, "long request")*100}
			w.note(b.Name)
		}
	}
}

// end ends some requests; their hosts hear of it late.
func (w *world) end() {
	for _, b := range w.backends {
		for _, id := range sortedKeys(w.running[b.Name]) {
			f := w.running[b.Name][id]
			if w.choose(f.odds, "end") != 0 {
				continue
			}
			delete(w.running[b.Name], id)
			w.note(b.Name)
			w.loop.After(time.Duration(w.choose(3, "end lag"))*period/2, func() {
				f.node.ledger.Ended(b.Name, id, sched.Outcome{Result: sched.ResultOK}, w.loop.Now())
			})
		}
	}
}

func (w *world) note(backend string) {
	n := len(w.running[backend])
	w.worst = max(w.worst, n)
	w.history[backend] = append(w.history[backend], point{w.loop.Now(), n})
}

func (w *world) at(backend string, moment time.Time) int {
	for _, p := range slices.Backward(w.history[backend]) {
		if !p.at.After(moment) {
			return p.running
		}
	}
	return 0
}

func sortedKeys(m map[string]flight) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// disturb brings about one random failure or its end.
func (w *world) disturb() {
	name := w.names[w.choose(len(w.names), "host")]
	n := w.nodes[name]
	if w.joins && w.choose(2, "join") == 0 && len(w.names) < 16 {
		joined := fmt.Sprintf("entry-%d", len(w.names))
		w.boot(joined)
		w.side[joined] = w.choose(3, "side")
		return
	}
	switch w.choose(8, "action") {
	case 0:
		w.side[name] = w.choose(3, "side")
	case 1:
		w.side = make(map[string]int)
	case 2:
		if n != nil {
			w.kill(name)
		}
	case 3:
		if n == nil {
			w.boot(name)
		}
	case 4:
		if n != nil {
			n.pausedTo = w.loop.Now().Add(time.Duration(w.choose(60, "pause")) * period)
		}
	case 5:
		if len(w.names) < 8 {
			w.boot(fmt.Sprintf("entry-%d", len(w.names)))
		}
	case 6:
		if n != nil {
			w.kill(name)
			w.boot(name)
		}
	}
}

func TestStartsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := newWorld(rapid.IntRange(1, 6).Draw(rt, "hosts"), random(seed))
		w.joins = rapid.Bool().Draw(rt, "joins")
		every := rapid.IntRange(4, 40).Draw(rt, "steps between failures")
		for i := range 400 {
			w.step()
			if w.worst > limit {
				rt.Fatalf("%d starts in flight at step %d, limit %d", w.worst, i, limit)
			}
			if i%every == every-1 {
				w.disturb()
			}
		}
	})
}

func TestWholeLimitIsUsableAfterFailures(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(5, random(seed))
		for i := range 200 {
			w.step()
			if i%10 == 9 {
				w.disturb()
			}
		}
		w.side = make(map[string]int)
		w.quiet = true
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
				room += n.ledger.Room(b.Name, w.loop.Now())
			}
			assert.Equal(t, room, limit, "seed %d, %s", seed, b.Name)
		}
	}
}

// drain lets all requests end and starts none.
func (w *world) drain() {
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

func (w *world) awake() []*node {
	var list []*node
	for _, name := range w.names {
		if n := w.nodes[name]; n != nil && w.isAwake(n) {
			list = append(list, n)
		}
	}
	return list
}

func random(seed uint64) chooser {
	r := rand.New(rand.NewPCG(seed, 1))
	return func(below int, _ string) int { return r.IntN(below) }
}
