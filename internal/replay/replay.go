// Package replay feeds recorded events to the stream state machine and compares the outcome with the recorded one.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

// Sentinel errors of a replay.
var (
	// ErrTrace says that the input is not a trace in the format of this package.
	ErrTrace = errors.New("invalid trace")
	// ErrOutcome says that the replay ended with another outcome than the recorded one.
	ErrOutcome = errors.New("outcome differs from the recorded one")
)

// Line is one line of a trace: the header with Request, an event, or the outcome at the end.
// Only ticks that had an effect are recorded.
type Line struct {
	// Request is the request's ID, in the first line only.
	Request string `json:"request,omitempty"`
	// AtUS is the event's time in microseconds after the request's arrival.
	AtUS     int64            `json:"at_us,omitempty"`
	Event    relay.EventKind  `json:"event,omitempty"`
	Conn     int              `json:"conn,omitempty"`
	Frame    *engine.Frame    `json:"frame,omitempty"`
	Progress *engine.Progress `json:"progress,omitempty"`
	// Refusal and Run belong to the event "unplaced".
	Refusal refuse.Code `json:"refusal,omitempty"`
	Run     refuse.Run  `json:"run,omitempty"`
	// Outcome is in the last line only.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the outcome of a request for its caller.
type Outcome struct {
	// Finish is set for a complete answer, Code and Run for a refusal.
	Finish string      `json:"finish,omitempty"`
	Code   refuse.Code `json:"code,omitempty"`
	Run    refuse.Run  `json:"run,omitempty"`
	// Tokens counts the tokens that reached the caller, all of one generation.
	Tokens     int    `json:"tokens"`
	Generation string `json:"generation,omitempty"`
}

// Trace is the record of one request.
type Trace struct {
	Request string
	Events  []relay.Event
	Outcome Outcome
}

// Read reads a trace with one JSON object per line; the error is ErrTrace if the format is wrong.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(r)
	ended := false
	for n := 1; lines.Scan(); n++ {
		var line Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return t, errors.Wrapf(ErrTrace, "line %d: %s", n, err)
		}
		switch {
		case n == 1:
			t.Request = line.Request
		case line.Outcome != nil:
			t.Outcome = *line.Outcome
			ended = true
		default:
			t.Events = append(t.Events, line.event())
		}
	}
	if t.Request == "" || !ended {
		return t, errors.Wrap(ErrTrace, "the first line must name the request and the last line the outcome")
	}
	return t, errors.Wrap(lines.Err(), "read trace")
}

// event returns the event of a trace line.
func (l *Line) event() relay.Event {
	e := relay.Event{Kind: l.Event, Conn: l.Conn, At: arrivalTime().Add(time.Duration(l.AtUS) * time.Microsecond)}
	if l.Frame != nil {
		e.Frame = *l.Frame
	}
	if l.Progress != nil {
		e.Progress = *l.Progress
	}
	if l.Event == relay.EventUnplaced {
		e.Refusal = &refuse.Error{Code: l.Refusal, Run: l.Run}
	}
	return e
}

// arrivalTime returns the arrival time that a replay gives to every request.
func arrivalTime() time.Time { return time.Unix(0, 0).UTC() }

// Write writes a trace; the times of its events are relative to arrival.
func Write(w io.Writer, t Trace, arrival time.Time) error {
	enc := json.NewEncoder(w)
	lines := []Line{{Request: t.Request}}
	for i := range t.Events {
		lines = append(lines, lineOf(&t.Events[i], arrival))
	}
	lines = append(lines, Line{Outcome: &t.Outcome})
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// lineOf returns the trace line of an event.
func lineOf(e *relay.Event, arrival time.Time) Line {
	l := Line{AtUS: e.At.Sub(arrival).Microseconds(), Event: e.Kind, Conn: e.Conn}
	switch e.Kind {
	case relay.EventFrame:
		l.Frame = &e.Frame
	case relay.EventProgress:
		l.Progress = &e.Progress
	case relay.EventUnplaced:
		l.Refusal, l.Run = e.Refusal.Code, e.Refusal.Run
	}
	return l
}

// Run replays a trace, writes each event and the resulting action to log, and returns the outcome.
// The error is ErrOutcome if the outcome differs from the recorded one.
func Run(t Trace, log io.Writer) (Outcome, error) {
	p := &replayer{trace: t, log: log}
	p.machine = relay.Machine{ID: t.Request, Budget: p}
	p.apply(nil, p.machine.Begin())
	for i := range t.Events {
		p.nextIndex = i + 1
		p.apply(&t.Events[i], p.machine.Step(&t.Events[i]))
	}
	if p.outcome != t.Outcome {
		return p.outcome, errors.Wrapf(ErrOutcome, "replayed %+v, recorded %+v", p.outcome, t.Outcome)
	}
	return p.outcome, nil
}

// replayer runs one replay and is the machine's retry budget.
type replayer struct {
	trace   Trace
	log     io.Writer
	machine relay.Machine
	// nextIndex is the index of the first event that has not been fed to the machine.
	nextIndex int
	outcome   Outcome
}

// Allow allows a retry if the remaining events contain one.
func (p *replayer) Allow() bool {
	for _, e := range p.trace.Events[min(p.nextIndex, len(p.trace.Events)):] {
		if e.Kind == relay.EventPlaced || e.Kind == relay.EventUnplaced || e.Kind == relay.EventEnded {
			return true
		}
	}
	return false
}

// apply logs an action and records its effect on the outcome.
func (p *replayer) apply(e *relay.Event, a relay.Action) {
	fmt.Fprintln(p.log, format(e, a))
	switch a.Kind {
	case relay.ActionDeliver:
		p.outcome.Tokens++
		p.outcome.Generation = e.Frame.Generation
	case relay.ActionFinish:
		p.outcome.Finish = a.Finish
	case relay.ActionFail:
		p.outcome.Code, p.outcome.Run = a.Refusal.Code, a.Refusal.Run
	}
}

// format returns the log line of an event and the resulting action; a nil event stands for the request's arrival.
func format(e *relay.Event, a relay.Action) string {
	text := fmt.Sprintf("%12s  arrival", "0s")
	if e != nil {
		text = fmt.Sprintf("%12s  %s", e.At.Sub(arrivalTime()), e.Kind)
		if e.Conn > 0 {
			text += fmt.Sprintf(" conn=%d", e.Conn)
		}
		switch e.Kind {
		case relay.EventFrame:
			text += fmt.Sprintf(" %s %s/%d%s", e.Frame.Request, e.Frame.Generation, e.Frame.Offset, e.Frame.Finish)
		case relay.EventProgress:
			text += fmt.Sprintf(" %s/%d", e.Progress.Generation, e.Progress.Tokens)
		}
	}
	text += " -> " + string(a.Kind)
	if a.Abandon != relay.CauseNone {
		text += " abandon=" + a.Abandon.String()
	}
	if a.Kind == relay.ActionResume {
		text += fmt.Sprintf(" conn=%d from=%s/%d", a.Conn, a.Generation, a.Offset)
	}
	if a.Refusal != nil {
		text += fmt.Sprintf(" %s run=%s", a.Refusal.Code, a.Refusal.Run)
	}
	return text
}
