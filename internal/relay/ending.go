package relay

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// giveUp ends a stream whose generation is lost, or lets another generation go on where that is allowed.
func (m *Machine) giveUp(message string) Action {
	if !m.Continue {
		return m.fail(m.open(CauseLost), message)
	}
	if m.delivered == m.Limit {
		m.phase = phaseEnded
		return Action{Kind: ActionFinish, Abandon: CauseLost, Finish: finishLength}
	}
	m.base = m.delivered
	return m.restart(CauseLost)
}

// restart gives the attempt up and asks for another backend server while the rules and the budget allow it.
func (m *Machine) restart(why Cause) Action {
	if why == CauseLost || why == CauseUnresponsive {
		m.ran = true
	}
	if !m.isAllowed(why) {
		return m.exhausted(why)
	}
	m.phase = phasePlacing
	m.wake = time.Time{}
	m.lost = time.Time{}
	return Action{Kind: ActionPlace, Abandon: why}
}

// isAllowed draws on the rules and the budget for a retry. After a connection that could not be made only the number
// of attempts counts, because nothing was sent.
func (m *Machine) isAllowed(why Cause) bool {
	if why == CauseUnreachable {
		m.unsent++
		return m.unsent < maxUnsent
	}
	return m.attempt-m.unsent < m.Rules.MaxStarts && (m.Budget == nil || m.Budget.Allow())
}

// open returns why if an attempt is open, and notes that it may have run.
func (m *Machine) open(why Cause) Cause {
	if m.phase == phasePlacing {
		return CauseNone
	}
	m.ran = true
	return why
}

// exhausted ends a request whose last attempt failed before the first token.
func (m *Machine) exhausted(why Cause) Action {
	a := m.fail(why, "no engine finished the request")
	if a.Refusal.Run == refuse.NotRun {
		a.Refusal.Code = refuse.CodeNoBackend
		a.Refusal.Message = "no engine took the request"
		a.Refusal.RetryAfter = refusedRetry
	}
	return a
}

func (m *Machine) fail(why Cause, message string) Action {
	m.phase = phaseEnded
	e := &refuse.Error{Code: refuse.CodeInterrupted, Message: message, Run: refuse.NotRun}
	switch {
	case m.delivered > 0:
		e.Run = refuse.Partial
		e.TokensDelivered = m.delivered
	case m.ran:
		e.Run = refuse.MayHaveRun
	}
	return Action{Kind: ActionFail, Abandon: why, Refusal: e}
}
