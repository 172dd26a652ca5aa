package relay

import (
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	firstResumePause  = 100 * time.Millisecond
	maxResumes        = 6
	maxUnreachable    = 8
	refusedRetryAfter = time.Second
	finishLength      = "length"
)

// phase is what the Machine is waiting for.
type phase int

const (
	phasePlacing phase = iota
	phaseStarting
	phaseStreaming
	phaseProbing
	// phaseGrace waits for frames in flight after a probe.
	phaseGrace
	phaseResuming
	// phaseBackoff waits before the next resume.
	phaseBackoff
	// phaseStopping waits until an abandoned attempt is known to have ended.
	phaseStopping
	phaseEnded
)

// Machine is the state machine of one request's stream: it decides which frame is the caller's next token, when an
// attempt is abandoned, and how the answer ends. It does no I/O and reads no clock.
//
// Until the first token is delivered, a failed attempt is replaced by another generation on another engine. The next
// attempt is placed only after the one before is known to have ended; if that can't be found out, the answer fails.
// From then on only that generation is resumed, on its engine and from the caller's offset. If that fails and
// Continue is set, another generation may continue after the delivered tokens.
// A refusal says that the request did not run only if each engine refused it or could not be reached.
type Machine struct {
	// ID is the request's identity.
	ID string
	// Rules bound the attempts.
	Rules Rules
	// Budget bounds the starts after the first; nil allows them all.
	Budget Budget
	// Continue allows another generation to continue after the delivered tokens of a lost one.
	Continue bool
	// Limit is the maximum number of tokens in the answer; zero means unknown.
	Limit int

	phase   phase
	wake    time.Time
	attempt int
	// unreachable counts the attempts that could not reach their engine.
	unreachable int
	conn        int
	generation  string
	// accepted says that the engine is known to have accepted the attempt.
	accepted  bool
	delivered int
	// base is the number of tokens that earlier generations delivered; it is zero unless Continue is set.
	base int
	// lastActivity is the time of the last frame or other sign that the engine is alive.
	lastActivity time.Time
	// lostAt is the time at which the connection to the generation was lost; zero while it is not.
	lostAt  time.Time
	resumes int
	// mayHaveRun says that an engine may have run part of the request.
	mayHaveRun bool
}

// AttemptID returns the request ID that is sent to the engine for one attempt.
// It differs for each attempt, so that a late frame or cancel of one attempt never affects another.
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

// Delivered returns the number of tokens delivered to the caller.
func (m *Machine) Delivered() int { return m.delivered }

