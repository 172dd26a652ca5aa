package front

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// Errors of a request in progress.
var (
	// errCallerGone marks requests whose caller has disconnected.
	errCallerGone = errors.New("caller disconnected")
	// errCut marks streams that ended incomplete after the caller had received a part.
	errCut = errors.New("stream was cut")
	// errNotRun marks failed sends of which it is certain that the backend server did not run the request.
	errNotRun = errors.New("request did not run")
	// errNotSentAgain marks requests that may have run and that the table no longer allows to send to another backend server.
	errNotSentAgain = errors.New("request is not sent again")
)

// retryable returns a refusal of a request that did not run, with a short Retry-After.
func retryable(code refuse.Code, message string) *refuse.Error {
	e := refuse.New(code, message)
	e.RetryAfter = transientRetryAfter
	return e
}

// quarantined returns the refusal of a request that did not run, because backend servers have crashed under its like.
func (q *request) quarantined(wait time.Duration, key uint64) *refuse.Error {
	q.log.Info("request quarantined", "key", key, "parts", len(q.keys.Parts), "retry_after", wait)
	e := retryable(refuse.CodeNoBackend, crash.ErrQuarantined.Error())
	// The quarantine may have ended meanwhile.
	if wait > 0 {
		e.RetryAfter = wait
	}
	return e
}

// beyondLimits returns the refusal of a request that did not run, because all backend servers that could take it have stated
// limits that are used up for a time.
func beyondLimits(wait time.Duration) *refuse.Error {
	e := refuse.New(refuse.CodeOverloaded, pool.ErrLimited.Error())
	e.RetryAfter = max(transientRetryAfter, wait)
	return e
}

// callerError converts the error that ended a request into the one that its caller receives.
func (q *request) callerError(caller context.Context, err error) error {
	var refused *refuse.Error
	var limited *pool.LimitedError
	switch {
	case caller.Err() != nil:
		return errors.Mark(err, errCallerGone)
	case errors.Is(err, errCut) || errors.As(err, &refused):
		return err
	case q.runs.Load() == 0 && errors.Is(err, crash.ErrQuarantined):
		return errors.WithSecondaryError(q.quarantined(q.Guard.Check(q.keys)), err)
	case q.runs.Load() == 0 && errors.As(err, &limited):
		q.log.Info("request beyond the servers' limits", "service", q.service.Name, "wait", limited.Wait)
		return errors.WithSecondaryError(beyondLimits(limited.Wait), err)
	case q.runs.Load() == 0 && errors.Is(err, errHostStopped):
		return errors.WithSecondaryError(retryable(refuse.CodeDraining, errHostStopped.Error()), err)
	case q.runs.Load() == 0:
		return errors.WithSecondaryError(retryable(refuse.CodeNoBackend, "no backend server could take the request"), err)
	case !time.Now().Before(q.deadline):
		return errors.WithSecondaryError(&refuse.Error{Code: refuse.CodeTimeout, Message: "no answer within the time limit", Run: refuse.MayHaveRun}, err)
	case errors.Is(err, errHostStopped):
		return errors.WithSecondaryError(&refuse.Error{Code: refuse.CodeInterrupted, Message: errHostStopped.Error(), Run: refuse.MayHaveRun}, err)
	default:
		return errors.WithSecondaryError(&refuse.Error{Code: refuse.CodeInterrupted, Message: "the backend server's answer was lost", Run: refuse.MayHaveRun}, err)
	}
}

// fail ends a request that has no complete answer: with an error response, or by closing the connection.
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
		// Deliver the complete events that are still buffered.
		_ = http.NewResponseController(q.w).Flush()
	case isRefusal:
		status = refused.Code.Status()
		if refused.Run != refuse.NotRun {
			outcome = "failed"
		}
	}
	q.recordOutcome(outcome, status, "error", err)
	if status == 0 {
		// Close the connection without a final chunk, so that the caller can't take a partial answer for a complete one.
		panic(http.ErrAbortHandler)
	}
	refused.RequestID = q.ID
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if refused.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 2, 64))
	}
	q.hasHead = true
	q.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = q.w.Write(refused.JSON())
}

// handlePanic answers a request whose handling has panicked, unless a part of an answer has been written, and logs the stack: net/http
// would close the connection and log nothing at the usual level.
func (q *request) handlePanic() {
	cause := recover()
	if cause == nil {
		return
	}
	// The value is net/http's own and not wrapped.
	if cause == http.ErrAbortHandler { //nolint:errorlint // a panic's value, not an error that was returned
		panic(cause)
	}
	q.log.Error("request handling panicked", "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	if q.hasHead {
		q.fail(errors.Mark(errors.New("panic within an answer"), errCut))
	}
	q.fail(&refuse.Error{Code: refuse.CodeInternal, Message: "internal error", Run: refuse.MayHaveRun})
}

// recordOutcome counts a request and logs its outcome, once for each request.
func (q *request) recordOutcome(outcome string, status int, extra ...any) {
	route, kind, service := "", "", ""
	if q.route != nil {
		route, kind = q.route.Name, q.route.Kind.String()
	}
	if q.service != nil {
		service = q.service.Name
	}
	took := time.Since(q.arrived)
	q.Meter.RequestEnded(kind, outcome, status, took)
	attributes := []any{
		"outcome", outcome, "status", status, "route", route, "service", service,
		"runs", q.runs.Load(), "sends", q.sends.Load(), "took", took, "table", q.table, "table_age", q.tableAge,
	}
	q.log.Info("request ended", append(attributes, extra...)...)
}

// fingerprint hashes method, host, target, workspace and body.
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

// Meter records the metrics of requests.
type Meter interface {
	// RequestEnded counts a request and records its duration.
	RequestEnded(kind, outcome string, status int, took time.Duration)
	// FirstEvent records the time from a stream's arrival to its first event.
	FirstEvent(took time.Duration)
	// Resumed counts an attempt to resume a stream on another backend server, by outcome.
	Resumed(outcome string)
}
