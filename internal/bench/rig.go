package bench

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	reportPeriod = 250 * time.Millisecond
	reportLag    = 400 * time.Millisecond
	stallFrom    = 200 * time.Millisecond

	delayDomain = 250 * time.Microsecond
	delayRegion = 500 * time.Microsecond
	delayLink   = 20 * time.Millisecond
	delayCaller = 3 * time.Millisecond

	benchService = "assay-model"
)

// place is a failure domain and its region.
type place struct{ domain, region string }

func delay(a, b place) time.Duration {
	switch {
	case a.domain == b.domain:
		return delayDomain
	case a.region == b.region:
		return delayRegion
	default:
		return delayLink
	}
}

// arrival is one request of a caller; length is known to the engine alone.
type arrival struct {
	at      time.Duration
	request sched.Request
	host    int
	length  int
}

// flow is what the caller of one request sees.
type flow struct {
	arrival
	engine  int
	tokens  int
	first   time.Time
	last    time.Time
	started time.Time
	done    bool
	refused bool
}

// policy is what is compared; hosts and engines are named by their index.
type policy interface {
	arrive(f *flow)
	progress(f *flow)
	// leave tells that the caller of a waiting request has left.
	leave(f *flow)
	ended(f *flow, o sched.Outcome)
	report(e int, l engine.Load)
}

// rig is a set of engines and hosts in virtual time with callers around them.
type rig struct {
	loop    *vtime.Loop
	begin   time.Time
	window  time.Duration
	view    *board.View
	hosts   []place
	engines []*benchEngine
	flows   map[string]*flow
	list    []*flow
	policy  policy
	count   tally
	// onToken is told of each token, for scenarios that count by workspace.
	onToken func(f *flow, now time.Time)
}

type benchEngine struct {
	core    *model.Core
	backend config.Backend
	place   place
	idle    bool
}

func newRig(window time.Duration, places, hosts []place, params model.Params) *rig {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &rig{loop: vtime.New(begin), begin: begin, window: window, hosts: hosts, flows: make(map[string]*flow)}
	params.Length = func(q engine.Request) int { return r.flows[q.ID].length }
	for i, p := range places {
		b := config.Backend{
			Name: "assay-" + strconv.Itoa(i), Service: benchService, Domain: p.domain,
			MaxRunning: params.MaxBatch, MemoryTokens: params.Blocks * params.BlockTokens,
		}
		r.engines = append(r.engines, &benchEngine{core: model.NewCore(params), backend: b, place: p, idle: true})
	}
	return r
}

// configure sets the view from rows; the engines are the only backend servers.
func (r *rig) configure(rows []config.Row) {
	v := &board.View{
		Rows:      make(map[board.RowKey]config.Row),
		Backends:  make(map[string]config.Backend),
		ByService: make(map[string][]config.Backend),
		Domains:   make(map[string]config.Domain),
	}
	for _, row := range rows {
		v.Rows[board.RowKey{Workspace: row.Workspace, Service: row.Service}] = row
	}
	for _, e := range r.engines {
		v.Table.Backends = append(v.Table.Backends, e.backend)
		v.Backends[e.backend.Name] = e.backend
		v.ByService[benchService] = append(v.ByService[benchService], e.backend)
		v.Domains[e.place.domain] = config.Domain{Name: e.place.domain, Region: e.place.region, State: config.DomainIn}
	}
	r.view = v
}

// run lets all arrivals in and runs until the last stream has ended or the limit has passed.
func (r *rig) run(arrivals []arrival, limit time.Duration) {
	for _, a := range arrivals {
		f := &flow{arrival: a, engine: -1}
		r.flows[a.request.ID] = f
		r.list = append(r.list, f)
		r.loop.After(a.at+delayCaller, func() { r.policy.arrive(f) })
	}
	for i, e := range r.engines {
		r.loop.Every(reportPeriod, func() bool {
			l := e.core.Load(r.loop.Now())
			r.loop.After(reportLag, func() { r.policy.report(i, l) })
			return r.loop.Now().Before(r.begin.Add(limit))
		})
	}
	for end := r.begin.Add(r.window); !end.After(r.begin.Add(limit)); end = end.Add(time.Second) {
		r.loop.RunUntil(end)
		if !slices.ContainsFunc(r.list, func(f *flow) bool { return !f.done && !f.refused }) {
			return
		}
	}
}

