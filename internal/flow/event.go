// Package flow splits a stream of server-sent events into events.
package flow

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Errors of a Reader.
var (
	// ErrEventTooLarge says that an event exceeds the size limit of 1 MiB.
	ErrEventTooLarge = errors.New("event is too large")
	// ErrNoMemory says that a large event found no memory.
	ErrNoMemory = errors.New("no memory for a large event")
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// readBytes is the buffer size of one read.
	readBytes = 4 << 10
	// smallBytes is the size up to which a buffer takes no memory of Memory.
	smallBytes = 16 << 10
)

// Memory bounds the bytes that several readers hold.
type Memory interface {
	// Take takes a number of bytes; false if they aren't free.
	Take(n int) bool
	Release(n int)
}

// Reader splits a body into complete events. An event ends with an empty line.
type Reader struct {
	Body io.Reader
	// HasLines says that each line is an event, the last one also without a line break.
	HasLines bool
	// Memory is where the buffer for large events is taken from; nil means no bound.
	Memory Memory

	buf     []byte
	start   int
	scanned int
	// taken are the bytes taken of Memory.
	taken int
	err   error
}

// Close releases the buffer.
func (r *Reader) Close() {
	r.buf, r.start, r.scanned = nil, 0, 0
	if r.taken > 0 {
		r.Memory.Release(r.taken)
		r.taken = 0
	}
}

// Next returns the bytes of the next event with its closing empty line. The bytes are valid until the next call.
// At the end of the body it returns the body's error, or io.EOF if the body ended between two events, or
// io.ErrUnexpectedEOF if it ended inside one.
func (r *Reader) Next() ([]byte, error) {
	for {
		if end := r.end(); end > 0 {
			event := r.buf[r.start:end]
			r.start, r.scanned = end, end
			return event, nil
		}
		if r.err != nil {
			isEOF := errors.Is(r.err, io.EOF) && r.start < len(r.buf)
			switch {
			case isEOF && r.HasLines:
				event := r.buf[r.start:]
				r.start, r.scanned = len(r.buf), len(r.buf)
				return event, nil
			case isEOF:
				return nil, io.ErrUnexpectedEOF
			}
			return nil, r.err
		}
		if len(r.buf)-r.start > maxEventBytes {
			return nil, ErrEventTooLarge
		}
		r.fill()
	}
}

// end returns the index after the next event in the buffer, or 0 if the event is incomplete.
func (r *Reader) end() int {
	if r.HasLines {
		return r.lineEnd()
	}
	from := max(r.start, r.scanned-3)
	best := 0
	for _, delimiter := range [...]string{"\n\n", "\n\r\n"} {
		if i := bytes.Index(r.buf[from:], []byte(delimiter)); i >= 0 && (best == 0 || from+i+len(delimiter) < best) {
			best = from + i + len(delimiter)
		}
	}
	if best == 0 {
		r.scanned = len(r.buf)
	}
	return best
}

// lineEnd is end for lines.
func (r *Reader) lineEnd() int {
	from := max(r.start, r.scanned)
	if i := bytes.IndexByte(r.buf[from:], '\n'); i >= 0 {
		return from + i + 1
	}
	r.scanned = len(r.buf)
	return 0
}

// fill reads once from the body into the buffer, which it compacts and grows as needed.
func (r *Reader) fill() {
	switch {
	case r.start == len(r.buf) && cap(r.buf) > smallBytes:
		r.Close()
	case r.start > 0:
		r.scanned -= r.start
		r.buf = append(r.buf[:0], r.buf[r.start:]...)
		r.start = 0
	}
	have := len(r.buf)
	if cap(r.buf)-have < readBytes && !r.grow() {
		r.err = ErrNoMemory
		return
	}
	n, err := r.Body.Read(r.buf[have : have+readBytes])
	r.buf = r.buf[:have+n]
	r.err = err
}

// grow doubles the buffer; false if there is no memory for it.
func (r *Reader) grow() bool {
	size := 2*cap(r.buf) + readBytes
	if more := size - smallBytes - r.taken; r.Memory != nil && more > 0 {
		if !r.Memory.Take(more) {
			return false
		}
		r.taken += more
	}
	grown := make([]byte, len(r.buf), size)
	copy(grown, r.buf)
	r.buf = grown
	return true
}

// ID returns the ID of an event, or "" if it has none.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		rest, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
