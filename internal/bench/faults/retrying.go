package faults

import (
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const retryingStarts = 4

// retryingStream is the baseline: it takes a second without a frame for a failure, sends whatever failed to
// another engine, and appends what comes to what the caller has.
type retryingStream struct {
	host   *host
	answer *answer

	engine *fakeEngine
	starts int
	// frames counts what came on the present connection, to notice that none does.
	frames int
	ended  bool
}

func (s *retryingStream) begin() { s.start() }

func (s *retryingStream) kill() { s.ended = true }

func (s *retryingStream) leave() { s.ended = true }

func (s *retryingStream) start() {
	w := s.host.world
	e := s.host.pick(nil)
	if s.starts == retryingStarts || e == nil {
		s.ended = true
		refusal := &refuse.Error{Code: refuse.CodeNoBackend, Run: refuse.NotRun}
		if n := len(s.answer.tokens); n > 0 {
			refusal = &refuse.Error{Code: refuse.CodeInterrupted, Run: refuse.Partial, TokensDelivered: n}
		}
		s.answer.fail(w, refusal)
		return
	}
	s.starts++
	s.engine = e
	s.host.running[e]++
	id := relay.AttemptID(s.answer.id(), s.starts)
	c := &conn{number: s.starts, deliver: s.event}
	w.loop.After(oneWay, func() {
		if e.start(s.answer.request, id, c, w) {
			w.ran[s.answer.id()] = true
			w.owner[e.runs[id].generation] = id
		}
	})
	s.watch(s.starts, s.frames)
}

// watch takes a second without a frame for a failure.
func (s *retryingStream) watch(number, frames int) {
	s.host.world.loop.After(relay.DefaultFrameTimeout, func() {
		switch {
		case s.ended || s.starts != number:
		case s.frames == frames:
			s.failed()
		default:
			s.watch(number, s.frames)
		}
	})
}

func (s *retryingStream) event(e relay.Event) {
	if s.ended || e.Conn != s.starts {
		return
	}
	w := s.host.world
	switch e.Kind {
	case relay.EventOpened:
	case relay.EventFrame:
		s.frames++
		if e.Frame.Finish == "" {
			s.answer.take(w, e.Frame.Token)
			return
		}
		s.ended = true
		s.host.running[s.engine]--
		s.answer.finish(w)
	default:
		s.failed()
	}
}

func (s *retryingStream) failed() {
	s.host.running[s.engine]--
	s.host.failed[s.engine] = s.host.world.loop.Now()
	s.start()
}
