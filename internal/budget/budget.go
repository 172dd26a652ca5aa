// Package budget bounds the retries of a host by a fraction of its arrivals.
package budget

import "sync"

// The budget of a Retry whose fields are zero.
const (
	// DefaultRatio is the number of retries that each arrival earns.
	DefaultRatio = 0.09
	// DefaultBurst is the number of retries that may be saved up.
	DefaultBurst = 16
)

// Retry is a token bucket that arrivals fill and retries empty, as in the retry budgets of RPC libraries.
// Over any number of arrivals it allows at most Burst + Ratio*arrivals retries, whatever the backend servers answer.
// It starts full, is safe for concurrent use, and its zero value uses the defaults.
type Retry struct {
	// Ratio is the number of retries that each arrival earns; zero means DefaultRatio.
	Ratio float64
	// Burst is the largest number of retries saved up; zero means DefaultBurst.
	Burst int

	mu sync.Mutex
	// spent is the distance from a full bucket, in retries.
	spent float64
}

// Arrived notes a request's first send, which earns a part of a retry.
func (r *Retry) Arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(0, r.spent-r.ratio())
}

// Allow takes one retry from the budget; it reports false when there is none.
func (r *Retry) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > r.burst() {
		return false
	}
	r.spent++
	return true
}

func (r *Retry) ratio() float64 {
	if r.Ratio == 0 {
		return DefaultRatio
	}
	return r.Ratio
}

func (r *Retry) burst() float64 {
	if r.Burst == 0 {
		return DefaultBurst
	}
	return float64(r.Burst)
}
