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
	reportPeriod   = 250 * time.Millisecond
	reportLag      = 400 * time.Millisecond
	stallThreshold = 200 * time.Millisecond

	domainDelay      = 250 * time.Microsecond
	regionDelay      = 500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
	callerDelay      = 3 * time.Millisecond

	benchService = "assay-model"
)

// location is a failure domain and its region.
type location struct{ domain, region string }

func delay(a, b location) time.Duration {
	switch {
	case a.domain == b.domain:
		return domainDelay
	case a.region == b.region:
		return regionDelay
	default:
		return crossRegionDelay
	}
}

// arrival is a caller's request; only the engine uses outputTokens, the length of the output.
type arrival struct {
	at           time.Duration
	request      sched.Request
	host         int
	outputTokens int
}

// stream is the state of one request as its caller sees it.
type stream struct {
	arrival
	engine       int
	tokens       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	startedAt    time.Time
	done         bool
	refused      bool
}

// policy places requests on engines; hosts and engines are given by their index.
type policy interface {
	arrive(f *stream)
	progress(f *stream)
	// cancel is called when the caller of a waiting request has closed its connection.
	cancel(f *stream)
	ended(f *stream, o sched.Outcome)
	report(e int, l engine.Load)
}

// rig simulates engines, hosts and callers in virtual time.
type rig struct {
	loop    *vtime.Loop
	begin   time.Time
	window  time.Duration
	view    *board.View
	hosts   []location
	engines []*benchEngine
	streams map[string]*stream
	list    []*stream
	policy  policy
	counts  tally
	// onToken is called with each token, for scenarios that count by workspace.
	onToken func(f *stream, now time.Time)
}

type benchEngine struct {
	core     *model.Core
	backend  config.Backend
	location location
	idle     bool
}

func newRig(window time.Duration, locations, hosts []location, params model.Params) *rig {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &rig{loop: vtime.New(begin), begin: begin, window: window, hosts: hosts, streams: make(map[string]*stream)}
	params.Length = func(q engine.Request) int { return r.streams[q.ID].outputTokens }
	for i, p := range locations {
		b := config.Backend{
			Name: "assay-" + strconv.Itoa(i), Service: benchService, Domain: p.domain,
			MaxRunning: params.MaxBatch, MemoryTokens: params.Blocks * params.BlockTokens,
		}
		r.engines = append(r.engines, &benchEngine{core: model.NewCore(params), backend: b, location: p, idle: true})
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
		v.Domains[e.location.domain] = config.Domain{Name: e.location.domain, Region: e.location.region, State: config.DomainIn}
	}
	r.view = v
}

// run submits all arrivals and runs until the last stream has ended or the limit has passed.
func (r *rig) run(arrivals []arrival, limit time.Duration) {
	for _, a := range arrivals {
		f := &stream{arrival: a, engine: -1}
		r.streams[a.request.ID] = f
		r.list = append(r.list, f)
		r.loop.After(a.at+callerDelay, func() { r.policy.arrive(f) })
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
		if !slices.ContainsFunc(r.list, func(f *stream) bool { return !f.done && !f.refused }) {
			return
		}
	}
}

// start sends a request from its host to an engine.
func (r *rig) start(f *stream, e, priority int) {
	f.engine = e
	f.startedAt = r.loop.Now()
	r.loop.After(delay(r.hosts[f.host], r.engines[e].location), func() {
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

func (r *rig) refuse(f *stream) { f.refused = true }

func (r *rig) step(b *benchEngine) {
	frames, duration := b.core.Step()
	if duration == 0 {
		b.idle = true
		return
	}
	r.loop.After(duration, func() {
		for _, frame := range frames {
			r.deliver(r.streams[frame.Request], frame)
		}
		r.step(b)
	})
}

func (r *rig) deliver(f *stream, frame engine.Frame) {
	now := r.loop.Now()
	if frame.Finish != "" {
		f.done = true
		r.end(f, sched.Outcome{Result: sched.ResultOK, Tokens: f.tokens, FirstToken: f.firstTokenAt.Sub(f.startedAt)})
		return
	}
	if f.tokens == 0 {
		f.firstTokenAt = now
	} else {
		r.counts.addGap(now.Sub(f.lastTokenAt))
	}
	f.tokens++
	f.lastTokenAt = now
	r.policy.progress(f)
	if now.Sub(r.begin) <= r.window {
		r.counts.tokens++
	}
	if r.onToken != nil {
		r.onToken(f, now)
	}
}

func (r *rig) end(f *stream, o sched.Outcome) {
	r.loop.After(delay(r.hosts[f.host], r.engines[f.engine].location), func() { r.policy.ended(f, o) })
}

// tally holds the counts at the callers.
type tally struct {
	tokens int
	stall  time.Duration
	// gaps counts the times between two tokens by whole milliseconds.
	gaps  [1000]int
	total int
}

func (t *tally) addGap(d time.Duration) {
	t.stall += max(0, d-stallThreshold)
	t.gaps[min(len(t.gaps)-1, int(d/time.Millisecond))]++
	t.total++
}

func (t *tally) quantile(q float64) float64 {
	remaining := int(q * float64(t.total))
	for i, n := range t.gaps {
		remaining -= n
		if remaining < 0 {
			return float64(i + 1)
		}
	}
	return float64(len(t.gaps))
}

// result returns the figures that all scenarios with streams share; countsFirstToken selects the streams whose time to
// the first token counts.
func (r *rig) result(countsFirstToken func(*stream) bool) Result {
	var complete, first []float64
	out := Result{Requests: Ptr(len(r.list)), Completed: Ptr(0), Refused: Ptr(0), Preemptions: Ptr(0)}
	for _, f := range r.list {
		if f.refused {
			*out.Refused++
		}
		arrived := r.begin.Add(f.at)
		if f.tokens > 0 && countsFirstToken(f) {
			first = append(first, f.firstTokenAt.Add(callerDelay).Sub(arrived).Seconds()*1000)
		}
		if f.done {
			*out.Completed++
			complete = append(complete, f.lastTokenAt.Add(callerDelay).Sub(arrived).Seconds())
		}
	}
	for _, e := range r.engines {
		*out.Preemptions += e.core.Counters.Preemptions
	}
	out.OutputTokensPerS = Ptr(float64(r.counts.tokens) / r.window.Seconds())
	out.StallTimeS = Ptr(r.counts.stall.Seconds())
	out.CompleteMeanS = Ptr(mean(complete))
	out.CompleteP95S = Ptr(quantile(complete, 0.95))
	out.FirstTokenP95MS = Ptr(quantile(first, 0.95))
	out.TokenGapP95MS = Ptr(r.counts.quantile(0.95))
	out.TokenGapP99MS = Ptr(r.counts.quantile(0.99))
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

// newRandom returns the random source of one part of a scenario, so that changes of one part do not shift the others.
func newRandom(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
