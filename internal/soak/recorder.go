package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// settlingTime is how long hosts may take to detect that all faults are undone.
const settlingTime = 2 * time.Second

// outcome is the result of one request as seen by its caller.
type outcome struct {
	path, id string
	host     int
	// isDeadly reports whether the prompt holds a part that crashes engines; hosts may refuse such requests.
	isDeadly bool
	// isWithdrawn says that the request has a key that was withdrawn.
	isWithdrawn bool
	sentAt      time.Time
	status      int
	body        string
	signed      bool
	// retryAfter is the header of that name, took the time until the response's end.
	retryAfter string
	took       time.Duration
	err        error
}

func (o outcome) isServed() bool { return o.err == nil && o.status == http.StatusOK }

// recorder collects the outcomes of all requests.
type recorder struct {
	mu            sync.Mutex
	outcomes      []outcome
	recoveryStart time.Time
}

func (rec *recorder) record(o outcome) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outcomes = append(rec.outcomes, o)
}

// startRecovery records that all faults are undone from now on.
func (rec *recorder) startRecovery() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.recoveryStart = time.Now()
}

func (rec *recorder) summary() string {
	served := 0
	for _, o := range rec.outcomes {
		if o.isServed() {
			served++
		}
	}
	return fmt.Sprintf("%d requests, %d served", len(rec.outcomes), served)
}

// check returns a description of each violated guarantee.
func (rec *recorder) check(engines []*plat.Server) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs := countRuns(engines)
	sent := make(map[string]bool, len(rec.outcomes))
	recoveryTotal, recoveryServed := 0, 0
	for _, o := range rec.outcomes {
		sent[o.id] = true
		switch {
		case errors.Is(o.err, head.ErrInvalid):
			report("request %s got an answer that is not valid HTTP: %v", o.id, o.err)
		case o.isServed() && (o.body != expectedBody(o.path, o.id) || !o.signed):
			report("request %s got a wrong, incomplete or unsigned response: %.80q", o.id, o.body)
		case o.err != nil && o.body != "" && !strings.HasPrefix(expectedBody(o.path, o.id), o.body):
			report("request %s got a wrong partial response: %.80q", o.id, o.body)
		case isNotRunResponse(o) && o.path != town.ReadPath && o.path != town.NotePath && runs[o.id] > 0:
			report("request %s was refused as not run, but ran", o.id)
		case o.err == nil && !o.isWithdrawn && o.status >= http.StatusBadRequest && o.status < http.StatusInternalServerError && !isNotRunResponse(o):
			report("request %s was denied with status %d", o.id, o.status)
		}
		if o.path == town.BookPath && runs[o.id] > 1 {
			report("booking %s ran %d times", o.id, runs[o.id])
		}
		if o.path == town.ReportPath && runs[o.id] > 1 {
			report("report %s ran %d times", o.id, runs[o.id])
		}
		if !o.isDeadly && !o.isWithdrawn && o.sentAt.After(rec.recoveryStart.Add(settlingTime)) {
			recoveryTotal++
			if o.isServed() {
				recoveryServed++
			}
		}
	}
	for _, e := range engines {
		for _, r := range e.Requests() {
			if r.Ran && !sent[r.Attempt()] {
				report("engine %s ran request %q, %s %s from %s, which no caller sent", e.ID, r.Attempt(), r.Method, r.RequestURI, r.RemoteAddr)
			}
		}
	}
	if recoveryTotal > 0 && float64(recoveryServed) < minServedRatio*float64(recoveryTotal) {
		report("%d of %d requests were served after all faults were undone: %v", recoveryServed, recoveryTotal, rec.resultCounts())
	}
	return violations
}

// resultCounts counts the requests of the recovery period by path and status or error.
func (rec *recorder) resultCounts() map[string]int {
	counts := make(map[string]int)
	for _, o := range rec.outcomes {
		if !o.sentAt.After(rec.recoveryStart.Add(settlingTime)) {
			continue
		}
		result := fmt.Sprint(o.path, " ", o.status)
		if o.err != nil {
			result = fmt.Sprint(o.path, " ", errors.UnwrapAll(o.err))
		}
		counts[result]++
	}
	return counts
}

// isNotRunResponse reports whether the response (429 or 503) guarantees that the request has not run.
func isNotRunResponse(o outcome) bool {
	return o.err == nil && (o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable)
}

// countRuns returns the number of runs by request ID; a resumption from a copy belongs to the same run.
func countRuns(engines []*plat.Server) map[string]int {
	runs := make(map[string]int)
	for _, e := range engines {
		for _, r := range e.Requests() {
			if r.Ran && !r.ResumesRun() {
				runs[r.Attempt()]++
			}
		}
	}
	return runs
}
