package cause

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknown is returned by Explain if no line belongs to the request.
var ErrUnknown = errors.New("no log line tells of the request")

// noticeWindow is how long before a request's first line, and after its stream broke, shutdown notices are searched for.
const noticeWindow = 3 * time.Second

// Case explains the outcome of one request.
type Case struct {
	// Lines are the request's lines and the lines that Cause is derived from, by time.
	Lines []Line
	// Outcome is the outcome that the host logged; empty if it logged none.
	Outcome string
	// Cause describes what led to the outcome.
	Cause string
}

// analysis holds the lines from which one request is explained, sorted by time.
type analysis struct {
	requestLines []Line
	// hostLines are the lines without this request's ID from the host that logged the request's first line, otherLines
	// those of the other hosts. Read keeps only host events of such lines.
	hostLines, otherLines []Line
	// evidence are the host events that the cause is derived from.
	evidence []Line
}

// Explain explains the outcome of a request from the lines that Read returned for any number of hosts, in any order. It
// sorts lines.
func Explain(request string, lines []Line) (Case, error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	q := &analysis{}
	for _, l := range lines {
		if l.Fields["request"] == request {
			q.requestLines = append(q.requestLines, l)
		}
	}
	if len(q.requestLines) == 0 {
		return Case{}, errors.Wrapf(ErrUnknown, "request %s", request)
	}
	for _, l := range lines {
		switch {
		case l.Fields["request"] == request:
		case l.Host == q.host():
			q.hostLines = append(q.hostLines, l)
		default:
			q.otherLines = append(q.otherLines, l)
		}
	}
	c := Case{Cause: q.explain()}
	if end, ok := q.lastLine("request ended"); ok {
		c.Outcome = end.Fields["outcome"]
	}
	c.Lines = append(q.evidence, q.requestLines...)
	slices.SortStableFunc(c.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return c, nil
}

// Print writes the lines and the cause as text.
func (c Case) Print(w io.Writer) error {
	var b strings.Builder
	for _, l := range c.Lines {
		fmt.Fprintf(&b, "%s %s %s\n", l.At.Format("15:04:05.000"), l.Host, l.Text)
	}
	fmt.Fprintf(&b, "cause: %s\n", c.Cause)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "print case")
}

func (q *analysis) host() string { return q.requestLines[0].Host }

// lastLine returns the newest of the request's lines with a message.
func (q *analysis) lastLine(message string) (Line, bool) {
	for _, l := range slices.Backward(q.requestLines) {
		if l.Message == message {
			return l, true
		}
	}
	return Line{}, false
}

// count returns the number of the request's lines with a message.
func (q *analysis) count(message string) int {
	n := 0
	for _, l := range q.requestLines {
		if l.Message == message {
			n++
		}
	}
	return n
}

// addEvidence adds a host event to the lines of the case.
func (q *analysis) addEvidence(l Line) { q.evidence = append(q.evidence, l) }

// activeSince returns the newest line with startMessage of the request's host at or before a time; false if there is none
// or a line with endMessage follows it.
func (q *analysis) activeSince(startMessage, endMessage string, before time.Time) (Line, bool) {
	var found Line
	var ok bool
	for _, l := range q.hostLines {
		if l.At.After(before) {
			break
		}
		switch l.Message {
		case startMessage:
			found, ok = l, true
		case endMessage:
			ok = false
		}
	}
	return found, ok
}

// findNotice returns the first of the lines between two times that reports a backend server as draining or gone.
func findNotice(lines []Line, server string, from, to time.Time) (Line, bool) {
	for _, l := range lines {
		isNotice := l.Message == "backend server gone" || l.Message == "backend server states that it leaves" || l.Fields["draining"] == "true"
		if isNotice && l.Fields["server"] == server && l.At.After(from) && l.At.Before(to) {
			return l, true
		}
	}
	return Line{}, false
}
