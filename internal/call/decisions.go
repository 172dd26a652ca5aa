package call

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// Steps of a call in its recorded decisions.
const (
	stepRecalled = "recalled"
	stepStarted  = "started"
	stepRetried  = "retried"
	stepRefused  = "refused"
	stepFinished = "finished"
)

// record adds one step to the decisions of a request.
func (r *Runner) record(c Call, step, backend, reason string) {
	if r.Decisions == nil {
		return
	}
	r.Decisions.Add(board.Decision{Request: c.Place.ID, At: r.Clock.Now(), Step: step, Backend: backend, Reason: reason})
}

// recordEnd records the last step of a call.
func (r *Runner) recordEnd(c Call, err error) {
	if err == nil {
		r.record(c, stepFinished, "", "")
		return
	}
	refused := refuse.From(err)
	r.record(c, stepRefused, "", string(refused.Code)+", "+string(refused.Run)+": "+refused.Message)
}

// countSend counts one send to a backend server.
func (r *Runner) countSend(ctx context.Context, c Call) {
	if r.Attempts != nil {
		r.Attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("service", c.Place.Service)))
	}
}

// String returns the event as recorded in the decisions of a request.
func (e Event) String() string {
	switch e {
	case EventUnreachable:
		return "no connection"
	case EventRefused:
		return "refused"
	case EventLost:
		return "answer lost"
	default:
		return "answered"
	}
}
