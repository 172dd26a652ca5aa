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
)

// settling is the time that hosts have to notice that all is well again.
const settling = 2 * time.Second

// outcome is one request as its caller saw it.
type outcome struct {
	kind, id string
	at       time.Time
	status   int
	body     string
	signed   bool
	err      error
}

func (o outcome) isServed() bool { return o.err == nil && o.status == http.StatusOK }

// book collects outcomes.
type book struct {
	mu    sync.Mutex
	all   []outcome
	since time.Time
}

func (b *book) note(o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, o)
}

// startCalm notes that all faults are undone.
func (b *book) startCalm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Now()
}

func (b *book) summary() string {
	served := 0
	for _, o := range b.all {
		if o.isServed() {
			served++
		}
	}
	return fmt.Sprintf("%d requests, %d served", len(b.all), served)
}

// check returns each promise that was broken.
func (b *book) check(engines []*plat.Engine) []string {
	var broken []string
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := runsOf(engines)
	asked := make(map[string]bool, len(b.all))
	calmAll, calmServed := 0, 0
	for _, o := range b.all {
		asked[o.id] = true
		switch {
		case o.isServed() && (o.body != whole(o.kind, o.id) || !o.signed):
			report("request %s got an answer that is not its own or not whole: %.80q", o.id, o.body)
		case o.err != nil && o.body != "" && !strings.HasPrefix(whole(o.kind, o.id), o.body):
			report("request %s got a part that is not its own: %.80q", o.id, o.body)
		case isPromise(o) && o.kind != town.ReadPath && runs[o.id] > 0:
			report("request %s was refused as not run and ran", o.id)
		case o.err == nil && o.status >= http.StatusBadRequest && o.status < http.StatusInternalServerError && !isPromise(o):
			report("request %s was denied with status %d", o.id, o.status)
		}
		if o.kind == town.BookPath && runs[o.id] > 1 {
			report("booking %s ran %d times", o.id, runs[o.id])
		}
		if o.kind == town.ReportPath && runs[o.id] > 1 {
			report("report %s was started %d times", o.id, runs[o.id])
		}
		if o.at.After(b.since.Add(settling)) {
			calmAll++
			if o.isServed() {
				calmServed++
			}
		}
	}
	for _, e := range engines {
		for _, r := range e.Requests() {
			if r.Ran && !asked[r.Attempt()] {
				report("engine %s ran request %q, %s %s of %s, which nobody sent", e.ID, r.Attempt(), r.Method, r.RequestURI, r.RemoteAddr)
			}
		}
	}
	if calmAll > 0 && float64(calmServed) < leastServed*float64(calmAll) {
		report("%d of %d requests were served after all faults were undone: %v", calmServed, calmAll, b.failures())
	}
	return broken
}

// failures counts what came of the requests of the calm time.
func (b *book) failures() map[string]int {
	counts := make(map[string]int)
	for _, o := range b.all {
		if !o.at.After(b.since.Add(settling)) {
			continue
		}
		what := fmt.Sprint(o.kind, " ", o.status)
		if o.err != nil {
			what = fmt.Sprint(o.kind, " ", errors.UnwrapAll(o.err))
		}
		counts[what]++
	}
	return counts
}

// isPromise reports whether an answer says that the request has not run.
func isPromise(o outcome) bool {
	return o.err == nil && (o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable)
}

// runsOf counts how often each request was started; one that goes on from a copy is the same run.
func runsOf(engines []*plat.Engine) map[string]int {
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
