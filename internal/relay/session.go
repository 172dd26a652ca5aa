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
// Each connection has its own goroutine, which delivers tokens itself and sends all other events to Run's
// goroutine; this saves a goroutine switch for each token. connections waits for them all.
type session struct {
	relay     *Relay
	placement sched.Request
	request   engine.Request
	sink      Sink
	print     poison.Fingerprint

	// mu guards the Machine, the checker and the sink; it is held while a token is written to the caller.
	mu      sync.Mutex
	machine Machine
	checker invariantChecker
	// deliverErr is the error of the token that could not be delivered.
	deliverErr error
	// text holds the delivered tokens if another generation may continue after them.
	text strings.Builder

	events chan Event
	// actions receives the actions that frames lead to, other than delivering or dropping them.
	actions     chan Action
	connections sync.WaitGroup
	// closeConn closes the current connection.
	closeConn context.CancelFunc
	timer     *time.Timer
	// timerAt is the time at which the timer fires; zero if it is not set.
	timerAt time.Time

	ticket     sched.Ticket
	guardRun   *poison.Run
	startedAt  time.Time
	firstToken time.Duration
}

func newSession(r *Relay, placement sched.Request, request engine.Request, sink Sink) *session {
	s := &session{
		relay:     r,
		placement: placement,
		request:   request,
		sink:      sink,
		print:     poison.FingerprintOf(placement.Workspace, placement.Service, request.Prompt),
		machine:   Machine{ID: request.ID, Rules: r.Rules},
		events:    make(chan Event, eventBuffer),
		actions:   make(chan Action, eventBuffer),
		closeConn: func() {},
	}
	if r.Continues != nil && r.Continues(placement.Service) {
		s.machine.Continue = true
		s.machine.Limit = request.MaxTokens
	}
	if r.Budget != nil {
		r.Budget.Arrived()
		s.machine.Budget = r.Budget
	}
	return s
}

// run carries out the Machine's actions until the answer ends.
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
			s.endAttempt(ctx, act.Abandon)
			return Summary{Tokens: s.checker.tokens, Finish: act.Finish}, nil
		case ActionFail:
			s.record(stepRefused, act.Refusal.Message)
			s.endAttempt(ctx, act.Abandon)
			return Summary{}, s.explain(ctx, act.Refusal)
		case ActionPlace:
			if act.Abandon != CauseNone {
				s.record(stepRetried, act.Abandon.String())
			}
			s.endAttempt(ctx, act.Abandon)
			act = s.step(s.placeAttempt(ctx))
		case ActionStop:
			s.record(stepRetried, act.Abandon.String())
			s.awaitEnd(ctx, act.Conn, s.endAttempt(ctx, act.Abandon))
			act = s.wait(ctx)
		default:
			s.connect(ctx, act)
			act = s.wait(ctx)
		}
	}
}

// step passes one event to the Machine.
func (s *session) step(e Event) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Now()
	return s.machine.Step(&e)
}

// wait returns the next action. It resets the timer only if that would fire too late, because the Machine's wake
// time is postponed with each token.
func (s *session) wait(ctx context.Context) Action {
	s.mu.Lock()
	wake := s.machine.Wake()
	s.mu.Unlock()
	if !wake.IsZero() && (s.timerAt.IsZero() || wake.Before(s.timerAt)) {
		s.timerAt = wake
		s.timer.Reset(time.Until(wake))
	}
	select {
	case act := <-s.actions:
		return act
	case e := <-s.events:
		return s.step(e)
	case <-s.timer.C:
		s.timerAt = time.Time{}
		return s.step(Event{Kind: EventTick})
	case <-ctx.Done():
		return s.step(Event{Kind: EventCallerLeft})
	}
}

// handleFrame handles a frame in its connection's goroutine and reports whether to keep reading the connection.
func (s *session) handleFrame(ctx context.Context, e *Event, stream engine.Stream) bool {
	act := s.stepFrame(e)
	switch act.Kind {
	case ActionDrop, ActionNone:
		return true
	case ActionFinish:
		// Closed before Run's goroutine calls closeConn, so that the connection can be reused for another generation.
		stream.Close()
		s.actions <- act
		return false
	case ActionFail:
		// The Machine has ended and returns no other action, so Run waits for this one, also after ctx has ended.
		s.actions <- act
		return false
	}
	select {
	case s.actions <- act:
	case <-ctx.Done():
	}
	return false
}

// stepFrame delivers the frame's token if it is the next one, and returns the remaining action.
func (s *session) stepFrame(e *Event) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = time.Now()
	act := s.machine.Step(e)
	if act.Kind != ActionDeliver {
		return act
	}
	if s.deliverErr = s.deliver(&e.Frame); s.deliverErr != nil {
		return s.machine.Step(&Event{Kind: EventUndelivered, At: e.At})
	}
	return Action{Kind: ActionNone}
}

