// Package books simulates bookings, calls that must run at most once, in virtual time. The hosts run the project's own
// code for plain calls and idempotency keys; the store, the backend servers and the callers are fakes that inject faults.
package books

import (
	"context"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// procs runs blocking functions in virtual time, one goroutine at a time and in the loop's order.
type procs struct {
	loop *vtime.Loop
	// yielded receives a value when the running goroutine sleeps or returns.
	yielded chan struct{}
}

func newProcs(l *vtime.Loop) *procs { return &procs{loop: l, yielded: make(chan struct{})} }

// start runs f in a new goroutine after d; f may block in sleep only.
func (p *procs) start(d time.Duration, f func()) {
	p.loop.After(d, func() {
		go func() {
			f()
			p.yielded <- struct{}{}
		}()
		<-p.yielded
	})
}

// sleep blocks for d of virtual time; only functions that start runs may call it.
func (p *procs) sleep(d time.Duration) {
	wake := make(chan struct{})
	p.loop.After(d, func() {
		close(wake)
		<-p.yielded
	})
	p.yielded <- struct{}{}
	<-wake
}

// Now returns the virtual time.
func (p *procs) Now() time.Time { return p.loop.Now() }

// Sleep blocks for d of virtual time and returns ctx.Err(); it does not end early when ctx does.
func (p *procs) Sleep(ctx context.Context, d time.Duration) error {
	p.sleep(d)
	return ctx.Err()
}
