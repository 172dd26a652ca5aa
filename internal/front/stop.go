package front

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	// minStopTime is the time that must be left on a stopping host to accept any request.
	minStopTime = 1500 * time.Millisecond
	// abortWriteTime is how long an aborted request may write to a caller that does not read.
	abortWriteTime = 50 * time.Millisecond
)

// errHostStopped says that the host stopped before the answer was complete.
var errHostStopped = errors.New("the host stopped before the answer was complete")

// stop is the schedule of a stopping host.
type stop struct {
	// rerouted is when the load balancer has stopped selecting the host, as long as enough other hosts are ready.
	rerouted time.Time
	// end is when the host aborts the requests still in progress.
	end time.Time
}

// StopAt makes the host refuse new requests that may not be answered before end. Until rerouted, plain requests are taken
// however long their time limit is: they usually take milliseconds, and their callers could not avoid the host.
func (f *Front) StopAt(rerouted, end time.Time) { f.stop.Store(&stop{rerouted: rerouted, end: end}) }

// checkStop refuses the request if the host may stop before its answer is complete.
func (q *request) checkStop(now time.Time) error {
	s := q.stop.Load()
	if s == nil {
		return nil
	}
	needed := q.longestAnswer()
	if q.route.Kind != policy.Streaming && now.Before(s.rerouted) {
		needed = 0
	}
	left := s.end.Sub(now)
	if left >= max(needed, minStopTime) {
		return nil
	}
	return retryable(refuse.CodeDraining, fmt.Sprintf("the host stops in %.1f s, the answer may take %.1f s", left.Seconds(), needed.Seconds()))
}

// longestAnswer returns the time within which the answer is complete: the request's time limit, or, for a stream that keeps
// its route's latency targets, that of its maximum output. The caller's estimate of the output bounds nothing.
func (q *request) longestAnswer() time.Duration {
	limit := q.effectiveTimeout()
	engine := q.service.Engine
	if q.route.Kind != policy.Streaming || engine == nil || engine.EventTokens <= 0 || q.MaxOutput <= 0 ||
		q.route.LatencyTarget <= 0 || q.route.EventGapTarget <= 0 {
		return limit
	}
	events := math.Ceil(float64(q.MaxOutput) / float64(engine.EventTokens))
	onTime := q.route.LatencyTarget.Seconds() + events*q.route.EventGapTarget.Seconds()
	return time.Duration(min(onTime, limit.Seconds()) * float64(time.Second))
}

// aborts holds the functions that abort the requests in progress.
type aborts struct {
	mu        sync.Mutex
	all       map[*request]func(cause error)
	isAborted bool
}

// add registers a request until remove is called; abort is called at once if all requests have been aborted.
func (a *aborts) add(q *request, abort func(cause error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isAborted {
		abort(errHostStopped)
		return
	}
	if a.all == nil {
		a.all = make(map[*request]func(error))
	}
	a.all[q] = abort
}

func (a *aborts) remove(q *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, q)
}

// Abort ends all requests, also later ones: with an error response, or by closing the connection if the caller has received
// a part of the answer.
func (f *Front) Abort() {
	f.aborts.mu.Lock()
	defer f.aborts.mu.Unlock()
	f.aborts.isAborted = true
	for _, abort := range f.aborts.all {
		abort(errHostStopped)
	}
}

// abortable returns a context that ends when the host aborts the request, with its cause, and the function that ends it otherwise.
func (q *request) abortable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	q.aborts.add(q, func(cause error) {
		cancel(cause)
		_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(abortWriteTime))
	})
	return ctx, func() {
		q.aborts.remove(q)
		cancel(nil)
	}
}
