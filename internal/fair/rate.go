// Package fair measures what parties take of a shared service and orders them by it.
package fair

import (
	"math"
	"time"
)

// Rate is an exponentially decayed average of amounts per second; the zero value is ready to use. Decayed averages of several hosts
// add up to that of all of them, also when a host starts anew or stops.
type Rate struct {
	perSecond float64
	updated   time.Time
}

// Add adds an amount at a time.
func (r *Rate) Add(amount float64, window time.Duration, now time.Time) {
	r.perSecond = r.At(window, now) + amount/window.Seconds()
	if now.After(r.updated) {
		r.updated = now
	}
}

// At returns the average at a time; it falls to 1/e within the window if nothing is added.
func (r *Rate) At(window time.Duration, now time.Time) float64 {
	if passed := now.Sub(r.updated); passed > 0 {
		return r.perSecond * math.Exp(-passed.Seconds()/window.Seconds())
	}
	return r.perSecond
}

// Last returns the average when an amount was last added.
func (r *Rate) Last() float64 { return r.perSecond }
