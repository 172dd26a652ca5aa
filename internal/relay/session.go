package relay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

const (
	eventBuffer  = 4
	stepPlaced   = "placed"
	stepStarted  = "started"
	stepRetried  = "retried"
	stepResumed  = "resumed"
	stepRefused  = "refused"
	stepFinished = "finished"
	never        = time.Duration(1<<63 - 1)
)

// session does the I/O of one request for its Machine, in the goroutine of Run.
// Each connection has a goroutine of its own, which passes tokens on by itself and sends all other events to
// Run's goroutine; this spares a switch of goroutines a token. connections waits for them all.
type session struct {
	relay *Relay
	place sched.Request
	ask   engine.Request
	sink  Sink
	print poison.Fingerprint

	// mu guards the Machine, the ledger and the sink; it is held while a token is written to the caller.
	mu      sync.Mutex
	machine Machine
	ledger  ledger
	// failure is why a token was not passed on.
	failure error
	// text holds the tokens delivered, where another generation may go on after them.
	text strings.Builder

	events chan Event
	// actions takes what frames ask for other than to be passed on or dropped.
	actions     chan Action
	connections sync.WaitGroup
	// hangUp ends the present connection.
	hangUp context.CancelFunc
	timer  *time.Timer
	// armed is the time at which the timer fires.
	armed time.Time

	ticket  sched.Ticket
	guarded *poison.Run
	begun   time.Time
	first   time.Duration
}

func newSession(r *Relay, place sched.Request, ask engine.Request, sink Sink) *session {
	s := &session{
		relay:   r,
		place:   place,
		ask:     ask,
		sink:    sink,
		print:   poison.FingerprintOf(place.Workspace, place.Service, ask.Prompt),
		machine: Machine{ID: ask.ID, Rules: r.Rules},
		events:  make(chan Event, eventBuffer),
		actions: make(chan Action, eventBuffer),
		hangUp:  func() {},
	}
	if r.Continues != nil && r.Continues(place.Service) {
		s.machine.Continue = true
		s.machine.Limit = ask.MaxTokens
	}
	if r.Budget != nil {
		r.Budget.Arrived()
		s.machine.Budget = r.Budget
	}
	return s
}

// run feeds the Machine until the answer ends.
func (s *session) run(ctx context.Context) (Summary, error) {
	s.timer = time.NewTimer(never)
	defer s.timer.Stop()
	defer s.connections.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	act := s.machine.Begin()
	for {
		switch act.Kind {
		case ActionFinish:
			s.record(stepFinished, act.Finish)
			s.end(ctx, act.Abandon)
			return Summary{Tokens: s.ledger.tokens, Finish: act.Finish}, nil
		case ActionFail:
			s.record(stepRefused, act.Refusal.Message)
			s.end(ctx, act.Abandon)
			return Summary{}, s.explain(ctx, act.Refusal)
		case ActionPlace:
			if act.Abandon != CauseNone {
				s.record(stepRetried, act.Abandon.String())
			}
			s.end(ctx, act.Abandon)
			act = s.step(s.seek(ctx))
		default:
			s.connect(ctx, act)
			act = s.wait(ctx)
		}
	}
}

// step feeds one event to the Machine.
func (s *session) step(e Event) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Now()
	return s.machine.Step(&e)
}

// wait returns the next action. It leaves the timer alone while that fires early enough: the time at which the
// Machine wants to wake moves on with each token.
func (s *session) wait(ctx context.Context) Action {
	s.mu.Lock()
	wake := s.machine.Wake()
	s.mu.Unlock()
	if !wake.IsZero() && (s.armed.IsZero() || wake.Before(s.armed)) {
		s.armed = wake
		s.timer.Reset(time.Until(wake))
	}
	select {
	case act := <-s.actions:
		return act
	case e := <-s.events:
		return s.step(e)
	case <-s.timer.C:
		s.armed = time.Time{}
		return s.step(Event{Kind: EventTick})
	case <-ctx.Done():
		return s.step(Event{Kind: EventCallerLeft})
	}
}

// frame takes a frame in the goroutine of its connection; it reports whether the connection is of further use.
func (s *session) frame(ctx context.Context, e *Event, stream engine.Stream) bool {
	act := s.pass(e)
	switch act.Kind {
	case ActionDrop, ActionNone:
		return true
	case ActionFinish:
		// Before Run's goroutine hangs up: the connection can serve another generation.
		stream.Close()
	}
	select {
	case s.actions <- act:
	case <-ctx.Done():
	}
	return false
}

// pass hands the frame's token to the caller if it is the next one, and returns what else is to be done.
func (s *session) pass(e *Event) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Now()
	act := s.machine.Step(e)
	if act.Kind != ActionDeliver {
		return act
	}
	if s.failure = s.deliver(&e.Frame); s.failure != nil {
		return s.machine.Step(&Event{Kind: EventUndelivered, At: e.At})
	}
	return Action{Kind: ActionNone}
}

