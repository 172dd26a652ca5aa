// Package cause explains from the hosts' log lines what became of one request.
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

// maxLineBytes bounds one log line; longer ones are an error of the reader.
const maxLineBytes = 1 << 20

// Line is one log line of a host.
type Line struct {
	At   time.Time
	Host string
	// Message is what was decided or seen, Fields what it was decided by.
	Message string
	Fields  map[string]string
	// Text is the line as it was written, without its time.
	Text string
}

// isStatement reports whether a message tells what a host believed, whatever the request.
func isStatement(message string) bool {
	switch message {
	case "backend server changed", "backend server gone", "store lost", "store regained", "reading host lost", "host silent",
		"host heard again", "host stops", "host serves", "table in force", "failure domains out", "log lines dropped":
		return true
	default:
		return false
	}
}

// Read returns the lines of one request and those that tell what the host believed. A text before a line's time, as
// collectors of logs write it, ends with the host's name; otherwise the given name counts.
func Read(r io.Reader, host, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes(), host)
		if ok && (l.Fields["request"] == request || isStatement(l.Message)) {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log of %s", host)
}

// parse reads one line; false if it is none of a host.
func parse(text []byte, host string) (Line, bool) {
	before, rest, ok := bytes.Cut(text, []byte("time="))
	if !ok {
		return Line{}, false
	}
	if words := strings.Fields(string(before)); len(words) > 0 {
		host = words[len(words)-1]
	}
	l := Line{Host: host, Fields: make(map[string]string)}
	stamp, after, _ := bytes.Cut(rest, []byte(" "))
	at, err := time.Parse(time.RFC3339Nano, string(stamp))
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
