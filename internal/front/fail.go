package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// Errors of a request in progress.
var (
	// errCallerGone says that nobody waits for the answer any more.
	errCallerGone = errors.New("caller is gone")
	// errCut says that a stream ended in the middle and that its caller has received a part.
	errCut = errors.New("stream was cut")
	// errNotRun marks failures after which no backend server has run the request.
	errNotRun = errors.New("request did not run")
)

// retryable is a refusal of a request that did not run and may be sent again soon.
func retryable(code refuse.Code, message string) *refuse.Error {
	e := refuse.New(code, message)
	e.RetryAfter = soon
	return e
}

// explain turns what ended a request into what its caller is told.
func (q *request) explain(caller context.Context, err error) error {
	var refused *refuse.Error
	switch {
	case caller.Err() != nil:
		return errors.Mark(err, errCallerGone)
	case errors.Is(err, errCut) || errors.As(err, &refused):
		return err
	case q.runs.Load() == 0:
		return errors.WithSecondaryError(retryable(refuse.CodeNoBackend, "no backend server could take the request"), err)
	case !time.Now().Before(q.limit):
		return errors.WithSecondaryError(&refuse.Error{Code: refuse.CodeTimeout, Message: "no answer within the time limit", Run: refuse.MayHaveRun}, err)
	default:
		return errors.WithSecondaryError(&refuse.Error{Code: refuse.CodeInterrupted, Message: "the backend server's answer was lost", Run: refuse.MayHaveRun}, err)
	}
}

// fail ends a request without its answer.
func (q *request) fail(err error) {
	var refused *refuse.Error
	isRefusal := errors.As(err, &refused)
	outcome := "refused"
	status := 0
	switch {
	case errors.Is(err, errCallerGone):
		outcome = "caller gone"
	case errors.Is(err, errCut):
		outcome = "cut"
		// Events that arrived whole are the caller's, also where the stream goes no further.
		_ = http.NewResponseController(q.w).Flush()
	case isRefusal:
		status = refused.Code.Status()
		if refused.Run != refuse.NotRun {
			outcome = "failed"
		}
	}
	q.end(outcome, status, "error", err)
	if status == 0 {
		// The connection is closed without a final chunk, so that what was sent can't look complete.
		panic(http.ErrAbortHandler)
	}
	refused.RequestID = q.ID
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if refused.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 2, 64))
	}
	q.w.WriteHeader(status)
	// A caller that is gone needs no refusal.
	_, _ = q.w.Write(refused.JSON())
}

// end writes the one line of a request's outcome.
func (q *request) end(outcome string, status int, more ...any) {
	route, kind, service := "", "", ""
	if q.route != nil {
		route, kind = q.route.Name, q.route.Kind.String()
	}
	if q.service != nil {
		service = q.service.Name
	}
	took := time.Since(q.arrived)
	q.Meter.Ended(kind, outcome, status, took)
	attributes := []any{
		"outcome", outcome, "status", status, "route", route, "service", service,
		"runs", q.runs.Load(), "sends", q.sends.Load(), "took", took, "table", q.table, "table_age", q.tableAge,
	}
	q.log.Info("request ended", append(attributes, more...)...)
}

// fingerprint identifies requests that are the same work for the same workspace.
func (q *request) fingerprint() uint64 {
	d := xxhash.New()
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	// Writing to a digest never fails.
	_, _ = fmt.Fprintf(d, "%s\n%s\n%s\n%s\n", q.method, q.host, q.target, workspace)
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// Meter counts requests.
type Meter interface {
	// Ended counts a request with its kind, outcome, status and time.
	Ended(kind, outcome string, status int, took time.Duration)
	// FirstEvent takes the time from a stream's arrival to its first event.
	FirstEvent(took time.Duration)
	// Resumed counts a stream that went on at another backend server, or failed to.
	Resumed(outcome string)
}
