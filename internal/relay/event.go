package relay

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// EventKind names what happened to a stream.
type EventKind string

// The inputs of a Machine.
const (
	// EventPlaced says that a start was granted on a backend server.
	EventPlaced EventKind = "placed"
	// EventUnplaced says that no start was granted.
	EventUnplaced EventKind = "unplaced"
	// EventOpened says that the engine has taken the connection's request.
	EventOpened EventKind = "opened"
	// EventFrame carries a frame that arrived on a connection.
	EventFrame EventKind = "frame"
	// EventRefused says that the engine did not take the connection's request.
	EventRefused EventKind = "refused"
	// EventUnreachable says that no connection to the engine could be made.
	EventUnreachable EventKind = "unreachable"
	// EventGone says that the engine does not know the request's generation.
	EventGone EventKind = "gone"
	// EventBroken says that a connection ended early.
	EventBroken EventKind = "broke"
	// EventProgress carries the engine's answer on its progress.
	EventProgress EventKind = "progress"
	// EventBusy says that the engine answers but does not tell its progress.
	EventBusy EventKind = "busy"
	// EventProbeFailed says that the engine did not answer a question on its progress.
	EventProbeFailed EventKind = "mute"
	// EventTick says that time has passed.
	EventTick EventKind = "tick"
	// EventCallerLeft says that the caller has left.
	EventCallerLeft EventKind = "left"
	// EventUndelivered says that the token just to be passed on did not reach the caller, and nothing will.
	EventUndelivered EventKind = "unpassed"
)

// Event is one input of a Machine.
type Event struct {
	Kind EventKind
	At   time.Time
	// Conn is the number of the connection that the event belongs to; zero for none.
	Conn int
	// Frame belongs to EventFrame.
	Frame engine.Frame
	// Progress belongs to EventProgress.
	Progress engine.Progress
	// Refusal belongs to EventUnplaced.
	Refusal *refuse.Error
}

// ActionKind names what is to be done for a stream.
type ActionKind string

// The outputs of a Machine.
const (
	// ActionNone asks for nothing.
	ActionNone ActionKind = "none"
	// ActionPlace asks for a start on a backend server.
	ActionPlace ActionKind = "place"
	// ActionStart opens a connection that starts a generation on the placed backend server.
	ActionStart ActionKind = "start"
	// ActionResume replaces the connection by one that resumes the generation on the same engine.
	ActionResume ActionKind = "resume"
	// ActionProbe asks for the engine's progress on another connection.
	ActionProbe ActionKind = "ask"
	// ActionDeliver passes the frame's token on to the caller.
	ActionDeliver ActionKind = "pass"
	// ActionDrop discards the frame.
	ActionDrop ActionKind = "drop"
	// ActionFinish ends the answer as whole.
	ActionFinish ActionKind = "finish"
	// ActionFail ends the answer with a refusal.
	ActionFail ActionKind = "fail"
)

// Cause says why an attempt on a backend server was given up.
type Cause int

// The causes.
const (
	// CauseNone says that the attempt goes on.
	CauseNone Cause = iota
	// CauseRefused says that the engine did not run the request.
	CauseRefused
	// CauseUnreachable says that no connection to the engine could be made, so that it did not run the request.
	CauseUnreachable
	// CauseLost says that the engine or the connection to it failed.
	CauseLost
	// CauseUnresponsive says that nothing at all came on the connection that was to start the generation.
	CauseUnresponsive
	// CauseCallerLeft says that the caller left.
	CauseCallerLeft
)

// Action is one output of a Machine.
type Action struct {
	Kind ActionKind
	// Abandon says why the attempt that the event belonged to is given up; its work is to be cancelled.
	Abandon Cause
	// Conn is the number of the connection to open, or the one that a question on progress is about.
	Conn int
	// Attempt is the number of the generation to start, from 1.
	Attempt int
	// Generation belongs to ActionResume. Offset is the generation's next token there, and the number of tokens
	// that the caller has of earlier generations in ActionStart.
	Generation string
	Offset     int
	// Finish belongs to ActionFinish.
	Finish string
	// Refusal belongs to ActionFail.
	Refusal *refuse.Error
}
