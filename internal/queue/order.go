package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fair"
)

// Class is the urgency of a waiting request under fair shares, 0 the most urgent.
type Class int

// The classes of requests. Those that can still be on time and whose workspace is within its share have the operators' priority as class.
const (
	// classLowest is the class of all lower priorities.
	classLowest Class = 2
	// classOver is that of requests whose workspace uses more than its share while others wait.
	classOver Class = 3
	// classLate is that of requests that can't be on time anymore.
	classLate Class = 4
	// ClassCount is the number of classes.
	ClassCount = 5
)

// Classes holds numbers of requests by class.
type Classes [ClassCount]int

// Plus returns the sum with other numbers.
func (c Classes) Plus(o Classes) Classes {
	for i, n := range o {
		c[i] += n
	}
	return c
}

// Before returns the number of requests that are more urgent than a class.
func (c Classes) Before(class Class) int {
	sum := 0
	for _, n := range c[:class] {
		sum += max(0, n)
	}
	return sum
}

// class returns the class of the request.
func (r Request) class(isOver bool, now time.Time) Class {
	switch {
	case r.IsLate(now):
		return classLate
	case isOver:
		return classOver
	default:
		return r.priorityClass()
	}
}

func (r Request) priorityClass() Class { return max(0, min(classLowest, Class(r.Priority))) }

// rank is the place of a waiting request in the order under fair shares.
type rank struct {
	Request

	class Class
	// isOver reports whether the request's workspace is over its share.
	isOver bool
	// use is what the request's workspace uses, with its requests that are before this one.
	use float64
}

// compareRanks orders waiting requests under fair shares: by urgency, then those whose workspace uses least. Late ones go by their last
// useful start, so that few of them are refused. Load patterns: a workspace that sends several times as much as each of the others;
// streams of several priorities beyond capacity.
func compareRanks(a, b rank) int {
	if a.class == classLate && b.class == classLate {
		return a.LastStart().Compare(b.LastStart())
	}
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.use, b.use), a.Arrived.Compare(b.Arrived))
}

// ranks returns the ranks of waiting requests, in the order of the requests, by what the workspaces use at all hosts.
func ranks(requests []Request, uses fair.Uses, now time.Time) []rank {
	over := uses.Over()
	ranks := make([]rank, len(requests))
	order := make([]int, len(requests))
	for i, r := range requests {
		ranks[i] = rank{Request: r, class: r.class(over[r.Workspace], now), isOver: over[r.Workspace]}
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareRanks(ranks[a], ranks[b]) })
	next := make(map[fair.Key]float64)
	for _, i := range order {
		r := &ranks[i]
		used, found := next[r.Workspace]
		if !found {
			used = uses[r.Workspace].Rate
		}
		r.use = used
		next[r.Workspace] = used + r.Cost/fair.Window.Seconds()
	}
	return ranks
}

const (
	// maxUnused bounds the time in which room that is left to others stays unused: the age of a view, after which they have taken it or
	// can't, and a poll interval.
	maxUnused = 150*time.Millisecond + pollInterval
	// lastStartMargin is the time before its last useful start from which a request leaves no room to others.
	lastStartMargin = 4 * pollInterval
)

// limits returns the limits of the request while others wait, by class; unused is how long there has been room that is reserved for them.
// While more urgent ones wait, at this or other hosts, it starts only where little is pending, since its own target may allow more than
// theirs, and if there is room for them as well. That holds for late ones too, which would otherwise take the room that those between
// leave. Load pattern: streams of several priorities beyond capacity at many hosts, where free capacity is taken by whichever host asks
// first.
func (r rank) limits(others Classes, unused time.Duration, now time.Time) Limits {
	l := r.Limits(now)
	before := others.Before(r.class)
	if before == 0 || !now.Before(r.LastStart().Add(-lastStartMargin)) {
		return l
	}
	l.Delay = min(l.Delay, time.Duration(lateDelayShare*float64(r.target())))
	if unused < maxUnused {
		l.Reserve = before
	}
	return l
}

const (
	// urgentRetry is the Retry-After of the most urgent requests, as a share of the time until the backlog has drained; it grows by
	// retryPerPriority with each lower priority, and by the factor retryOver for a workspace over its share.
	urgentRetry      = 0.75
	retryPerPriority = 0.25
	retryOver        = 1.5
	// maxFairRetryAfter bounds the Retry-After before it is spread.
	maxFairRetryAfter = 12 * time.Second
	// minRetryShare and retrySpread are the earliest return and the time over which callers return, as shares of the time until the
	// backlog has drained.
	minRetryShare = 0.5
	retrySpread   = 1.0
)

// retryAfter returns when a refused caller should return. spread is a number from 0 to 1 that differs between callers. Load pattern:
// callers that all return at once, of which the less urgent ones take the places of the others.
func (r rank) retryAfter(b Backlog, spread float64) time.Duration {
	drain := float64(max(minRetryAfter, b.Drain())) * (urgentRetry + retryPerPriority*float64(r.priorityClass()))
	if r.isOver {
		drain *= retryOver
	}
	return time.Duration(min(drain, float64(maxFairRetryAfter)) * (minRetryShare + retrySpread*spread))
}

const (
	// slotShareTime is how long a host keeps to its part of the slots after requests have last waited at other hosts. While all slots are
	// in use, those that wait are not seen in every report.
	slotShareTime = 500 * time.Millisecond
	// minSlotShare is the least part of all slots that a host may use.
	minSlotShare = 0.002
)

// slotShare returns the part of all slots that a host may use while requests wait at other hosts: its part of the arrivals. Load
// pattern: plain requests beyond capacity, which take less time than a report of the slots in use, so that all hosts would take each slot
// that one of them has freed.
func slotShare(own, others float64) float64 {
	if own+others <= 0 {
		return minSlotShare
	}
	return max(minSlotShare, own/(own+others))
}

// Reason is why a request has waited.
type Reason string

// The reasons of waits.
const (
	// ReasonRoom is that no backend server had room within the request's own limits.
	ReasonRoom Reason = "room"
	// ReasonShare is that the request's workspace was over its share while others waited.
	ReasonShare Reason = "share"
	// ReasonUrgency is that the room was left to more urgent requests.
	ReasonUrgency Reason = "urgency"
)

// Wait describes the wait of a request.
type Wait struct {
	// Reason is why the request waited when it was last considered; empty if it started at once.
	Reason Reason
	// Class is its urgency, and Use what its workspace used at all hosts, in tokens a second.
	Class Class
	Use   float64
}

// setReason records why the attempt to start a request within limits has failed.
func (e *entry) setReason(l Limits, err error, now time.Time) {
	if e.Wait == nil {
		return
	}
	e.Wait.Class, e.Wait.Use = e.rank.class, e.rank.use
	switch isHeld := errors.Is(err, ErrReserved) || errors.Is(err, ErrBusy) && l.Delay < e.Limits(now).Delay; {
	case !isHeld && !errors.Is(err, ErrBusy):
		// The request has started or failed: what it waited for before stays.
	case !isHeld:
		e.Wait.Reason = ReasonRoom
	case e.rank.class == classOver:
		e.Wait.Reason = ReasonShare
	default:
		e.Wait.Reason = ReasonUrgency
	}
}
