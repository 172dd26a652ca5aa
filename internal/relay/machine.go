package relay

import (
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	firstResumePause = 100 * time.Millisecond
	maxResumes       = 6
	maxUnsent        = 8
	refusedRetry     = time.Second
	finishLength     = "length"
)

type phase int

const (
	phasePlacing phase = iota
	phaseStarting
	phaseStreaming
	phaseAsking
	phaseGrace
	phaseResuming
	phasePausing
	phaseEnded
)

// Machine decides what happens to one request's stream: which frame is the caller's next token, when an
// attempt is given up, and how the answer ends. It does no I/O and reads no clock.
//
// Until the first token is passed on, a failed attempt is replaced by another generation on another engine.
// From then on only that generation is resumed, on its engine and from the offset that the caller has reached;
// with Continue, another generation may go on after the tokens delivered when that fails.
// The caller is told that the request did not run only if each engine refused it or could not be reached.
type Machine struct {
	// ID is the request's identity.
	ID string
	// Rules bound the attempts.
	Rules Rules
	// Budget bounds the starts after the first; nil allows them all.
	Budget Budget
	// Continue allows another generation to go on after the tokens that the caller has of a lost one.
	Continue bool
	// Limit bounds the tokens of the answer; zero means that no bound is known.
	Limit int

	phase   phase
	wake    time.Time
	attempt int
	// unsent counts the attempts that could not reach their engine.
	unsent     int
	conn       int
	generation string
	// opened says that the engine is known to have taken the attempt.
	opened    bool
	delivered int
	// base is the number of tokens that earlier generations delivered; it is zero unless Continue is set.
	base int
	// heard is the time of the last sign of life on the connection.
	heard time.Time
	// lost is the time at which the generation was first found lost; zero while it is not.
	lost    time.Time
	resumes int
	// ran says that an engine may have run a part of the request.
	ran bool
}

// AttemptID returns the identity under which an engine knows one attempt of a request.
// It differs for each attempt, so that a late frame or cancel of one never meets another.
func AttemptID(id string, attempt int) string {
	if attempt <= 1 {
		return id
	}
	return id + "-" + strconv.Itoa(attempt)
}

// Begin returns the first action.
func (m *Machine) Begin() Action {
	m.Rules = m.Rules.withDefaults()
	return Action{Kind: ActionPlace}
}

// Delivered returns the number of tokens passed on to the caller.
func (m *Machine) Delivered() int { return m.delivered }

// Wake returns the time at which the Machine wants an EventTick; zero for never.
func (m *Machine) Wake() time.Time {
	if m.phase == phaseStreaming {
		return m.heard.Add(m.Rules.FrameTimeout)
	}
	return m.wake
}

// Step takes one event and returns what is to be done. Events of replaced connections have no effect.
func (m *Machine) Step(e *Event) Action {
	if m.phase == phaseEnded {
		return Action{Kind: ActionNone}
	}
	switch e.Kind {
	case EventFrame:
		return m.frame(e)
	case EventTick:
		return m.tick(e.At)
	case EventCallerLeft:
		return m.fail(m.open(CauseCallerLeft), "the caller left")
	case EventUndelivered:
		m.delivered--
		return m.fail(m.open(CauseCallerLeft), "the caller left")
	case EventPlaced:
		return m.placed(e.At)
	case EventUnplaced:
		return m.unplaced(e)
	}
	if e.Conn != m.conn || m.phase == phasePlacing {
		return Action{Kind: ActionNone}
	}
	switch e.Kind {
	case EventOpened:
		return m.taken(e.At)
	case EventRefused, EventUnreachable:
		return m.refused(e)
	case EventGone:
		return m.gone()
	case EventBroken:
		return m.lose(e.At)
	case EventProgress:
		return m.progress(e)
	case EventBusy:
		return m.slow(e.At)
	case EventProbeFailed:
		return m.mute(e.At)
	}
	return Action{Kind: ActionNone}
}

func (m *Machine) placed(now time.Time) Action {
	if m.phase != phasePlacing {
		return Action{Kind: ActionNone}
	}
	m.attempt++
	m.conn++
	m.generation = ""
	m.opened = false
	m.phase = phaseStarting
	m.heard = now
	m.wake = now.Add(m.Rules.FrameTimeout)
	return Action{Kind: ActionStart, Conn: m.conn, Attempt: m.attempt, Offset: m.base}
}

func (m *Machine) unplaced(e *Event) Action {
	if m.phase != phasePlacing {
		return Action{Kind: ActionNone}
	}
	m.phase = phaseEnded
	refusal := *e.Refusal
	if m.ran {
		refusal.Run = refuse.MayHaveRun
	}
	if m.delivered > 0 {
		refusal.Run = refuse.Partial
		refusal.TokensDelivered = m.delivered
	}
	return Action{Kind: ActionFail, Refusal: &refusal}
}

func (m *Machine) taken(now time.Time) Action {
	if m.phase != phaseStarting && m.phase != phaseResuming {
		return Action{Kind: ActionNone}
	}
	m.opened = true
	m.phase = phaseStreaming
	m.heard = now
	return Action{Kind: ActionNone}
}

