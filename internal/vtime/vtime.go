// Package vtime runs events in virtual time, in one goroutine and in deterministic order.
package vtime

import (
	"container/heap"
	"time"
)

// Loop is an event loop in virtual time; the zero value starts at the zero time.
type Loop struct {
	now      time.Time
	sequence uint64
	queue    queue
}

// New returns a loop whose virtual time is start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// After schedules f to run after d; events at the same time run in the order in which they were scheduled.
func (l *Loop) After(d time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.queue, event{at: l.now.Add(max(0, d)), sequence: l.sequence, run: f})
}

// Every runs f immediately and then once per period, until f returns false.
func (l *Loop) Every(period time.Duration, f func() bool) {
	if f() {
		l.After(period, func() { l.Every(period, f) })
	}
}

// RunUntil runs all events up to and including end, sets the time to end and returns the number of events run.
func (l *Loop) RunUntil(end time.Time) int {
	count := 0
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		e, _ := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
		count++
	}
	l.now = end
	return count
}

// Pending returns the number of scheduled events.
func (l *Loop) Pending() int { return len(l.queue) }

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; container/heap calls it.
func (q *queue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop removes the last event; container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