// seek asks for a start on a backend server, at first on one where no other suspect runs.
func (s *session) seek(ctx context.Context) Event {
	ticket, err := s.admit(ctx)
	now := time.Now()
	switch {
	case err == nil:
		s.ticket = ticket
		s.record(stepPlaced, "")
		return Event{Kind: EventPlaced, At: now}
	case ctx.Err() != nil:
		return Event{Kind: EventCallerLeft, At: now}
	default:
		return Event{Kind: EventUnplaced, At: now, Refusal: refuse.From(err)}
	}
}

func (s *session) admit(ctx context.Context) (sched.Ticket, error) {
	if s.relay.Guard == nil {
		return s.relay.Placer.Place(ctx, s.place)
	}
	if err := s.relay.Guard.Check(ctx, s.print); err != nil {
		return nil, err
	}
	apart := s.place
	apart.Exclude = append(s.relay.Guard.Avoid(s.print), s.place.Exclude...)
	ticket, err := s.relay.Placer.Place(ctx, apart)
	if errors.Is(err, &refuse.Error{Code: refuse.CodeNoBackend}) && len(apart.Exclude) > len(s.place.Exclude) {
		return s.relay.Placer.Place(ctx, s.place)
	}
	return ticket, err
}

// deliver checks a token and hands it to the caller.
func (s *session) deliver(f *engine.Frame) error {
	if err := s.ledger.take(f); err != nil {
		s.relay.Log.Error("stream stopped", "request_id", s.ask.ID, "error", err)
		return err
	}
	if s.ledger.tokens == 1 {
		s.first = time.Since(s.begun)
	}
	if err := s.sink.Token(f.Token); err != nil {
		return err
	}
	if s.machine.Continue {
		s.text.WriteString(f.Token)
	}
	s.ticket.Progress(s.ledger.tokens)
	s.guarded.SetTokens(s.ledger.tokens)
	return nil
}

// explain names a violated invariant as the host's own failure.
func (s *session) explain(ctx context.Context, r *refuse.Error) *refuse.Error {
	if errors.Is(s.failure, ErrInvariant) {
		s.count(ctx, Meter.Violated)
		r.Code = refuse.CodeInternal
		r.Message = s.failure.Error()
	}
	return r
}

// end releases the attempt, if one is open, and cancels its work unless it is whole or never ran.
func (s *session) end(ctx context.Context, why Cause) {
	if s.ticket == nil {
		return
	}
	s.hangUp()
	backend := s.ticket.Backend()
	s.ticket.Release(sched.Outcome{Result: why.result(), Tokens: s.ledger.tokens, FirstToken: s.first})
	s.ticket = nil
	id := AttemptID(s.ask.ID, s.machine.attempt)
	switch why {
	case CauseLost:
		s.place.Exclude = append(s.place.Exclude, backend.Name)
		s.guarded.Interrupted()
		s.relay.abandon(ctx, backend.Address, id, s.guarded)
	case CauseUnresponsive:
		s.place.Exclude = append(s.place.Exclude, backend.Name)
		s.guarded.Ended(false)
		s.relay.Engines.DiscardPool(backend.Address)
		s.relay.abandon(ctx, backend.Address, id, nil)
	case CauseCallerLeft:
		s.guarded.Ended(false)
		s.relay.abandon(ctx, backend.Address, id, nil)
	case CauseRefused, CauseUnreachable:
		s.place.Exclude = append(s.place.Exclude, backend.Name)
		s.guarded.Ended(false)
	case CauseNone:
		s.guarded.Ended(true)
	}
}

func (s *session) count(ctx context.Context, what func(Meter, context.Context, string)) {
	if s.relay.Meter != nil {
		what(s.relay.Meter, ctx, s.place.Service)
	}
}

func (s *session) record(step, reason string) {
	if s.relay.Decisions == nil {
		return
	}
	one := board.Decision{Request: s.ask.ID, At: time.Now(), Step: step, Reason: reason}
	if s.ticket != nil {
		one.Backend = s.ticket.Backend().Name
	}
	s.relay.Decisions.Add(one)
}

// String returns the cause as operators see it.
func (c Cause) String() string {
	switch c {
	case CauseRefused:
		return "refused"
	case CauseUnreachable:
		return "unreachable"
	case CauseLost:
		return "lost"
	case CauseUnresponsive:
		return "silent"
	case CauseCallerLeft:
		return "caller left"
	default:
		return ""
	}
}

func (c Cause) result() sched.Result {
	switch c {
	case CauseRefused:
		return sched.ResultRefused
	case CauseUnreachable, CauseLost, CauseUnresponsive:
		return sched.ResultFailed
	case CauseCallerLeft:
		return sched.ResultCancelled
	default:
		return sched.ResultOK
	}
}