// frame passes on the next token of the generation, drops what the caller has or what is another request's,
// and resumes the stream where a token is missing.
func (m *Machine) frame(e *Event) Action {
	f := &e.Frame
	if e.Conn != m.conn || m.phase == phasePlacing || f.Request != AttemptID(m.ID, m.attempt) {
		return Action{Kind: ActionDrop}
	}
	if m.generation == "" {
		m.generation = f.Generation
	}
	if f.Generation != m.generation || f.Offset > m.fresh() {
		return m.misfit(e)
	}
	m.opened = true
	m.phase = phaseStreaming
	m.heard = e.At
	if f.Offset < m.fresh() {
		return Action{Kind: ActionDrop}
	}
	if f.Finish != "" {
		m.phase = phaseEnded
		return Action{Kind: ActionFinish, Finish: f.Finish}
	}
	m.delivered++
	m.lost = time.Time{}
	return Action{Kind: ActionDeliver}
}

// fresh returns the number of tokens that the present generation delivered.
func (m *Machine) fresh() int { return m.delivered - m.base }

// misfit reacts to a frame after a missing one, which the engine still has, or of another generation.
func (m *Machine) misfit(e *Event) Action {
	switch {
	case m.phase == phasePausing:
		return Action{Kind: ActionDrop}
	case m.lost.IsZero() && e.Frame.Generation == m.generation:
		return m.resume(e.At)
	default:
		return m.lose(e.At)
	}
}

// tick acts on the time that has passed in the present phase.
func (m *Machine) tick(now time.Time) Action {
	wake := m.Wake()
	if wake.IsZero() || now.Before(wake) {
		return Action{Kind: ActionNone}
	}
	switch m.phase {
	case phaseStarting, phaseStreaming:
		m.phase = phaseAsking
		m.wake = now.Add(m.Rules.ProbeTimeout)
		return Action{Kind: ActionProbe, Conn: m.conn, Attempt: m.attempt}
	case phaseAsking:
		return m.mute(now)
	case phaseGrace, phasePausing:
		return m.resume(now)
	case phaseResuming:
		return m.lose(now)
	}
	return Action{Kind: ActionNone}
}

// progress tells a silent connection from a slow engine: on a silent one the engine has come further
// than the frames that arrived.
func (m *Machine) progress(e *Event) Action {
	if m.phase != phaseAsking {
		return Action{Kind: ActionNone}
	}
	p := e.Progress
	if m.generation != "" && p.Generation != m.generation {
		return m.gone()
	}
	if p.Tokens <= m.fresh() && !p.Finished {
		return m.slow(e.At)
	}
	m.generation = p.Generation
	m.opened = true
	m.phase = phaseGrace
	m.wake = e.At.Add(m.Rules.Grace)
	return Action{Kind: ActionNone}
}

// slow goes on waiting for an engine that has nothing new.
func (m *Machine) slow(now time.Time) Action {
	if m.phase != phaseAsking {
		return Action{Kind: ActionNone}
	}
	m.phase = phaseStreaming
	m.heard = now
	m.lost = time.Time{}
	return Action{Kind: ActionNone}
}

func (m *Machine) mute(now time.Time) Action {
	if m.phase != phaseAsking {
		return Action{Kind: ActionNone}
	}
	if !m.opened {
		return m.restart(CauseUnresponsive)
	}
	return m.lose(now)
}

// refused ends an attempt that provably did not run, or puts off a resume.
func (m *Machine) refused(e *Event) Action {
	if m.fresh() > 0 || m.generation != "" {
		return m.lose(e.At)
	}
	if e.Kind == EventUnreachable {
		return m.restart(CauseUnreachable)
	}
	return m.restart(CauseRefused)
}

// gone ends an attempt whose generation its engine does not know.
func (m *Machine) gone() Action {
	if m.fresh() > 0 {
		return m.giveUp("the engine lost the generation")
	}
	if m.phase == phaseAsking && !m.opened {
		return m.restart(CauseUnresponsive)
	}
	return m.restart(CauseLost)
}

// lose reacts to a connection that failed or that nothing came from.
func (m *Machine) lose(now time.Time) Action {
	if m.fresh() == 0 {
		return m.restart(CauseLost)
	}
	if m.lost.IsZero() {
		m.lost = now
		m.resumes = 0
	}
	if m.resumes == 0 {
		return m.resume(now)
	}
	pause := firstResumePause << (m.resumes - 1)
	if m.resumes == maxResumes || now.Add(pause).Sub(m.lost) > m.Rules.ResumeTimeout {
		return m.giveUp("the generation broke off")
	}
	m.phase = phasePausing
	m.wake = now.Add(pause)
	return Action{Kind: ActionNone}
}

func (m *Machine) resume(now time.Time) Action {
	if m.lost.IsZero() {
		m.lost = now
		m.resumes = 0
	}
	m.resumes++
	m.conn++
	m.phase = phaseResuming
	m.wake = now.Add(m.Rules.ProbeTimeout)
	return Action{Kind: ActionResume, Conn: m.conn, Attempt: m.attempt, Generation: m.generation, Offset: m.fresh()}
}
