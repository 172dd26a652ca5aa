package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	memberPeriod   = 500 * time.Millisecond
	grantPeriod    = 500 * time.Millisecond
	reportPeriod   = time.Second
	progressPeriod = time.Second
	changePeriod   = 12 * time.Second
	// arrivalsFrom is the time by which the ledgers hold their parts; a request runs for 17 s on average.
	arrivalsFrom = 12 * time.Second
	warmUp       = 34 * time.Second
	measured     = 10 * time.Second
	localDelay   = 500 * time.Microsecond
	regionDelay  = 20 * time.Millisecond
	requestWait  = 20 * time.Second
	listPeriod   = 5 * time.Second
	// fetchCalls is the number of store calls of a read that finds nothing new.
	fetchCalls = 2
	// reportBytes is the size of one load report with its HTTP headers.
	reportBytes = 520
)

// fleet is all hosts of one run.
type fleet struct {
	loop    *vtime.Loop
	seed    uint64
	begin   time.Time
	nodes   []*node
	byName  map[string]*node
	running map[string]int
	rand    *rand.Rand
	state   change.State
	serial  int

	arrived, started, ended, refused int
}

// Figures is what one run measured, per host.
type Figures struct {
	Hosts   int
	Engines int
	// Bytes counts bytes a second in and out, CPU the percent of one core, by role.
	Bytes map[string]float64
	CPU   map[string]float64
	Calls map[string]float64
	// MemoryMB is the heap of one host's control state.
	MemoryMB float64
	// StoreReads counts the object API's reads a second of the whole fleet, waiting watches included.
	StoreReads float64
	Watches    int
	Arrived    int
	Started    int
	Refused    int
	// Window is the measured time.
	Window time.Duration
}

// Roles returns the names of the control code's parts.
func Roles() []string {
	var names []string
	for r := range roleCount {
		names = append(names, r.String())
	}
	return names
}

// FullState returns the configuration at the full size.
func FullState() change.State { return state(fullEngines) }

