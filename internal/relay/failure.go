package relay

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// failOrContinue ends a stream whose generation is lost, or continues it with another generation if Continue is set.
func (m *Machine) failOrContinue(message string) Action {
	if !m.Continue {
		return m.fail(m.abandonOpen(CauseLost), message)
	}
	if m.delivered == m.Limit {
		m.phase = phaseEnded
		return Action{Kind: ActionFinish, Abandon: CauseLost, Finish: finishLength}
	}
	m.base = m.delivered
	return m.restart(CauseLost)
}

// restart abandons the attempt and asks for another backend server while the rules and the budget allow it.
func (m *Machine) restart(cause Cause) Action {
	if cause == CauseLost || cause == CauseUnresponsive {
		m.mayHaveRun = true
	}
	if !m.retryAllowed(cause) {
		return m.exhausted(cause)
	}
	m.phase = phasePlacing
	m.wake = time.Time{}
	m.lostAt = time.Time{}
	return Action{Kind: ActionPlace, Abandon: cause}
}

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
	if m.phase == phasePlacing {
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
