package faults

import (
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const maxRetryingStarts = 4

// retryingStream is the baseline: it treats relay.DefaultFrameTimeout without a frame as a failure, sends a failed
// request to another engine and appends the new tokens to those that the caller has.
type retryingStream struct {
	host   *host
	answer *answer

	engine   *fakeEngine
	attempts int
	// frames counts the frames received, to detect a connection without any.
	frames int
	ended  bool
}

func (s *retryingStream) begin() { s.start() }

func (s *retryingStream) kill() { s.ended = true }

func (s *retryingStream) callerLeft() { s.ended = true }

func (s *retryingStream) start() {
	w := s.host.world
	e := s.host.pickEngine(nil)
	if s.attempts == maxRetryingStarts || e == nil {
		s.ended = true
		refusal := &refuse.Error{Code: refuse.CodeNoBackend, Run: refuse.NotRun}
		if n := len(s.answer.tokens); n > 0 {
			refusal = &refuse.Error{Code: refuse.CodeInterrupted, Run: refuse.Partial, TokensDelivered: n}
		}
		s.answer.fail(w, refusal)
		return
	}
	s.attempts++
	s.engine = e
	s.host.running[e]++
	id := relay.AttemptID(s.answer.id(), s.attempts)
	c := &conn{number: s.attempts, deliver: s.handle}
	w.loop.After(oneWayDelay, func() {
		if e.start(s.answer.request, id, c, w) {
			w.accepted[s.answer.id()] = true
			w.attempts[e.runs[id].generation] = id
		}
	})
	s.watch(s.attempts, s.frames)
}

// watch retries the request if no frame arrives within relay.DefaultFrameTimeout, and otherwise watches on.
func (s *retryingStream) watch(number, frames int) {
	s.host.world.loop.After(relay.DefaultFrameTimeout, func() {
		switch {
		case s.ended || s.attempts != number:
		case s.frames == frames:
			s.retry()
		default:
			s.watch(number, s.frames)
		}
	})
}

func (s *retryingStream) handle(e relay.Event) {
	if s.ended || e.Conn != s.attempts {
		return
	}
	w := s.host.world
	switch e.Kind {
	case relay.EventOpened:
	case relay.EventFrame:
		s.frames++
		if e.Frame.Finish == "" {
			s.answer.receiveToken(w, e.Frame.Token)
			return
		}
		s.ended = true
		s.host.running[s.engine]--
		s.answer.finish(w)
	default:
		s.retry()
	}
}

func (s *retryingStream) retry() {
	s.host.running[s.engine]--
	s.host.failedAt[s.engine] = s.host.world.loop.Now()
	s.start()
}
