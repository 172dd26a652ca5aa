package relay_test

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// faults are the failures of one fake engine; a negative offset means never.
type faults struct {
	refuse      bool
	unreachable bool
	// noFrames makes the engine run each start without ever answering it.
	noFrames bool
	// loseStart loses each start before it reaches the engine.
	loseStart bool
	// delay and gap are the times before the first token and between two tokens.
	delay, gap time.Duration
	// crashesAt, hangsAt, foreignFrameAt and newGenerationAt are the offsets at which the engine crashes, its
	// connection hangs, it sends a frame of another request, or it starts another generation.
	crashesAt, hangsAt, foreignFrameAt, newGenerationAt int
	// noProgress makes the engine leave progress probes unanswered.
	noProgress bool
	// breaksAt is the offset at which the connection breaks while the run continues; from then on the path to the engine is
	// silent for silence. With lateStart, each start arrives that long after its sending.
	breaksAt  int
	silence   time.Duration
	lateStart time.Duration
	// stopsListening ends the engine's process when the connection breaks.
	stopsListening bool
	// forgets makes the engine answer a cancel as if it did not have the request.
	forgets bool
}

func healthy() faults {
	return faults{gap: 20 * time.Millisecond, crashesAt: -1, breaksAt: -1, hangsAt: -1, foreignFrameAt: -1, newGenerationAt: -1}
}

// fakeEngine generates a fixed number of tokens for each request at a fixed pace.
type fakeEngine struct {
	name   string
	tokens int

	mu          sync.Mutex
	faults      faults
	boot        int
	runs        map[string]*fakeRun
	lastRequest engine.Request
	starts      int
	resumes     int
	cancels     map[string]time.Time
	silentUntil time.Time
	down        bool
	// overlaps counts the starts received while another engine worked on the same request.
	overlaps int
}

type fakeRun struct {
	generation string
	startedAt  time.Time
}

func (e *fakeEngine) start(id string) *fakeRun {
	e.starts++
	r := &fakeRun{generation: e.name + "-" + strconv.Itoa(e.boot) + "-" + strconv.Itoa(e.starts), startedAt: time.Now()}
	e.runs[id] = r
	return r
}

// generated returns the number of tokens that a run has generated so far.
func (e *fakeEngine) generated(r *fakeRun) int {
	since := time.Since(r.startedAt) - e.faults.delay
	if since < 0 {
		return 0
	}
	return min(e.tokens, 1+int(since/e.faults.gap))
}

func (e *fakeEngine) crash() {
	e.boot++
	e.runs = make(map[string]*fakeRun)
	e.faults.crashesAt = -1
}

// reach waits while the path to the engine is silent, and returns an error if nothing listens there.
func (e *fakeEngine) reach(ctx context.Context) error {
	e.mu.Lock()
	until, down := e.silentUntil, e.down
	e.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
		return engine.ErrBroken
	}
	if down {
		return errors.Mark(engine.ErrUnreachable, engine.ErrNotListening)
	}
	return nil
}

// isAtWork reports whether the engine generates tokens for an attempt of the request.
func (e *fakeEngine) isAtWork(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, r := range e.runs {
		if (id == request || strings.HasPrefix(id, request+"-")) && e.generated(r) < e.tokens {
			return true
		}
	}
	return false
}

type fakeStream struct {
	ctx    context.Context
	engine *fakeEngine
	id     string
	run    *fakeRun
	offset int
}

// Next waits for the next token and applies the fault set for its offset.
func (s *fakeStream) Next() (engine.Frame, error) {
	for {
		f, pause, err := s.step()
		if pause == 0 {
			return f, err
		}
		select {
		case <-time.After(pause):
		case <-s.ctx.Done():
			return engine.Frame{}, s.ctx.Err()
		}
	}
}

func (s *fakeStream) step() (engine.Frame, time.Duration, error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[s.id] != s.run {
		return engine.Frame{}, 0, engine.ErrBroken
	}
	ready := e.generated(s.run)
	if s.offset > e.tokens {
		return engine.Frame{}, 0, io.EOF
	}
	if ready < e.tokens && s.offset >= ready || ready == 0 {
		return engine.Frame{}, time.Millisecond, nil
	}
	switch s.offset {
	case e.faults.crashesAt:
		e.crash()
		return engine.Frame{}, 0, engine.ErrBroken
	case e.faults.breaksAt:
		e.faults.breaksAt = -1
		e.silentUntil = time.Now().Add(e.faults.silence)
		if e.faults.stopsListening {
			e.crash()
			e.down = true
		}
		return engine.Frame{}, 0, engine.ErrBroken
	case e.faults.hangsAt:
		e.faults.hangsAt = -1
		return engine.Frame{}, time.Hour, nil
	case e.faults.foreignFrameAt:
		e.faults.foreignFrameAt = -1
		s.offset++
		return engine.Frame{Request: "another", Generation: s.run.generation, Offset: s.offset - 1, Token: "x "}, 0, nil
	case e.faults.newGenerationAt:
		e.faults.newGenerationAt = -1
		s.run = e.start(s.id)
	}
	f := engine.Frame{Request: s.id, Generation: s.run.generation, Offset: s.offset}
	if s.offset == e.tokens {
		f.Finish = "stop"
	} else {
		f.Token = s.run.generation + "/" + strconv.Itoa(s.offset) + " "
	}
	s.offset++
	return f, 0, nil
}

