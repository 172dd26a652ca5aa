package cause

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknown says that no line tells of the request.
var ErrUnknown = errors.New("no log line tells of the request")

// around is how long before a request and after it lines of its backend servers are shown.
const around = 3 * time.Second

// Case is what became of one request.
type Case struct {
	// Lines are the request's own lines and those that explain them, in order.
	Lines []Line
	// Outcome is the outcome that the host wrote; empty if the host ended first.
	Outcome string
	// Cause says in words what led to the outcome.
	Cause string
}

// inquiry is the material of one case.
type inquiry struct {
	own []Line
	// beliefs are the statements of the request's host in order, others those of the other hosts.
	beliefs, others []Line
	// shown are the statements that the cause rests on.
	shown []Line
}

// Explain returns what became of a request, from lines of any number of hosts in any order.
func Explain(request string, lines []Line) (Case, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	q := &inquiry{}
	for _, l := range lines {
		if l.Fields["request"] == request {
			q.own = append(q.own, l)
		}
	}
	if len(q.own) == 0 {
		return Case{}, errors.Wrapf(ErrUnknown, "request %s", request)
	}
	for _, l := range lines {
		switch {
		case l.Fields["request"] == request:
		case l.Host == q.host():
			q.beliefs = append(q.beliefs, l)
		default:
			q.others = append(q.others, l)
		}
	}
	c := Case{Cause: q.cause()}
	if end, ok := q.last("request ended"); ok {
		c.Outcome = end.Fields["outcome"]
	}
	c.Lines = append(q.shown, q.own...)
	slices.SortStableFunc(c.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return c, nil
}

// Print writes a case.
func (c Case) Print(w io.Writer) error {
	var b strings.Builder
	for _, l := range c.Lines {
		fmt.Fprintf(&b, "%s %s %s\n", l.At.Format("15:04:05.000"), l.Host, l.Text)
	}
	fmt.Fprintf(&b, "cause: %s\n", c.Cause)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "print case")
}

func (q *inquiry) host() string { return q.own[0].Host }

// last returns the newest of the request's own lines with a message.
func (q *inquiry) last(message string) (Line, bool) {
	for _, l := range slices.Backward(q.own) {
		if l.Message == message {
			return l, true
		}
	}
	return Line{}, false
}

// count returns the number of the request's own lines with a message.
func (q *inquiry) count(message string) int {
	n := 0
	for _, l := range q.own {
		if l.Message == message {
			n++
		}
	}
	return n
}

// show keeps a statement for the case's lines.
func (q *inquiry) show(l Line) { q.shown = append(q.shown, l) }

// since returns the newest statement of the host that began a state, unless another one has ended it before a moment.
func (q *inquiry) since(began, ended string, before time.Time) (Line, bool) {
	var found Line
	var ok bool
	for _, l := range q.beliefs {
		if l.At.After(before) {
			break
		}
		switch l.Message {
		case began:
			found, ok = l, true
		case ended:
			ok = false
		}
	}
	return found, ok
}

// notice returns the first statement within lines that a backend server leaves.
func notice(lines []Line, server string, from, to time.Time) (Line, bool) {
	for _, l := range lines {
		leaves := l.Message == "backend server gone" || l.Fields["draining"] == "true"
		if leaves && l.Fields["server"] == server && l.At.After(from) && l.At.Before(to) {
			return l, true
		}
	}
	return Line{}, false
}
