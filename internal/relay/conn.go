package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// connect does what a Machine asks of the network.
func (s *session) connect(ctx context.Context, act Action) {
	ask := s.ask
	ask.ID = AttemptID(s.ask.ID, act.Attempt)
	addr := s.ticket.Backend().Address
	switch act.Kind {
	case ActionStart:
		ask = s.continued(ask, act.Offset)
		ask.Priority = s.ticket.Priority()
		s.begun = time.Now()
		if s.relay.Guard != nil {
			s.guarded = s.relay.Guard.Started(s.print, s.ticket.Backend().Name)
		}
		s.record(stepStarted, "")
		s.count(ctx, Meter.Started)
		s.dial(ctx, act.Conn, func(ctx context.Context) (engine.Stream, error) {
			return s.relay.Engines.Start(ctx, addr, ask)
		})
	case ActionResume:
		s.record(stepResumed, fmt.Sprintf("from token %d", act.Offset))
		s.count(ctx, Meter.Resumed)
		s.relay.Engines.DiscardPool(addr)
		s.dial(ctx, act.Conn, func(ctx context.Context) (engine.Stream, error) {
			return s.relay.Engines.Resume(ctx, addr, ask.ID, act.Generation, act.Offset)
		})
	case ActionProbe:
		s.connections.Go(func() {
			ctx, stop := context.WithTimeout(ctx, s.machine.Rules.ProbeTimeout)
			defer stop()
			p, err := s.relay.Engines.Progress(ctx, addr, ask.ID)
			s.send(ctx, Event{Kind: progressKind(err), Conn: act.Conn, Progress: p})
		})
	}
}

// continued returns the request for a generation that goes on after the tokens that the caller has.
func (s *session) continued(ask engine.Request, tokens int) engine.Request {
	if tokens == 0 {
		return ask
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.restart()
	ask.Prompt += s.text.String()
	ask.PromptTokens += tokens
	ask.MaxTokens -= tokens
	return ask
}

// dial replaces the present connection by a new one, whose goroutine ends with it.
func (s *session) dial(ctx context.Context, conn int, open func(context.Context) (engine.Stream, error)) {
	s.hangUp()
	ctx, s.hangUp = context.WithCancel(ctx)
	s.connections.Go(func() {
		stream, err := open(ctx)
		if err != nil {
			s.send(ctx, Event{Kind: openKind(err), Conn: conn})
			return
		}
		defer stream.Close()
		s.send(ctx, Event{Kind: EventOpened, Conn: conn})
		e := Event{Kind: EventFrame, Conn: conn}
		for {
			if e.Frame, err = stream.Next(); err != nil {
				s.send(ctx, Event{Kind: EventBroken, Conn: conn})
				return
			}
			if !s.frame(ctx, &e, stream) {
				return
			}
		}
	})
}

// send hands an event to the session unless its connection has been replaced.
func (s *session) send(ctx context.Context, e Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

func openKind(err error) EventKind {
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

func progressKind(err error) EventKind {
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