// placeAttempt waits until the scheduler assigns a backend server and returns the result as an event.
func (s *session) placeAttempt(ctx context.Context) Event {
	ticket, err := s.place(ctx)
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

// place prefers backend servers on which no other request that is suspected of crashes runs.
func (s *session) place(ctx context.Context) (sched.Ticket, error) {
	if s.relay.Guard == nil {
		return s.relay.Placer.Place(ctx, s.placement)
	}
	if err := s.relay.Guard.Check(ctx, s.print); err != nil {
		return nil, err
	}
	avoiding := s.placement
	avoiding.Exclude = append(s.relay.Guard.Avoid(s.print), s.placement.Exclude...)
	ticket, err := s.relay.Placer.Place(ctx, avoiding)
	if errors.Is(err, &refuse.Error{Code: refuse.CodeNoBackend}) && len(avoiding.Exclude) > len(s.placement.Exclude) {
		return s.relay.Placer.Place(ctx, s.placement)
	}
	return ticket, err
}

// deliver checks the invariants for a token and sends it to the caller.
func (s *session) deliver(f *engine.Frame) error {
	if err := s.checker.check(f); err != nil {
		s.relay.Log.Error("stream stopped by a violated invariant", "request_id", s.request.ID, "error", err)
		return err
	}
	if s.checker.tokens == 1 {
		s.firstToken = time.Since(s.startedAt)
	}
	if err := s.sink.Token(f.Token); err != nil {
		return err
	}
	if s.machine.Continue {
		s.text.WriteString(f.Token)
	}
	s.ticket.Progress(s.checker.tokens)
	s.guardRun.SetTokens(s.checker.tokens)
	return nil
}

// explain turns the refusal into an internal error if an invariant was violated, and gives it the sink's reason if that refused a token.
func (s *session) explain(ctx context.Context, r *refuse.Error) *refuse.Error {
	var refused *refuse.Error
	switch {
	case errors.Is(s.deliverErr, ErrInvariant):
		s.count(ctx, Meter.Violated)
		r.Code = refuse.CodeInternal
		r.Message = s.deliverErr.Error()
	case errors.As(s.deliverErr, &refused):
		r.Code, r.Message, r.RetryAfter = refused.Code, refused.Message, refused.RetryAfter
	}
	return r
}

// endAttempt releases the attempt, if one is open, and cancels its work unless it is complete or never ran. The returned
// channel, nil without a cancel, says how the work is known to have ended.
func (s *session) endAttempt(ctx context.Context, cause Cause) <-chan endProof {
	if s.ticket == nil {
		return nil
	}
	s.closeConn()
	backend := s.ticket.Backend()
	s.ticket.Release(sched.Outcome{Result: cause.result(), Tokens: s.checker.tokens, FirstToken: s.firstToken})
	s.ticket = nil
	lost := abandoned{request: s.request.ID, attempt: s.machine.attempt, backend: backend, cause: cause}
	switch cause {
	case CauseLost:
		s.placement.Exclude = append(s.placement.Exclude, backend.Name)
		s.guardRun.Interrupted()
		lost.run = s.guardRun
		return s.relay.stopInBackground(ctx, lost, s.machine.Rules.StopTimeout)
	case CauseUnresponsive:
		s.placement.Exclude = append(s.placement.Exclude, backend.Name)
		s.guardRun.Ended(false)
		s.relay.Engines.DiscardPool(backend.Address)
		return s.relay.stopInBackground(ctx, lost, s.machine.Rules.StopTimeout)
	case CauseCallerLeft:
		s.guardRun.Ended(false)
		return s.relay.stopInBackground(ctx, lost, s.machine.Rules.StopTimeout)
	case CauseRefused, CauseUnreachable:
		s.placement.Exclude = append(s.placement.Exclude, backend.Name)
		s.guardRun.Ended(false)
	case CauseNone:
		s.guardRun.Ended(true)
	}
	return nil
}

// awaitEnd reports to the Machine when the abandoned attempt is known to have ended.
func (s *session) awaitEnd(ctx context.Context, conn int, ended <-chan endProof) {
	s.connections.Go(func() {
		select {
		case proof := <-ended:
			if proof != proofNone {
				s.sendEvent(ctx, Event{Kind: EventEnded, Conn: conn})
			}
		case <-ctx.Done():
		}
	})
}

func (s *session) count(ctx context.Context, method func(Meter, context.Context, string)) {
	if s.relay.Meter != nil {
		method(s.relay.Meter, ctx, s.placement.Service)
	}
}

func (s *session) record(step, reason string) {
	if s.relay.Decisions == nil {
		return
	}
	decision := board.Decision{Request: s.request.ID, At: time.Now(), Step: step, Reason: reason}
	if s.ticket != nil {
		decision.Backend = s.ticket.Backend().Name
	}
	s.relay.Decisions.Add(decision)
}

// String returns the cause as recorded in the decisions of a request.
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
