package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	log := slog.New(slog.NewTextHandler(w, nil))
	began := time.Now()
	const lines = 4 * maxLines
	for i := range lines {
		log.Info("request ended", "n", i)
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
	assert.Assert(t, w.Dropped() > 0)
	close(out.release)
	cancel()
	<-ended
	text := out.text.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	written := strings.Count(text, "request ended")
	assert.Equal(t, int64(written)+w.Dropped(), int64(lines), "each line is written or counted")
	// One write takes all lines that wait, and as many may wait behind it.
	assert.Assert(t, written <= 2*maxLines+1, written)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	w.Run(ctx)
	assert.Equal(t, out.String(), "a\nb\nc\n")
}
