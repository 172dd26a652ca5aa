package faults

import (
	"maps"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const (
	verdictPoll      = 5 * time.Millisecond
	maxVerdictWait   = time.Second
	probeTimeout     = 300 * time.Millisecond
	cancelRetryPause = 50 * time.Millisecond
	cancelRetryLimit = time.Second
)

// ownStream serves an answer with the product's relay.Machine.
type ownStream struct {
	host    *host
	answer  *answer
	machine relay.Machine
	print   poison.Fingerprint

	engine      *fakeEngine
	run         *run
	id          string
	poisonRun   *poison.Run
	excluded    map[string]bool
	conn        *conn
	verdictWait time.Duration
	// ended is called when the attempt that is being abandoned has ended; nil if nothing waits for that.
	ended func()
	dead  bool
	// record receives the events of this answer; nil disables recording.
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

func (s *ownStream) begin() { s.perform(s.machine.Begin(), nil) }

func (s *ownStream) kill() { s.dead = true }

func (s *ownStream) callerLeft() { s.step(relay.Event{Kind: relay.EventCallerLeft}) }

// step passes an event to the Machine and performs its action, unless the host has died.
func (s *ownStream) step(e relay.Event) {
	if s.dead {
		return
	}
	e.At = s.host.world.loop.Now()
	action := s.machine.Step(&e)
	if s.record != nil && (e.Kind != relay.EventTick || action.Kind != relay.ActionNone) {
		s.record.Events = append(s.record.Events, e)
	}
	s.perform(action, &e)
	if wake := s.machine.Wake(); !wake.IsZero() && wake.After(e.At) {
		s.host.world.loop.After(wake.Sub(e.At), func() { s.tick(wake) })
	}
}

// tick wakes the Machine if it still waits for that time.
func (s *ownStream) tick(wake time.Time) {
	if s.machine.Wake().Equal(wake) {
		s.step(relay.Event{Kind: relay.EventTick})
	}
}

func (s *ownStream) perform(action relay.Action, e *relay.Event) {
	w := s.host.world
	switch action.Kind {
	case relay.ActionPlace:
		s.endAttempt(action.Abandon)
		s.place()
	case relay.ActionStop:
		s.ended = func() { s.step(relay.Event{Kind: relay.EventEnded, Conn: action.Conn}) }
		s.endAttempt(action.Abandon)
		s.ended = nil
	case relay.ActionStart:
		s.id = relay.AttemptID(s.answer.id(), action.Attempt)
		s.poisonRun = s.host.poisonTable.Started(s.print, s.engine.name)
		s.open(action.Conn, func(c *conn) {
			if s.engine.start(s.answer.request, s.id, c, w) {
				s.run = s.engine.runs[s.id]
				w.accepted[s.answer.id()] = true
				w.attempts[s.run.generation] = s.id
			}
		})
	case relay.ActionResume:
		w.counts.Resumes++
		s.open(action.Conn, func(c *conn) { s.engine.resume(s.id, action.Generation, action.Offset, c) })
	case relay.ActionProbe:
		s.probe(action.Conn)
	case relay.ActionDeliver:
		s.answer.receiveToken(w, e.Frame.Token)
		s.poisonRun.SetTokens(s.machine.Delivered())
	case relay.ActionFinish:
		s.endAttempt(relay.CauseNone)
		s.answer.finish(w)
		s.recordOutcome(action)
	case relay.ActionFail:
		s.endAttempt(action.Abandon)
		if !s.answer.ended {
			s.answer.fail(w, action.Refusal)
		}
		s.recordOutcome(action)
	}
}

// open makes a new connection the current one and calls send with it after the one-way delay.
func (s *ownStream) open(number int, send func(*conn)) {
	c := &conn{number: number, deliver: s.step}
	s.conn = c
	s.host.world.loop.After(oneWayDelay, func() { send(c) })
}

// probe asks the engine for the progress of the run.
func (s *ownStream) probe(number int) {
	w, e, id := s.host.world, s.engine, s.id
	w.loop.After(oneWayDelay, func() {
		if answer, ok := e.progress(id); ok {
			answer.Conn = number
			w.loop.After(oneWayDelay, func() { s.step(answer) })
		}
	})
}

// place picks an engine for the request. It waits up to maxVerdictWait while a pending verdict may bar the request.
func (s *ownStream) place() {
	if s.dead {
		return
	}
	w := s.host.world
	v := s.host.poisonTable.Evaluate(s.print)
	if v.Barred {
		s.failPlacement(&refuse.Error{Code: refuse.CodeQuarantined, Run: refuse.NotRun})
		return
	}
	if (v.Settled != nil || v.Wait > 0) && s.verdictWait < maxVerdictWait {
		s.verdictWait += verdictPoll
		w.loop.After(verdictPoll, s.place)
		return
	}
	avoided := maps.Clone(s.excluded)
	for _, name := range s.host.poisonTable.Avoid(s.print) {
		avoided[name] = true
	}
	e := s.host.pickEngine(avoided)
	if e == nil {
		e = s.host.pickEngine(s.excluded)
	}
	if e == nil {
		s.failPlacement(&refuse.Error{Code: refuse.CodeNoBackend, Run: refuse.NotRun})
		return
	}
	s.engine = e
	s.host.running[e]++
	w.loop.After(0, func() { s.step(relay.Event{Kind: relay.EventPlaced}) })
}

func (s *ownStream) failPlacement(r *refuse.Error) {
	s.host.world.loop.After(0, func() { s.step(relay.Event{Kind: relay.EventUnplaced, Refusal: r}) })
}

// endAttempt ends the attempt with the steps that a session of the product takes for the cause.
func (s *ownStream) endAttempt(cause relay.Cause) {
	e := s.engine
	if e == nil {
		return
	}
	w := s.host.world
	s.engine = nil
	s.host.running[e]--
	switch cause {
	case relay.CauseNone:
		s.poisonRun.Ended(true)
		return
	case relay.CauseCallerLeft:
		s.poisonRun.Ended(false)
		s.cancel(e, s.id, 0, s.ended)
	case relay.CauseRefused, relay.CauseUnreachable:
		s.poisonRun.Ended(false)
	case relay.CauseUnresponsive:
		s.poisonRun.Ended(false)
		s.cancel(e, s.id, 0, s.ended)
	case relay.CauseLost:
		s.poisonRun.Interrupted()
		s.resolveLostRun(e, s.id, s.poisonRun)
	}
	if cause == relay.CauseLost || cause == relay.CauseUnresponsive || cause == relay.CauseUnreachable {
		s.host.failedAt[e] = w.loop.Now()
	}
	if cause != relay.CauseCallerLeft {
		s.excluded[e.name] = true
	}
	if run := s.run; run != nil {
		w.loop.After(cancelRetryLimit, func() { w.checkOrphaned(e, run) })
	}
}

// resolveLostRun probes whether the engine died, notes the result and cancels the run.
func (s *ownStream) resolveLostRun(e *fakeEngine, id string, poisonRun *poison.Run) {
	w, ended := s.host.world, s.ended
	w.loop.After(oneWayDelay, func() {
		answer, ok := e.progress(id)
		pause := oneWayDelay
		if !ok {
			pause = probeTimeout
		}
		died := answer.Kind == relay.EventGone || answer.Kind == relay.EventProbeFailed
		w.loop.After(pause, func() {
			if died {
				poisonRun.Died()
			} else {
				poisonRun.Survived()
			}
			s.cancel(e, id, 0, ended)
		})
	})
}

// cancel ends a run; while the engine is down it is sent again, for at most cancelRetryLimit. The first answer, or the
// refused connection to an engine that is down, shows that the run has ended.
func (s *ownStream) cancel(e *fakeEngine, id string, waited time.Duration, ended func()) {
	w := s.host.world
	w.loop.After(oneWayDelay, func() {
		e.cancel(id)
		if ended != nil {
			w.loop.After(oneWayDelay, ended)
		}
		if e.down && waited < cancelRetryLimit {
			w.loop.After(cancelRetryPause, func() { s.cancel(e, id, waited+cancelRetryPause, nil) })
		}
	})
}