func (s *fakeStream) Close() {}

// fakeFleet is a set of engines by address.
type fakeFleet struct{ engines []*fakeEngine }

func newFleet(tokens int, engineFaults ...faults) *fakeFleet {
	f := &fakeFleet{}
	for i, engineFault := range engineFaults {
		f.engines = append(f.engines, &fakeEngine{
			name: "e" + strconv.Itoa(i), tokens: tokens, faults: engineFault,
			runs: make(map[string]*fakeRun), cancels: make(map[string]time.Time),
		})
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
}

func (f *fakeFleet) at(addr netip.AddrPort) *fakeEngine { return f.engines[addr.Port()-1] }

func (f *fakeFleet) Start(ctx context.Context, addr netip.AddrPort, r engine.Request) (engine.Stream, error) {
	e := f.at(addr)
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	if e.faults.lateStart > 0 {
		e.mu.Lock()
		e.silentUntil = time.Now().Add(e.faults.silence)
		e.mu.Unlock()
		time.AfterFunc(e.faults.lateStart, func() { _, _ = f.receive(context.Background(), e, r) })
		<-ctx.Done()
		return nil, engine.ErrBroken
	}
	return f.receive(ctx, e, r)
}

// receive handles a start that has arrived at the engine.
func (f *fakeFleet) receive(ctx context.Context, e *fakeEngine, r engine.Request) (engine.Stream, error) {
	request, _, _ := strings.Cut(r.ID, "-")
	overlap := slices.ContainsFunc(f.engines, func(o *fakeEngine) bool { return o != e && o.isAtWork(request) })
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, cancelled := e.cancels[r.ID]; cancelled {
		return nil, engine.ErrGone
	}
	switch {
	case e.faults.refuse:
		return nil, engine.ErrRefused
	case e.faults.unreachable:
		return nil, engine.ErrUnreachable
	case e.faults.loseStart:
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return nil, engine.ErrBroken
	}
	if overlap {
		e.overlaps++
	}
	e.lastRequest = r
	run := e.start(r.ID)
	if e.faults.noFrames {
		e.silentUntil = time.Now().Add(e.faults.silence)
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return nil, engine.ErrBroken
	}
	return &fakeStream{ctx: ctx, engine: e, id: r.ID, run: run}, nil
}

func (f *fakeFleet) Resume(ctx context.Context, addr netip.AddrPort, id, generation string, offset int) (engine.Stream, error) {
	e := f.at(addr)
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes++
	if e.faults.unreachable {
		return nil, engine.ErrUnreachable
	}
	run := e.runs[id]
	if run == nil || run.generation != generation {
		return nil, engine.ErrGone
	}
	return &fakeStream{ctx: ctx, engine: e, id: id, run: run, offset: offset}, nil
}

func (f *fakeFleet) Cancel(ctx context.Context, addr netip.AddrPort, id string) error {
	e := f.at(addr)
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
	e.cancels[id] = time.Now()
	if e.faults.forgets {
		return engine.ErrGone
	}
	return nil
}

func (f *fakeFleet) Progress(ctx context.Context, addr netip.AddrPort, id string) (engine.Progress, error) {
	e := f.at(addr)
	if err := e.reach(ctx); err != nil {
		return engine.Progress{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.noProgress {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return engine.Progress{}, engine.ErrBroken
	}
	run := e.runs[id]
	if run == nil {
		return engine.Progress{}, engine.ErrGone
	}
	ready := e.generated(run)
	return engine.Progress{Generation: run.generation, Tokens: ready, Finished: ready == e.tokens}, nil
}

func (f *fakeFleet) DiscardPool(netip.AddrPort) {}

// firstPlacer places each request on the first engine that is not excluded.
type firstPlacer struct {
	fleet    *fakeFleet
	released []sched.Outcome
}

func (p *firstPlacer) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	excluded := make(map[string]bool)
	for _, name := range r.Exclude {
		excluded[name] = true
	}
	for i, e := range p.fleet.engines {
		if !excluded[e.name] {
			return &fakeTicket{placer: p, backend: config.Backend{Name: e.name, Address: address(i)}}, nil
		}
	}
	return nil, refuse.New(refuse.CodeNoBackend, "none left")
}

type fakeTicket struct {
	placer  *firstPlacer
	backend config.Backend
}

func (t *fakeTicket) Backend() config.Backend { return t.backend }
func (t *fakeTicket) Priority() int           { return 0 }
func (t *fakeTicket) Progress(int)            {}

func (t *fakeTicket) Release(o sched.Outcome) { t.placer.released = append(t.placer.released, o) }

// caller collects tokens and leaves after leaveAt of them; zero means that it stays.
type caller struct {
	tokens  []string
	at      []time.Time
	leaveAt int
}

func (c *caller) Token(text string) error {
	if c.leaveAt > 0 && len(c.tokens) == c.leaveAt {
		return context.Canceled
	}
	c.tokens = append(c.tokens, text)
	c.at = append(c.at, time.Now())
	return nil
}
