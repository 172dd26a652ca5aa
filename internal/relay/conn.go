package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// connect starts, resumes or probes a generation as the action says. It does not wait for the engine.
func (s *session) connect(ctx context.Context, act Action) {
	if s.ticket == nil {
		return
	}
	request := s.request
	request.ID = AttemptID(s.request.ID, act.Attempt)
	addr := s.ticket.Backend().Address
	switch act.Kind {
	case ActionStart:
		request = s.prepareContinuation(request, act.Offset)
		request.Priority = s.ticket.Priority()
		s.startedAt = time.Now()
		if s.relay.Guard != nil {
			s.guardRun = s.relay.Guard.Started(s.print, s.ticket.Backend().Name)
		}
		s.record(stepStarted, "")
		s.count(ctx, Meter.Started)
		s.dial(ctx, act.Conn, func(ctx context.Context) (engine.Stream, error) {
			return s.relay.Engines.Start(ctx, addr, request)
		})
	case ActionResume:
		s.record(stepResumed, fmt.Sprintf("from token %d", act.Offset))
		s.count(ctx, Meter.Resumed)
		s.relay.Engines.DiscardPool(addr)
		s.dial(ctx, act.Conn, func(ctx context.Context) (engine.Stream, error) {
			return s.relay.Engines.Resume(ctx, addr, request.ID, act.Generation, act.Offset)
		})
	case ActionProbe:
		s.connections.Go(func() {
			ctx, stop := context.WithTimeout(ctx, s.machine.Rules.ProbeTimeout)
			defer stop()
			p, err := s.relay.Engines.Progress(ctx, addr, request.ID)
			s.sendEvent(ctx, Event{Kind: probeResultKind(err), Conn: act.Conn, Progress: p})
		})
	}
}

// prepareContinuation returns the request for a generation that continues after the delivered tokens. Unless there are
// none, it also resets the checker for the new generation.
func (s *session) prepareContinuation(request engine.Request, tokens int) engine.Request {
	if tokens == 0 {
		return request
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.restart()
	request.Prompt += s.text.String()
	request.PromptTokens += tokens
	request.MaxTokens -= tokens
	return request
}

// dial closes the current connection and opens a new one, which is read in its own goroutine.
func (s *session) dial(ctx context.Context, conn int, open func(context.Context) (engine.Stream, error)) {
	s.closeConn()
	ctx, s.closeConn = context.WithCancel(ctx)
	s.connections.Go(func() {
		stream, err := open(ctx)
		if err != nil {
			s.sendEvent(ctx, Event{Kind: openErrorKind(err), Conn: conn})
			return
		}
		defer stream.Close()
		s.sendEvent(ctx, Event{Kind: EventOpened, Conn: conn})
		e := Event{Kind: EventFrame, Conn: conn}
		for {
			if e.Frame, err = stream.Next(); err != nil {
				s.sendEvent(ctx, Event{Kind: EventBroken, Conn: conn})
				return
			}
			if !s.handleFrame(ctx, &e, stream) {
				return
			}
		}
	})
}

// sendEvent passes an event to the goroutine of Run. Once ctx has ended, the event may be dropped: a connection's context
// ends when the connection is closed or replaced, a probe's after ProbeTimeout.
func (s *session) sendEvent(ctx context.Context, e Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

func openErrorKind(err error) EventKind {
	switch {
	case errors.Is(err, engine.ErrRefused):
		return EventRefused
	case errors.Is(err, engine.ErrUnreachable):
		return EventUnreachable
	case errors.Is(err, engine.ErrGone):
		return EventGone
	default:
		return EventBroken
	}
}

func probeResultKind(err error) EventKind {
	switch {
	case err == nil:
		return EventProgress
	case errors.Is(err, engine.ErrGone):
		return EventGone
	case errors.Is(err, engine.ErrRefused):
		return EventBusy
	default:
		return EventProbeFailed
	}
}
