package call

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// State says how far a call has come.
type State int

// The states of a call.
const (
	// NotSent says that no backend server was given any part of the call, or refused it before it ran.
	NotSent State = iota
	// MaybeSent says that a backend server may have run the call.
	MaybeSent
	// Answered says that a backend server's whole answer has arrived.
	Answered
)

// Event is what one send showed.
type Event int

// The events that end a send.
const (
	// EventUnreachable says that no connection was made, so that nothing was sent.
	EventUnreachable Event = iota
	// EventRefused says that the backend server refused the call before any part of it ran.
	EventRefused
	// EventLost says that the connection broke or the time ran out after the send began.
	EventLost
	// EventAnswered says that the whole answer arrived.
	EventAnswered
)

// Machine decides whether a call may be sent and what may be said about its run.
// It does no I/O; its zero value is a call that may not be sent.
type Machine struct {
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// MaxSends bounds the sends, those that reached no backend server included.
	MaxSends int
	// Deadline is the time from which nothing is sent any more.
	Deadline time.Time

	state State
	open  bool
	sends int
}

// State returns how far the call has come; a send in progress counts as MaybeSent.
func (m *Machine) State() State {
	if m.open {
		return MaybeSent
	}
	return m.state
}

// MaySend reports whether the call may be sent now.
func (m *Machine) MaySend(now time.Time) bool {
	if m.open || m.sends >= m.MaxSends || !now.Before(m.Deadline) {
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

// Begin notes that a send begins and reports whether it may.
func (m *Machine) Begin(now time.Time) bool {
	if !m.MaySend(now) {
		return false
	}
	m.open = true
	m.sends++
	return true
}

// End notes how the send in progress ended; without a send in progress it changes nothing.
func (m *Machine) End(e Event) {
	if !m.open {
		return
	}
	m.open = false
	switch e {
	case EventAnswered:
		m.state = Answered
	case EventLost:
		m.state = MaybeSent
	case EventUnreachable, EventRefused:
	}
}

// Run says what a caller may be told about the run of a call that failed.
func (m *Machine) Run() refuse.Run {
	if m.State() == NotSent {
		return refuse.NotRun
	}
	return refuse.MayHaveRun
}