// Run measures a fleet of that many hosts.
func Run(ctx context.Context, hosts int, seed uint64) (Figures, error) {
	before := heap()
	f := newFleet(hosts, seed)
	f.loop.RunUntil(f.begin.Add(warmUp))
	if ctx.Err() != nil {
		return Figures{}, errors.Wrap(ctx.Err(), "measure scale")
	}
	for _, n := range f.nodes {
		n.costs = [roleCount]cost{}
		n.storeReads = 0
	}
	f.arrived, f.started, f.refused = 0, 0, 0
	f.loop.RunUntil(f.begin.Add(warmUp + measured))
	memory := heap() - before
	return f.figures(memory), ctx.Err()
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func newFleet(hosts int, seed uint64) *fleet {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engines := enginesFor(hosts)
	f := &fleet{
		loop: vtime.New(begin), begin: begin, seed: seed, byName: make(map[string]*node), running: make(map[string]int),
		rand: rand.New(rand.NewPCG(seed, uint64(hosts))), state: state(engines),
	}
	list := object.HostList{AsOf: begin}
	for i := range hosts {
		h := hostOf(i)
		list.Hosts = append(list.Hosts, object.Host{Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address})
	}
	for i := range hosts {
		n := newNode(f, i, begin)
		f.nodes = append(f.nodes, n)
		f.byName[hostName(i)] = n
		n.board.Config.Advance(f.state)
		f.schedule(n, i, list)
	}
	f.arrivals(hosts)
	f.loop.After(changePeriod, f.change)
	return f
}

// enginesFor returns the engines of a fleet; a small one gets as many for each model and failure domain.
func enginesFor(hosts int) int {
	even := len(domains()) * models
	engines := hosts * fullEngines / fullHosts
	if hosts < fullHosts {
		engines = (engines + even - 1) / even * even
	}
	return engines
}

// schedule starts the periods of one host, each with a phase of its own.
func (f *fleet) schedule(n *node, i int, list object.HostList) {
	every := func(period time.Duration, work func()) {
		phase := time.Duration(f.rand.Int64N(int64(period)))
		f.loop.After(phase, func() {
			f.loop.Every(period, func() bool {
				work()
				return true
			})
		})
	}
	n.member.ApplyHostList(list, f.begin)
	n.configure()
	every(memberPeriod, n.tickMember)
	every(grantPeriod, n.tickGrant)
	every(100*time.Millisecond, n.tickSpread)
	every(sched.TickPeriod, n.tickPlace)
	every(reportPeriod, n.report)
	every(listPeriod, func() {
		n.storeReads++
		n.member.ApplyHostList(object.HostList{AsOf: f.loop.Now(), Hosts: list.Hosts}, f.loop.Now())
	})
}

// arrivals sends requests at the full deployment's rate for each host, to random hosts.
func (f *fleet) arrivals(hosts int) {
	gap := time.Second * fullHosts / time.Duration(fullRequests*hosts)
	f.loop.After(arrivalsFrom, func() {
		f.loop.Every(gap, func() bool {
			f.arrive()
			return true
		})
	})
}

func (f *fleet) arrive() {
	f.serial++
	f.arrived++
	w := f.rand.IntN(workspaces)
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	n.submit(sched.Request{
		ID: fmt.Sprintf("req-%d", f.serial), Workspace: workspaceName(w), Service: modelName(w + f.rand.IntN(rowsEach)),
		PromptTokens: promptTokens, MaxTokens: 4 * outputTokens, PrefixHash: uint64(1 + w), Deadline: f.loop.Now().Add(requestWait),
	})
}

// start runs a request for its fixed time and tells the host of its progress.
func (f *fleet) start(n *node, s sched.Start) {
	f.started++
	f.running[s.Backend.Name]++
	length := outputTokens/2 + f.rand.IntN(outputTokens)
	whole := time.Duration(length) * tokenGap
	begun := f.loop.Now()
	f.loop.After(progressPeriod, func() {
		f.loop.Every(progressPeriod, func() bool {
			gone := f.loop.Now().Sub(begun)
			if gone >= whole {
				return false
			}
			n.place.Progress(s.ID, int(gone/tokenGap), f.loop.Now())
			return true
		})
	})
	f.loop.After(whole, func() {
		f.running[s.Backend.Name]--
		f.ended++
		n.place.Release(s.ID, sched.Outcome{Result: sched.ResultOK, Tokens: length, FirstToken: tokenGap}, f.loop.Now())
		n.act()
	})
}

func (f *fleet) load(backend string, now time.Time) engine.Load {
	return load(f.running[backend], engineMemory, now)
}

func (f *fleet) delay(a, b *node) time.Duration {
	if a.member.Self.Region != b.member.Self.Region {
		return regionDelay
	}
	return localDelay
}

// change edits one row, as an operator would, at a random host.
func (f *fleet) change() {
	f.loop.After(changePeriod, f.change)
	next := f.state.WithEdits([]change.Edit{})
	next.Table.Rows = append([]config.Row(nil), f.state.Table.Rows...)
	next.Table.Rows[f.rand.IntN(len(next.Table.Rows))].Weight += 1
	entry, err := change.Encode(change.Change{
		Version: f.state.Version + 1, ID: change.NewID(), Previous: f.state.ID, Operator: "scale", At: f.loop.Now(),
		Edits: change.Diff(f.state, next),
	})
	if err != nil {
		return
	}
	f.state, err = f.state.Apply(entry.Change)
	if err != nil {
		return
	}
	f.nodes[f.rand.IntN(len(f.nodes))].learn(entry)
}

func (f *fleet) figures(memory float64) Figures {
	hosts := float64(len(f.nodes))
	g := Figures{
		Hosts: len(f.nodes), Engines: len(f.state.Table.Backends), MemoryMB: memory / hosts / (1 << 20),
		Bytes: make(map[string]float64), CPU: make(map[string]float64), Calls: make(map[string]float64),
		Arrived: f.arrived, Started: f.started, Refused: f.refused, Window: measured,
	}
	for _, n := range f.nodes {
		for r := range roleCount {
			c := n.costs[r]
			g.Bytes[r.String()] += float64(c.bytes) / measured.Seconds() / hosts
			g.Calls[r.String()] += float64(c.calls) / measured.Seconds() / hosts
			g.CPU[r.String()] += 100 * c.busy.Seconds() / measured.Seconds() / hosts
		}
		g.StoreReads += float64(n.storeReads) / measured.Seconds()
		if n.watching {
			g.Watches++
		}
	}
	return g
}
