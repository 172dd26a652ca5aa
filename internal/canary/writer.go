package canary

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// writeTimeout bounds one call that writes a status.
	writeTimeout = 1500 * time.Millisecond
	// readerDelay is the longest time that a host which reads the store for others waits before it writes, so that the first one's status
	// comes back to the others. Calls are priced.
	readerDelay = 200 * time.Millisecond
	// otherDelay is the least time that other hosts wait, and otherSpread the longest for each host in addition.
	otherDelay  = 1500 * time.Millisecond
	otherSpread = 50 * time.Millisecond
	// minOtherSpread is the least time over which the other hosts' calls are spread.
	minOtherSpread = time.Second
	// retryFirst and retryLast bound the pause after a failed call.
	retryFirst = 300 * time.Millisecond
	retryLast  = 2 * time.Second
	// confirmTime is how long the status is given to come back once another host may have written it.
	confirmTime = 400 * time.Millisecond
)

// Write is a status that is to be written.
type Write struct {
	Order Order
	State State
	// Since is when it became due.
	Since time.Time
}

// Writes returns the statuses that are to be written.
func (t *Table) Writes() []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Write
	for _, e := range t.rollouts {
		if e.wanted != Unset {
			all = append(all, Write{Order: e.order, State: e.wanted, Since: e.wantedAt})
		}
	}
	return all
}

// Written takes the order as the store returned it.
func (t *Table) Written(o Order) {
	t.mu.Lock()
	t.put(o)
	t.mu.Unlock()
	t.Look()
}

// Gone takes that the store has no such order.
func (t *Table) Gone(o Order) {
	t.mu.Lock()
	t.remove(o.Name, o.Revision)
	t.mu.Unlock()
	t.Look()
}

// Controller looks at servers and evidence, and writes the status of orders. Its exported fields are set before Run.
type Controller struct {
	Table *Table
	Store StatusStore
	// IsReader reports whether this host reads the store for others; such hosts write first. Hosts is the number of hosts.
	IsReader func() bool
	Hosts    func() int
	Log      *slog.Logger

	// attempts are the pending writes by order.
	attempts map[string]*attempt
}

// attempt is a pending write.
type attempt struct {
	state    State
	at       time.Time
	failures int
}

// Name implements site.Controller.
func (*Controller) Name() string { return "roll-outs" }

// Run runs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	written := make(chan struct{}, 1)
	written <- struct{}{}
	for ticks.Sleep(ctx, tickInterval) {
		c.Table.Look()
		// A store that does not answer must not keep the host from deciding.
		select {
		case <-written:
			due := c.due(c.Table.Writes(), c.Table.now())
			go func() {
				for _, w := range due {
					c.write(ctx, w)
				}
				written <- struct{}{}
			}()
		default:
		}
	}
	<-written
	return nil
}

// due returns the writes that this host makes now.
func (c *Controller) due(all []Write, now time.Time) []Write {
	if c.attempts == nil {
		c.attempts = make(map[string]*attempt)
	}
	pending := make(map[string]*attempt, len(all))
	var due []Write
	for _, w := range all {
		a := c.attempts[w.Order.Name]
		if a == nil || a.state != w.State {
			a = &attempt{state: w.State, at: w.Since.Add(c.delay())}
		}
		pending[w.Order.Name] = a
		if !now.Before(a.at) {
			due = append(due, w)
		}
	}
	c.attempts = pending
	return due
}

// delay returns how long this host leaves a write to others.
func (c *Controller) delay() time.Duration {
	if c.IsReader() {
		return time.Duration(rand.Float64() * float64(readerDelay))
	}
	spread := max(minOtherSpread, time.Duration(c.Hosts())*otherSpread)
	return otherDelay + time.Duration(rand.Float64()*float64(spread))
}

// write makes one call. Whatever its outcome, the order as the store has it decides.
func (c *Controller) write(ctx context.Context, w Write) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	began := time.Now()
	o, err := c.Store.WriteStatus(callCtx, w.Order, w.State)
	took := time.Since(began)
	a := c.attempts[w.Order.Name]
	switch {
	case err == nil:
		c.Log.Info("status written", "rollout", w.Order.Name, "state", w.State.String(), "revision", o.Revision, "took", took)
		a.at = c.Table.now().Add(confirmTime)
		c.Table.Written(o)
	case errors.Is(err, ErrChanged) && o.Name != "":
		c.Log.Info("order had changed before its status was written", "rollout", w.Order.Name, "state", w.State.String(),
			"found", o.State().String(), "revision", o.Revision, "expected", w.Order.Revision, "took", took)
		a.at = c.Table.now().Add(time.Duration(rand.Float64() * float64(readerDelay)))
		c.Table.Written(o)
	case errors.Is(err, ErrGone):
		c.Log.Info("order had gone before its status was written", "rollout", w.Order.Name, "state", w.State.String(), "took", took)
		c.Table.Gone(w.Order)
	default:
		pause := min(retryLast, retryFirst<<min(a.failures, 4))
		a.failures++
		a.at = c.Table.now().Add(time.Duration((0.5 + rand.Float64()) * float64(pause)))
		c.Log.Info("status not written", "rollout", w.Order.Name, "state", w.State.String(), "failures", a.failures, "error", err, "took", took, "retry_in", pause)
	}
}
