package relay

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// failOrContinue ends a stream whose generation is lost, or continues it with another generation if Continue is set.
func (m *Machine) failOrContinue(message string, now time.Time) Action {
	if !m.Continue {
		return m.fail(m.abandonOpen(CauseLost), message)
	}
	if m.delivered == m.Limit {
		m.phase = phaseEnded
		return Action{Kind: ActionFinish, Abandon: CauseLost, Finish: finishLength}
	}
	m.base = m.delivered
	return m.restart(CauseLost, now)
}

// restart abandons the attempt and asks for another backend server while the rules and the budget allow it. An attempt
// that may have run is stopped first.
func (m *Machine) restart(cause Cause, now time.Time) Action {
	ran := cause != CauseRefused && cause != CauseUnreachable
	if ran {
		m.mayHaveRun = true
	}
	if !m.retryAllowed(cause) {
		return m.exhausted(cause)
	}
	m.lostAt = time.Time{}
	if !ran {
		m.phase = phasePlacing
		m.wake = time.Time{}
		return Action{Kind: ActionPlace, Abandon: cause}
	}
	m.phase = phaseStopping
	m.wake = now.Add(m.Rules.StopTimeout)
	return Action{Kind: ActionStop, Abandon: cause, Conn: m.conn, Attempt: m.attempt}
}

// stopping handles an event while an abandoned attempt is stopped.
func (m *Machine) stopping(e *Event) Action {
	if e.Kind != EventEnded {
		return Action{Kind: ActionNone}
	}
	m.phase = phasePlacing
	m.wake = time.Time{}
	return Action{Kind: ActionPlace}
}

// isOpen reports whether an attempt is open.
func (m *Machine) isOpen() bool { return m.phase != phasePlacing && m.phase != phaseStopping }

// retryAllowed reports whether the rules and the budget allow a retry, and takes it from the budget. A failure to
// connect counts only against maxUnreachable, because nothing was sent.
func (m *Machine) retryAllowed(cause Cause) bool {
	if cause == CauseUnreachable {
		m.unreachable++
		return m.unreachable < maxUnreachable
	}
	return m.attempt-m.unreachable < m.Rules.MaxStarts && (m.Budget == nil || m.Budget.Allow())
}

// abandonOpen returns cause and marks the request as possibly run if an attempt is open, else CauseNone.
func (m *Machine) abandonOpen(cause Cause) Cause {
	if !m.isOpen() {
		return CauseNone
	}
	m.mayHaveRun = true
	return cause
}

// exhausted ends a request whose last attempt failed before the first token.
func (m *Machine) exhausted(cause Cause) Action {
	a := m.fail(cause, "no engine finished the request")
	if a.Refusal.Run == refuse.NotRun {
		a.Refusal.Code = refuse.CodeNoBackend
		a.Refusal.Message = "no engine took the request"
		a.Refusal.RetryAfter = refusedRetryAfter
	}
	return a
}

func (m *Machine) fail(cause Cause, message string) Action {
	m.phase = phaseEnded
	e := &refuse.Error{Code: refuse.CodeInterrupted, Message: message, Run: refuse.NotRun}
	switch {
	case m.delivered > 0:
		e.Run = refuse.Partial
		e.TokensDelivered = m.delivered
	case m.mayHaveRun:
		e.Run = refuse.MayHaveRun
	}
	return Action{Kind: ActionFail, Abandon: cause, Refusal: e}
}
