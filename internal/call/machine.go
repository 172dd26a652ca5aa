package call

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// State says whether a call may have run.
type State int

// The states of a call.
const (
	// NotSent says that no backend server received any part of the call, or that all refused it before it ran.
	NotSent State = iota
	// MaybeSent says that a backend server may have run the call.
	MaybeSent
	// Answered says that a backend server's complete answer has arrived.
	Answered
)

// Event is the result of one send.
type Event int

// The events that end a send.
const (
	// EventUnreachable says that no connection was made, so that nothing was sent.
	EventUnreachable Event = iota
	// EventRefused says that the backend server refused the call before any part of it ran.
	EventRefused
	// EventLost says that the send failed or timed out after it began, so that the call may have run.
	EventLost
	// EventAnswered says that the complete answer arrived.
	EventAnswered
)

// Machine is the state machine of one call: it decides whether the call may be sent and whether it may have run.
// It does no I/O; the zero value allows no send.
type Machine struct {
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// MaxSends bounds the sends, including those that reached no backend server.
	MaxSends int
	// Deadline is the time after which the call is not sent again.
	Deadline time.Time

	state    State
	inFlight bool
	sends    int
}

// State returns the state of the call; a send in progress counts as MaybeSent.
func (m *Machine) State() State {
	if m.inFlight {
		return MaybeSent
	}
	return m.state
}

// MaySend reports whether the call may be sent now.
func (m *Machine) MaySend(now time.Time) bool {
	if m.inFlight || m.sends >= m.MaxSends || !now.Before(m.Deadline) {
		return false
	}
	switch m.state {
	case NotSent:
		return true
	case MaybeSent:
		return m.Repeatable
	default:
		return false
	}
}

// Begin starts a send and reports whether it is allowed.
func (m *Machine) Begin(now time.Time) bool {
	if !m.MaySend(now) {
		return false
	}
	m.inFlight = true
	m.sends++
	return true
}

// End records the result of the send in progress; without one it does nothing.
func (m *Machine) End(e Event) {
	if !m.inFlight {
		return
	}
	m.inFlight = false
	switch e {
	case EventAnswered:
		m.state = Answered
	case EventLost:
		m.state = MaybeSent
	case EventUnreachable, EventRefused:
	}
}

// Run returns whether a failed call may have run.
func (m *Machine) Run() refuse.Run {
	if m.State() == NotSent {
		return refuse.NotRun
	}
	return refuse.MayHaveRun
}