// Wake returns the time at which the Machine needs an EventTick; zero for never.
func (m *Machine) Wake() time.Time {
	if m.phase == phaseStreaming {
		return m.lastActivity.Add(m.Rules.FrameTimeout)
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
		return m.fail(m.abandonOpen(CauseCallerLeft), "the caller left")
	case EventUndelivered:
		m.delivered--
		return m.fail(m.abandonOpen(CauseCallerLeft), "the caller left")
	case EventPlaced:
		return m.placed(e.At)
	case EventUnplaced:
		return m.unplaced(e)
	}
	if e.Conn != m.conn || m.phase == phasePlacing {
		return Action{Kind: ActionNone}
	}
	if m.phase == phaseStopping {
		return m.stopping(e)
	}
	switch e.Kind {
	case EventOpened:
		return m.streamOpened(e.At)
	case EventRefused, EventUnreachable:
		return m.startRefused(e)
	case EventGone:
		return m.generationGone(e.At)
	case EventBroken:
		return m.connLost(e.At)
	case EventProgress:
		return m.progress(e)
	case EventBusy:
		return m.keepWaiting(e.At)
	case EventProbeFailed:
		return m.probeFailed(e.At)
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
	m.accepted = false
	m.phase = phaseStarting
	m.lastActivity = now
	m.wake = now.Add(m.Rules.FrameTimeout)
	return Action{Kind: ActionStart, Conn: m.conn, Attempt: m.attempt, Offset: m.base}
}

func (m *Machine) unplaced(e *Event) Action {
	if m.phase != phasePlacing {
		return Action{Kind: ActionNone}
	}
	m.phase = phaseEnded
	refusal := *e.Refusal
	if m.mayHaveRun {
		refusal.Run = refuse.MayHaveRun
	}
	if m.delivered > 0 {
		refusal.Run = refuse.Partial
		refusal.TokensDelivered = m.delivered
	}
	return Action{Kind: ActionFail, Refusal: &refusal}
}

func (m *Machine) streamOpened(now time.Time) Action {
	if m.phase != phaseStarting && m.phase != phaseResuming {
		return Action{Kind: ActionNone}
	}
	m.accepted = true
	m.phase = phaseStreaming
	m.lastActivity = now
	return Action{Kind: ActionNone}
}

// frame delivers the next token of the generation, drops duplicates and frames of other requests,
// and resumes the stream if a token is missing.
func (m *Machine) frame(e *Event) Action {
	f := &e.Frame
	if e.Conn != m.conn || !m.isOpen() || f.Request != AttemptID(m.ID, m.attempt) {
		return Action{Kind: ActionDrop}
	}
	if m.generation == "" {
		m.generation = f.Generation
	}
	if f.Generation != m.generation || f.Offset > m.generationTokens() {
		return m.unexpectedFrame(e)
	}
	m.accepted = true
	m.phase = phaseStreaming
	m.lastActivity = e.At
	if f.Offset < m.generationTokens() {
		return Action{Kind: ActionDrop}
	}
	if f.Finish != "" {
		m.phase = phaseEnded
		return Action{Kind: ActionFinish, Finish: f.Finish}
	}
	m.delivered++
	m.lostAt = time.Time{}
	return Action{Kind: ActionDeliver}
}

// generationTokens returns the number of tokens delivered from the current generation.
func (m *Machine) generationTokens() int { return m.delivered - m.base }

// unexpectedFrame handles a gap in the offsets, which the engine can resend, or a frame of another generation.
func (m *Machine) unexpectedFrame(e *Event) Action {
	switch {
	case m.phase == phaseBackoff:
		return Action{Kind: ActionDrop}
	case m.lostAt.IsZero() && e.Frame.Generation == m.generation:
		return m.resume(e.At)
	default:
		return m.connLost(e.At)
	}
}

// tick handles the timeout of the current phase.
func (m *Machine) tick(now time.Time) Action {
	wake := m.Wake()
	if wake.IsZero() || now.Before(wake) {
		return Action{Kind: ActionNone}
	}
	switch m.phase {
	case phaseStarting, phaseStreaming:
		m.phase = phaseProbing
		m.wake = now.Add(m.Rules.ProbeTimeout)
		return Action{Kind: ActionProbe, Conn: m.conn, Attempt: m.attempt}
	case phaseProbing:
		return m.probeFailed(now)
	case phaseGrace, phaseBackoff:
		return m.resume(now)
	case phaseResuming:
		return m.connLost(now)
	case phaseStopping:
		return m.fail(CauseNone, "the earlier attempt is not known to have ended")
	}
	return Action{Kind: ActionNone}
}

// progress distinguishes a broken connection from a slow engine: if the connection is broken, the engine has
// generated more tokens than arrived.
func (m *Machine) progress(e *Event) Action {
	if m.phase != phaseProbing {
		return Action{Kind: ActionNone}
	}
	p := e.Progress
	if m.generation != "" && p.Generation != m.generation {
		return m.generationGone(e.At)
	}
	if p.Tokens <= m.generationTokens() && !p.Finished {
		return m.keepWaiting(e.At)
	}
	m.generation = p.Generation
	m.accepted = true
	m.phase = phaseGrace
	m.wake = e.At.Add(m.Rules.Grace)
	return Action{Kind: ActionNone}
}

// keepWaiting returns to streaming, because the engine is alive but has no new token.
func (m *Machine) keepWaiting(now time.Time) Action {
	if m.phase != phaseProbing {
		return Action{Kind: ActionNone}
	}
	m.phase = phaseStreaming
	m.lastActivity = now
	m.lostAt = time.Time{}
	return Action{Kind: ActionNone}
}

func (m *Machine) probeFailed(now time.Time) Action {
	if m.phase != phaseProbing {
		return Action{Kind: ActionNone}
	}
	if !m.accepted {
		return m.restart(CauseUnresponsive, now)
	}
	return m.connLost(now)
}

// startRefused abandons an attempt that provably did not run, or retries a refused resume later.
func (m *Machine) startRefused(e *Event) Action {
	if m.generationTokens() > 0 || m.generation != "" {
		return m.connLost(e.At)
	}
	if e.Kind == EventUnreachable {
		return m.restart(CauseUnreachable, e.At)
	}
	return m.restart(CauseRefused, e.At)
}

// generationGone abandons an attempt whose generation the engine does not have any more.
func (m *Machine) generationGone(now time.Time) Action {
	if m.generationTokens() > 0 {
		return m.failOrContinue("the engine lost the generation", now)
	}
	if m.phase == phaseProbing && !m.accepted {
		return m.restart(CauseUnresponsive, now)
	}
	return m.restart(CauseLost, now)
}

// connLost resumes the stream after its connection failed or timed out, with exponential backoff, until the resume
// timeout or maxResumes is reached. Without a token of the current generation it restarts the request instead.
func (m *Machine) connLost(now time.Time) Action {
	if m.generationTokens() == 0 {
		return m.restart(CauseLost, now)
	}
	if m.lostAt.IsZero() {
		m.lostAt = now
		m.resumes = 0
	}
	if m.resumes == 0 {
		return m.resume(now)
	}
	pause := firstResumePause << (m.resumes - 1)
	if m.resumes == maxResumes || now.Add(pause).Sub(m.lostAt) > m.Rules.ResumeTimeout {
		return m.failOrContinue("the generation broke off", now)
	}
	m.phase = phaseBackoff
	m.wake = now.Add(pause)
	return Action{Kind: ActionNone}
}

func (m *Machine) resume(now time.Time) Action {
	if m.lostAt.IsZero() {
		m.lostAt = now
		m.resumes = 0
	}
	m.resumes++
	m.conn++
	m.phase = phaseResuming
	m.wake = now.Add(m.Rules.ProbeTimeout)
	return Action{Kind: ActionResume, Conn: m.conn, Attempt: m.attempt, Generation: m.generation, Offset: m.generationTokens()}
}
