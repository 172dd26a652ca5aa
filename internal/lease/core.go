// Package lease implements leases with fencing tokens on top of the object API.
//
// A lease is one object that its holder rewrites before it expires. Clocks of different hosts are never compared:
// the holder counts from the time right before it sent its last write, on its monotonic clock, and other hosts
// take the lease over only after they have themselves seen the same version for the lease's whole duration (Gray
// and Cheriton, "Leases", 1989). Each change of holder raises the fencing token (Kleppmann, "How to do distributed
// locking", 2016).
package lease

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	// renewalsPerLease is the number of renewals in one lease duration.
	renewalsPerLease = 3
	// marginDivisor is the lease duration divided by the safety margin, which covers differences in clock rates.
	marginDivisor = 10
	// maxTrackedWrites is the number of own writes that are still recognised if they take effect late.
	maxTrackedWrites = 8
)

// Record is the stored form of a lease.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Fence is the fencing token; it increases with each change of holder.
	Fence uint64 `json:"fence"`
	// Write numbers the holder's writes.
	Write uint64 `json:"write"`
	// DurationMS is the time in milliseconds for which the version must stay unchanged before others may take over.
	DurationMS int64 `json:"duration_ms"`
	// Released means that the holder has given the lease back.
	Released bool `json:"released,omitempty"`
}

// Core decides when to read and write one lease. It does no I/O and is not safe for concurrent use.
type Core struct {
	// Holder and Incarnation identify the process.
	Holder      string
	Incarnation uint64
	// Duration is the duration of the lease; it must be set.
	Duration time.Duration

	seen    Record
	version object.Version
	// since is the time at which version was first seen.
	since time.Time
	// isRead means that seen is up to date: no write was sent since the last read.
	isRead bool
	until  time.Time
	held   bool
	// acquired is the time at which the lease was first held with the current fencing token.
	acquired  time.Time
	fence     uint64
	lastWrite uint64
	sent      []sentWrite
	// waitUntil is the time before which Next returns StepWait.
	waitUntil time.Time
}

type sentWrite struct {
	number uint64
	at     time.Time
}

// Step is the kind of an Action.
type Step int

// The steps of a lease.
const (
	// StepWait means that there is nothing to do now.
	StepWait Step = iota
	// StepRead is a read of the lease's object.
	StepRead
	// StepWrite is a conditional write of the lease's object.
	StepWrite
)

// Action is a step with its arguments; Record and Expect, the expected version, are set for StepWrite.
type Action struct {
	Step   Step
	Record Record
	Expect object.Version
}

// Next returns what to do now.
func (c *Core) Next(now time.Time) Action {
	if c.held && !now.Before(c.until) {
		c.held = false
	}
	switch {
	case now.Before(c.waitUntil):
		return Action{}
	case !c.isRead:
		return Action{Step: StepRead}
	case c.held && now.Before(c.renewAt()):
		return Action{}
	case c.held, c.canAcquire(now):
		return c.startWrite(now)
	default:
		return Action{Step: StepRead}
	}
}

// renewAt returns the time of the next renewal of a held lease.
func (c *Core) renewAt() time.Time {
	return c.until.Add(c.margin() - c.Duration + c.Duration/renewalsPerLease)
}

func (c *Core) margin() time.Duration { return c.Duration / marginDivisor }

// canAcquire reports whether the lease, in the version last seen, is not held by another process.
func (c *Core) canAcquire(now time.Time) bool {
	if c.version == 0 || c.seen.Released || c.isOwn(c.seen) {
		return true
	}
	duration := time.Duration(c.seen.DurationMS) * time.Millisecond
	return now.Sub(c.since) >= duration
}

func (c *Core) isOwn(r Record) bool { return r.Holder == c.Holder && r.Incarnation == c.Incarnation }

// startWrite records a write that is sent now and returns it.
func (c *Core) startWrite(now time.Time) Action {
	c.lastWrite++
	r := Record{Holder: c.Holder, Incarnation: c.Incarnation, Fence: c.seen.Fence, Write: c.lastWrite, DurationMS: c.Duration.Milliseconds()}
	if !c.held {
		r.Fence++
	}
	c.sent = append(c.sent, sentWrite{c.lastWrite, now})
	if len(c.sent) > maxTrackedWrites {
		c.sent = c.sent[1:]
	}
	// The answer may be lost: the next step is a read unless WriteSucceeded is called.
	c.isRead = false
	return Action{Step: StepWrite, Record: r, Expect: c.version}
}

// WriteSucceeded records that the write of an action created version v.
func (c *Core) WriteSucceeded(a Action, v object.Version, now time.Time) { c.Read(a.Record, v, now) }

// Failed records that a step failed or that its outcome is unknown; the next step is delayed by pause.
func (c *Core) Failed(now time.Time, pause time.Duration) { c.waitUntil = now.Add(pause) }

// Read records the lease's object as it was read; version zero means that it does not exist.
func (c *Core) Read(r Record, v object.Version, now time.Time) {
	c.isRead = true
	c.waitUntil = now.Add(c.Duration / (2 * renewalsPerLease))
	if v < c.version {
		// A read may return an older version than the last one seen.
		return
	}
	if v != c.version || c.since.IsZero() {
		c.since = now
	}
	c.seen, c.version = r, v
	if c.canAcquire(now) {
		c.waitUntil = now
	}
	if !c.isOwn(r) || r.Released {
		c.held = false
		return
	}
	c.confirmWrite(r, now)
}

// confirmWrite makes this process the holder if the record is one of its own writes, until the lease duration minus the
// safety margin after that write was sent.
func (c *Core) confirmWrite(r Record, now time.Time) {
	for _, w := range c.sent {
		if w.number != r.Write {
			continue
		}
		until := w.at.Add(c.Duration - c.margin())
		if !now.Before(until) {
			return
		}
		c.held, c.until, c.waitUntil = true, until, time.Time{}
		if c.fence != r.Fence {
			c.fence, c.acquired = r.Fence, now
		}
	}
}

// Grant is the right of a lease's holder to act.
type Grant struct {
	// Fence is the fencing token to send along.
	Fence uint64
	// Acquired is the time from which the lease is held with this fencing token.
	Acquired time.Time
	// Until is the time from which nothing may be sent any more.
	Until time.Time
}

// Holds returns the right to act, and false if the lease is not held; it must be called right before each send.
func (c *Core) Holds(now time.Time) (Grant, bool) {
	if !c.held || !now.Before(c.until) {
		return Grant{}, false
	}
	return Grant{Fence: c.fence, Acquired: c.acquired, Until: c.until}, true
}

// Release returns the write that gives a held lease back, and false if the lease is not held or a write is unconfirmed.
func (c *Core) Release(now time.Time) (Action, bool) {
	if _, ok := c.Holds(now); !ok || !c.isRead {
		return Action{}, false
	}
	a := c.startWrite(now)
	a.Record.Released = true
	c.held = false
	return a, true
}
