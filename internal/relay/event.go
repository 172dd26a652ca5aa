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
	// EventPlaced says that the scheduler assigned a backend server.
	EventPlaced EventKind = "placed"
	// EventUnplaced says that the scheduler refused the request.
	EventUnplaced EventKind = "unplaced"
	// EventOpened says that the engine has accepted the connection's request.
	EventOpened EventKind = "opened"
	// EventFrame carries a frame that arrived on a connection.
	EventFrame EventKind = "frame"
	// EventRefused says that the engine refused the connection's request.
	EventRefused EventKind = "refused"
	// EventUnreachable says that no connection to the engine could be made.
	EventUnreachable EventKind = "unreachable"
	// EventGone says that the engine does not have the request's generation.
	EventGone EventKind = "gone"
	// EventBroken says that a connection ended early.
	EventBroken EventKind = "broke"
	// EventProgress carries the engine's answer to a progress probe.
	EventProgress EventKind = "progress"
	// EventBusy says that the engine refused a progress probe, so that it is alive.
	EventBusy EventKind = "busy"
	// EventProbeFailed says that the engine did not answer a progress probe.
	EventProbeFailed EventKind = "mute"
	// EventEnded says that the attempt that ActionStop abandoned has ended, or never ran and never will.
	EventEnded EventKind = "ended"
	// EventTick says that time has passed.
	EventTick EventKind = "tick"
	// EventCallerLeft says that the caller has left: its context has ended.
	EventCallerLeft EventKind = "left"
	// EventUndelivered says that the last ActionDeliver failed and that the caller can't be reached any more.
	EventUndelivered EventKind = "unpassed"
)

// Event is one input of a Machine.
type Event struct {
	Kind EventKind
	At   time.Time
	// Conn is the number of the connection that the event belongs to; zero for none.
	Conn int
	// Frame is set in EventFrame.
	Frame engine.Frame
	// Progress is set in EventProgress.
	Progress engine.Progress
	// Refusal is set in EventUnplaced.
	Refusal *refuse.Error
}

// ActionKind names what the session has to do next for a stream.
type ActionKind string

// The outputs of a Machine.
const (
	// ActionNone means that there is nothing to do.
	ActionNone ActionKind = "none"
	// ActionPlace asks the scheduler for a backend server.
	ActionPlace ActionKind = "place"
	// ActionStart opens a connection that starts a generation on the assigned backend server.
	ActionStart ActionKind = "start"
	// ActionStop ends the abandoned attempt on its engine; EventEnded reports that this is done.
	ActionStop ActionKind = "stop"
	// ActionResume replaces the connection by one that resumes the generation on the same engine.
	ActionResume ActionKind = "resume"
	// ActionProbe reads the engine's progress over another connection.
	ActionProbe ActionKind = "ask"
	// ActionDeliver sends the frame's token to the caller.
	ActionDeliver ActionKind = "pass"
	// ActionDrop discards the frame.
	ActionDrop ActionKind = "drop"
	// ActionFinish ends a complete answer.
	ActionFinish ActionKind = "finish"
	// ActionFail ends the answer with a refusal.
	ActionFail ActionKind = "fail"
)

// Cause says why an attempt on a backend server was abandoned.
type Cause int

// Causes of an abandoned attempt.
const (
	// CauseNone says that the attempt was not abandoned.
	CauseNone Cause = iota
	// CauseRefused says that the engine did not run the request.
	CauseRefused
	// CauseUnreachable says that no connection to the engine could be made, so that it did not run the request.
	CauseUnreachable
	// CauseLost says that the generation may have run and was lost: the connection failed, the engine crashed or the engine
	// does not have the generation any more.
	CauseLost
	// CauseUnresponsive says that the engine never answered the request that starts the generation, nor did a probe find
	// the generation.
	CauseUnresponsive
	// CauseCallerLeft says that the caller left.
	CauseCallerLeft
)

// Action is one output of a Machine.
type Action struct {
	Kind ActionKind
	// Abandon says why the current attempt is abandoned. The session cancels its generation on the engine if it may have
	// been started.
	Abandon Cause
	// Conn is the number of the connection to open, of the one that is probed, or of the abandoned attempt's last one.
	Conn int
	// Attempt is the number of the attempt, from 1; each ActionStart begins a new one.
	Attempt int
	// Generation is set in ActionResume.
	Generation string
	// Offset is, in ActionResume, the index of the generation's next token to send. In ActionStart it is the number of
	// tokens that earlier generations have already delivered to the caller.
	Offset int
	// Finish is set in ActionFinish.
	Finish string
	// Refusal is set in ActionFail.
	Refusal *refuse.Error
}
