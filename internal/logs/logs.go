// Package logs writes log lines asynchronously, so that a slow output never blocks the caller.
package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxLines is the number of lines buffered for a slow output; further ones are dropped and counted.
const maxLines = 2048

// Writer is an io.Writer that buffers lines; Run writes them to the output.
type Writer struct {
	// Out receives the buffered lines; only Run writes to it.
	Out io.Writer

	lines        chan []byte
	unreported   atomic.Int64
	droppedTotal atomic.Int64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{Out: out, lines: make(chan []byte, maxLines)} }

// Write buffers one line, or drops it if the buffer is full; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.unreported.Add(1)
		w.droppedTotal.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Run writes buffered lines until ctx ends, then writes the remaining ones and returns.
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

// write writes a line and all buffered ones in one call. An error of the output is ignored: there is no other place to
// report it.
func (w *Writer) write(line []byte) {
	for range len(w.lines) {
		line = append(line, <-w.lines...)
	}
	if n := w.unreported.Swap(0); n > 0 {
		line = fmt.Appendf(line, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
	}
	_, _ = w.Out.Write(line)
}
