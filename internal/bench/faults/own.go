package faults

import (
	"maps"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const (
	verdictPoll  = 5 * time.Millisecond
	verdictBound = time.Second
	askTimeout   = 300 * time.Millisecond
	cancelPause  = 50 * time.Millisecond
	cancelBound  = time.Second
)

// ownStream drives the product's Machine against the fakes.
type ownStream struct {
	host    *host
	answer  *answer
	machine relay.Machine
	print   poison.Fingerprint

	engine   *fakeEngine
	run      *run
	id       string
	guarded  *poison.Run
	excluded map[string]bool
	conn     *conn
	waited   time.Duration
	dead     bool
	// record takes the events of this answer; nil records none.
	record *Record
}

func newOwnStream(h *host, a *answer) *ownStream {
	return &ownStream{
		host:     h,
		answer:   a,
		machine:  relay.Machine{ID: a.id(), Budget: h.retry},
		print:    poison.FingerprintOf("w", "m", a.request.id),
		excluded: make(map[string]bool),
	}
}

func (s *ownStream) begin() { s.do(s.machine.Begin(), nil) }

func (s *ownStream) kill() { s.dead = true }

func (s *ownStream) leave() { s.step(relay.Event{Kind: relay.EventCallerLeft}) }

// step feeds one event to the Machine, unless the host has died.
func (s *ownStream) step(e relay.Event) {
	if s.dead {
		return
	}
	e.At = s.host.world.loop.Now()
	act := s.machine.Step(&e)
	if s.record != nil && (e.Kind != relay.EventTick || act.Kind != relay.ActionNone) {
		s.record.Events = append(s.record.Events, e)
	}
	s.do(act, &e)
	if wake := s.machine.Wake(); !wake.IsZero() && wake.After(e.At) {
		s.host.world.loop.After(wake.Sub(e.At), func() { s.tick(wake) })
	}
}

// tick passes on the time that the Machine still waits for.
func (s *ownStream) tick(wake time.Time) {
	if s.machine.Wake().Equal(wake) {
		s.step(relay.Event{Kind: relay.EventTick})
	}
}

func (s *ownStream) do(act relay.Action, e *relay.Event) {
	w := s.host.world
	switch act.Kind {
	case relay.ActionPlace:
		s.end(act.Abandon)
		s.seek()
	case relay.ActionStart:
		s.id = relay.AttemptID(s.answer.id(), act.Attempt)
		s.guarded = s.host.table.Started(s.print, s.engine.name)
		s.open(act.Conn, func(c *conn) {
			if s.engine.start(s.answer.request, s.id, c, w) {
				s.run = s.engine.runs[s.id]
				w.ran[s.answer.id()] = true
				w.owner[s.run.generation] = s.id
			}
		})
	case relay.ActionResume:
		w.counts.Resumes++
		s.open(act.Conn, func(c *conn) { s.engine.resume(s.id, act.Generation, act.Offset, c) })
	case relay.ActionProbe:
		s.ask(act.Conn)
	case relay.ActionDeliver:
		s.answer.take(w, e.Frame.Token)
		s.guarded.SetTokens(s.machine.Delivered())
	case relay.ActionFinish:
		s.end(relay.CauseNone)
		s.answer.finish(w)
		s.conclude(act)
	case relay.ActionFail:
		s.end(act.Abandon)
		if !s.answer.ended {
			s.answer.fail(w, act.Refusal)
		}
		s.conclude(act)
	}
}

func (s *ownStream) open(number int, send func(*conn)) {
	c := &conn{number: number, deliver: s.step}
	s.conn = c
	s.host.world.loop.After(oneWay, func() { send(c) })
}

func (s *ownStream) ask(number int) {
	w, e, id := s.host.world, s.engine, s.id
	w.loop.After(oneWay, func() {
		if answer, ok := e.progress(id); ok {
			answer.Conn = number
			w.loop.After(oneWay, func() { s.step(answer) })
		}
	})
}

// seek waits for a verdict that may bar the request and places it.
func (s *ownStream) seek() {
	if s.dead {
		return
	}
	w := s.host.world
	v := s.host.table.Evaluate(s.print)
	if v.Barred {
		s.unplaced(&refuse.Error{Code: refuse.CodeQuarantined, Run: refuse.NotRun})
		return
	}
	if (v.Settled != nil || v.Wait > 0) && s.waited < verdictBound {
		s.waited += verdictPoll
		w.loop.After(verdictPoll, s.seek)
		return
	}
	apart := maps.Clone(s.excluded)
	for _, name := range s.host.table.Avoid(s.print) {
		apart[name] = true
	}
	e := s.host.pick(apart)
	if e == nil {
		e = s.host.pick(s.excluded)
	}
	if e == nil {
		s.unplaced(&refuse.Error{Code: refuse.CodeNoBackend, Run: refuse.NotRun})
		return
	}
	s.engine = e
	s.host.running[e]++
	w.loop.After(0, func() { s.step(relay.Event{Kind: relay.EventPlaced}) })
}

func (s *ownStream) unplaced(r *refuse.Error) {
	s.host.world.loop.After(0, func() { s.step(relay.Event{Kind: relay.EventUnplaced, Refusal: r}) })
}

// end gives the attempt up as a session does.
func (s *ownStream) end(why relay.Cause) {
	e := s.engine
	if e == nil {
		return
	}
	w := s.host.world
	s.engine = nil
	s.host.running[e]--
	switch why {
	case relay.CauseNone:
		s.guarded.Ended(true)
		return
	case relay.CauseCallerLeft:
		s.guarded.Ended(false)
		s.cancel(e, s.id, 0)
	case relay.CauseRefused, relay.CauseUnreachable:
		s.guarded.Ended(false)
	case relay.CauseUnresponsive:
		s.guarded.Ended(false)
		s.cancel(e, s.id, 0)
	case relay.CauseLost:
		s.guarded.Interrupted()
		s.settle(e, s.id, s.guarded)
	}
	if why == relay.CauseLost || why == relay.CauseUnresponsive || why == relay.CauseUnreachable {
		s.host.failed[e] = w.loop.Now()
	}
	if why != relay.CauseCallerLeft {
		s.excluded[e.name] = true
	}
	if one := s.run; one != nil {
		w.loop.After(cancelBound, func() { w.watch(e, one) })
	}
}

// settle asks whether the engine died and cancels the run.
func (s *ownStream) settle(e *fakeEngine, id string, guarded *poison.Run) {
	w := s.host.world
	w.loop.After(oneWay, func() {
		answer, ok := e.progress(id)
		pause := oneWay
		if !ok {
			pause = askTimeout
		}
		died := answer.Kind == relay.EventGone || answer.Kind == relay.EventProbeFailed
		w.loop.After(pause, func() {
			if died {
				guarded.Died()
			} else {
				guarded.Survived()
			}
			s.cancel(e, id, 0)
		})
	})
}

// cancel ends a run; it is sent again while the engine is down.
func (s *ownStream) cancel(e *fakeEngine, id string, waited time.Duration) {
	s.host.world.loop.After(oneWay, func() {
		e.cancel(id)
		if e.down && waited < cancelBound {
			s.host.world.loop.After(cancelPause, func() { s.cancel(e, id, waited+cancelPause) })
		}
	})
}
