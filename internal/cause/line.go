// Package cause explains the outcome of one request from the log lines of the hosts.
package cause

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds one log line; Read fails on longer ones.
const maxLineBytes = 1 << 20

// Line is one parsed log line of a host.
type Line struct {
	At   time.Time
	Host string
	// Message is the value of msg; Fields holds all fields but time, msg included.
	Message string
	Fields  map[string]string
	// Text is the line as it was written, without its time and what precedes it.
	Text string
}

// isHostEvent reports whether a message is a host event: a change of the host or its local view, not of one request.
func isHostEvent(message string) bool {
	switch message {
	case "backend server changed", "backend server gone", "store lost", "store regained", "reading host lost", "host silent",
		"host heard again", "host stops", "host serves", "table in force", "failure domains out", "log lines dropped",
		"key quarantined", "backend server states a limit", "backend server's limit ended", "backend server wants no requests",
		"backend server states that it leaves":
		return true
	default:
		return false
	}
}

// Read returns the lines of one request and the host events. If a log collector has put a prefix before a line's time,
// its last word is the host's name; otherwise the host is the given one.
func Read(r io.Reader, host, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes(), host)
		if ok && (l.Fields["request"] == request || isHostEvent(l.Message)) {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log of %s", host)
}

// parse parses one line; it returns false if the line is not a complete log line of a host.
func parse(text []byte, host string) (Line, bool) {
	before, rest, ok := bytes.Cut(text, []byte("time="))
	if !ok {
		return Line{}, false
	}
	if words := strings.Fields(string(before)); len(words) > 0 {
		host = words[len(words)-1]
	}
	l := Line{Host: host, Fields: make(map[string]string)}
	timestamp, after, _ := bytes.Cut(rest, []byte(" "))
	at, err := time.Parse(time.RFC3339Nano, string(timestamp))
	if err != nil {
		return Line{}, false
	}
	l.At, l.Text = at, string(after)
	d := logfmt.NewDecoder(bytes.NewReader(after))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.Fields[string(d.Key())] = string(d.Value())
		}
	}
	l.Message = l.Fields["msg"]
	return l, d.Err() == nil && l.Message != ""
}
