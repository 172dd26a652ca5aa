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
	// arrivalsStart leaves the ledgers time to obtain their parts of the capacity; from then to warmUp are 22 s, and a
	// request runs for 17 s on average.
	arrivalsStart    = 12 * time.Second
	warmUp           = 34 * time.Second
	measureWindow    = 10 * time.Second
	localDelay       = 500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
	requestTimeout   = 20 * time.Second
	hostListPeriod   = 5 * time.Second
	// fetchCalls is the number of store calls of a fetch that finds no new change.
	fetchCalls = 2
	// reportBytes is the size of one load report with its HTTP headers.
	reportBytes = 520
)

// fleet holds all hosts of one simulation.
type fleet struct {
	loop   *vtime.Loop
	seed   uint64
	begin  time.Time
	nodes  []*node
	byName map[string]*node
	// running counts the requests at each engine.
	running      map[string]int
	rand         *rand.Rand
	state        change.State
	requestCount int

	arrived, started, ended, refused int
}

// Figures are the results of one simulation, as means per host unless a field says otherwise.
type Figures struct {
	Hosts   int
	Engines int
	// Bytes is the bytes per second sent and received, CPU the percentage of one core, Calls the calls per second sent
	// and received, each by role.
	Bytes map[string]float64
	CPU   map[string]float64
	Calls map[string]float64
	// MemoryMB is the heap size of one host's control state.
	MemoryMB float64
	// StoreReads is the whole fleet's reads of the object API per second; Watches is the fleet's open watches, not
	// included there.
	StoreReads float64
	Watches    int
	// Arrived, Started and Refused count the whole fleet's requests in the window.
	Arrived int
	Started int
	Refused int
	// Window is the duration of the measurement.
	Window time.Duration
}

// Roles returns the names of the parts of the control code, the keys of the maps in Figures.
func Roles() []string {
	var names []string
	for r := range roleCount {
		names = append(names, r.String())
	}
	return names
}

// FullState returns the configuration of the full deployment.
func FullState() change.State { return newState(fullEngines) }

// Run simulates a fleet of the given number of hosts and measures it after the warm-up. The CPU and memory figures
// are those of this process, and so differ between runs of one seed.
func Run(ctx context.Context, hosts int, seed uint64) (Figures, error) {
	before := heapBytes()
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
	f.loop.RunUntil(f.begin.Add(warmUp + measureWindow))
	heapGrowth := heapBytes() - before
	return f.figures(heapGrowth), ctx.Err()
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
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
		rand: rand.New(rand.NewPCG(seed, uint64(hosts))), state: newState(engines),
	}
	list := object.HostList{AsOf: begin}
	for i := range hosts {
		h := newHost(i)
		list.Hosts = append(list.Hosts, object.Host{Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address})
	}
	for i := range hosts {
		n := newNode(f, i, begin)
		f.nodes = append(f.nodes, n)
		f.byName[hostName(i)] = n
		n.board.Config.Advance(f.state)
		f.schedule(n, i, list)
	}
	f.scheduleArrivals(hosts)
	f.loop.After(changePeriod, f.change)
	return f
}

// enginesFor returns the number of engines of a fleet. Below the full size it is rounded up, so that each model has
// the same number in each failure domain.
func enginesFor(hosts int) int {
	multiple := len(domains()) * modelCount
	engines := hosts * fullEngines / fullHosts
	if hosts < fullHosts {
		engines = (engines + multiple - 1) / multiple * multiple
	}
	return engines
}

// schedule starts the periodic work of one host, each task with a random phase.
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
	every(hostListPeriod, func() {
		n.storeReads++
		n.member.ApplyHostList(object.HostList{AsOf: f.loop.Now(), Hosts: list.Hosts}, f.loop.Now())
	})
}

// scheduleArrivals submits requests to random hosts, at the full deployment's rate per host.
func (f *fleet) scheduleArrivals(hosts int) {
	gap := time.Second * fullHosts / time.Duration(fullRequestsPerSecond*hosts)
	f.loop.After(arrivalsStart, func() {
		f.loop.Every(gap, func() bool {
			f.arrive()
			return true
		})
	})
}

func (f *fleet) arrive() {
	f.requestCount++
	f.arrived++
	w := f.rand.IntN(workspaceCount)
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	n.submit(sched.Request{
		ID: fmt.Sprintf("req-%d", f.requestCount), Workspace: workspaceName(w), Service: modelName(w + f.rand.IntN(modelsPerWorkspace)),
		PromptTokens: promptTokens, MaxTokens: 4 * outputTokens, PrefixHash: uint64(1 + w), Deadline: f.loop.Now().Add(requestTimeout),
	})
}

// start runs a request for a random time and reports its progress and its end to the host's scheduler.
func (f *fleet) start(n *node, s sched.Start) {
	f.started++
	f.running[s.Backend.Name]++
	tokens := outputTokens/2 + f.rand.IntN(outputTokens)
	duration := time.Duration(tokens) * tokenGap
	started := f.loop.Now()
	f.loop.After(progressPeriod, func() {
		f.loop.Every(progressPeriod, func() bool {
			elapsed := f.loop.Now().Sub(started)
			if elapsed >= duration {
				return false
			}
			n.place.Progress(s.ID, int(elapsed/tokenGap), f.loop.Now())
			return true
		})
	})
	f.loop.After(duration, func() {
		f.running[s.Backend.Name]--
		f.ended++
		n.place.Release(s.ID, sched.Outcome{Result: sched.ResultOK, Tokens: tokens, FirstToken: tokenGap}, f.loop.Now())
		n.performActions()
	})
}

func (f *fleet) load(backend string, now time.Time) engine.Load {
	return load(f.running[backend], engineMemory, now)
}

func (f *fleet) delay(a, b *node) time.Duration {
	if a.member.Self.Region != b.member.Self.Region {
		return crossRegionDelay
	}
	return localDelay
}

// change edits the weight of a random row at a random host, as an operator does, once every changePeriod.
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

func (f *fleet) figures(heapGrowth float64) Figures {
	hosts := float64(len(f.nodes))
	g := Figures{
		Hosts: len(f.nodes), Engines: len(f.state.Table.Backends), MemoryMB: heapGrowth / hosts / (1 << 20),
		Bytes: make(map[string]float64), CPU: make(map[string]float64), Calls: make(map[string]float64),
		Arrived: f.arrived, Started: f.started, Refused: f.refused, Window: measureWindow,
	}
	for _, n := range f.nodes {
		for r := range roleCount {
			c := n.costs[r]
			g.Bytes[r.String()] += float64(c.bytes) / measureWindow.Seconds() / hosts
			g.Calls[r.String()] += float64(c.calls) / measureWindow.Seconds() / hosts
			g.CPU[r.String()] += 100 * c.cpuTime.Seconds() / measureWindow.Seconds() / hosts
		}
		g.StoreReads += float64(n.storeReads) / measureWindow.Seconds()
		if n.watching {
			g.Watches++
		}
	}
	return g
}