// start sends a request from its host to an engine.
func (r *rig) start(f *flow, e, priority int) {
	f.engine = e
	f.started = r.loop.Now()
	r.loop.After(delay(r.hosts[f.host], r.engines[e].place), func() {
		b := r.engines[e]
		_, err := b.core.Submit(engine.Request{
			ID: f.request.ID, PromptTokens: f.request.PromptTokens, MaxTokens: f.request.MaxTokens, Priority: priority,
		})
		if err != nil {
			r.end(f, sched.Outcome{Result: sched.ResultRefused})
			return
		}
		if b.idle {
			b.idle = false
			r.step(b)
		}
	})
}

func (r *rig) refuse(f *flow) { f.refused = true }

func (r *rig) step(b *benchEngine) {
	frames, took := b.core.Step()
	if took == 0 {
		b.idle = true
		return
	}
	r.loop.After(took, func() {
		for _, frame := range frames {
			r.deliver(r.flows[frame.Request], frame)
		}
		r.step(b)
	})
}

func (r *rig) deliver(f *flow, frame engine.Frame) {
	now := r.loop.Now()
	if frame.Finish != "" {
		f.done = true
		r.end(f, sched.Outcome{Result: sched.ResultOK, Tokens: f.tokens, FirstToken: f.first.Sub(f.started)})
		return
	}
	if f.tokens == 0 {
		f.first = now
	} else {
		r.count.gap(now.Sub(f.last))
	}
	f.tokens++
	f.last = now
	r.policy.progress(f)
	if now.Sub(r.begin) <= r.window {
		r.count.tokens++
	}
	if r.onToken != nil {
		r.onToken(f, now)
	}
}

func (r *rig) end(f *flow, o sched.Outcome) {
	r.loop.After(delay(r.hosts[f.host], r.engines[f.engine].place), func() { r.policy.ended(f, o) })
}

// tally counts on the callers' side.
type tally struct {
	tokens int
	stall  time.Duration
	// gaps counts the times between two tokens by whole milliseconds.
	gaps  [1000]int
	total int
}

func (t *tally) gap(d time.Duration) {
	t.stall += max(0, d-stallFrom)
	t.gaps[min(len(t.gaps)-1, int(d/time.Millisecond))]++
	t.total++
}

func (t *tally) quantile(q float64) float64 {
	left := int(q * float64(t.total))
	for i, n := range t.gaps {
		left -= n
		if left < 0 {
			return float64(i + 1)
		}
	}
	return float64(len(t.gaps))
}

// result fills in the figures that all scenarios with streams share; prompt says whose first tokens count.
func (r *rig) result(prompt func(*flow) bool) Result {
	var complete, first []float64
	out := Result{Requests: Ptr(len(r.list)), Completed: Ptr(0), Refused: Ptr(0), Preemptions: Ptr(0)}
	for _, f := range r.list {
		if f.refused {
			*out.Refused++
		}
		arrived := r.begin.Add(f.at)
		if f.tokens > 0 && prompt(f) {
			first = append(first, f.first.Add(delayCaller).Sub(arrived).Seconds()*1000)
		}
		if f.done {
			*out.Completed++
			complete = append(complete, f.last.Add(delayCaller).Sub(arrived).Seconds())
		}
	}
	for _, e := range r.engines {
		*out.Preemptions += e.core.Counters.Preemptions
	}
	out.OutputTokensPerS = Ptr(float64(r.count.tokens) / r.window.Seconds())
	out.StallTimeS = Ptr(r.count.stall.Seconds())
	out.CompleteMeanS = Ptr(mean(complete))
	out.CompleteP95S = Ptr(quantile(complete, 0.95))
	out.FirstTokenP95MS = Ptr(quantile(first, 0.95))
	out.TokenGapP95MS = Ptr(r.count.quantile(0.95))
	out.TokenGapP99MS = Ptr(r.count.quantile(0.99))
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// newRandom returns the source of one part of a scenario, so that parts do not shift each other.
func newRandom(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
