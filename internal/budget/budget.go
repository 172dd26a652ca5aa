// Package budget implements retry budgets: retries are limited to a fraction of first sends, by one host or by all.
package budget

import "sync"

// The defaults of Retry.
const (
	// DefaultRatio is the number of retries added to the budget by each arrival.
	DefaultRatio = 0.09
	// DefaultBurst is the capacity of the budget in retries.
	DefaultBurst = 16
)

// Retry is a token bucket that arrivals fill and retries empty, as in the retry budgets of RPC libraries.
// Over any number of arrivals it allows at most Burst + Ratio*arrivals retries, whatever the backend servers answer.
// It starts full, is safe for concurrent use, and its zero value uses the defaults.
type Retry struct {
	// Ratio is the number of retries added to the budget by each arrival; zero means DefaultRatio.
	Ratio float64
	// Burst is the capacity of the budget in retries; zero means DefaultBurst.
	Burst int

	mu sync.Mutex
	// spent is the number of retries by which the bucket is below its capacity.
	spent float64
}

// Arrived records a request's first send, which adds Ratio retries to the budget.
func (r *Retry) Arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(0, r.spent-r.ratio())
}

// Allow takes one retry from the budget; it returns false if there is none.
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
