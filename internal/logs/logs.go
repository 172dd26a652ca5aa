// Package logs writes log lines without ever making their author wait.
package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxLines is the number of lines that wait for a slow output; further ones are dropped and counted.
const maxLines = 2048

// Writer is an io.Writer that hands lines to a goroutine of its own. Run must be running for lines to leave.
type Writer struct {
	// Out takes the lines.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{Out: out, lines: make(chan []byte, maxLines)} }

// Write takes one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Run writes lines until ctx ends, and then those that are left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write sends the lines that wait in one call. There is nobody to tell of an output that fails.
func (w *Writer) write(line []byte) {
	for range len(w.lines) {
		line = append(line, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
	_, _ = w.Out.Write(line)
}
