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

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
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
	writtenLines := strings.Count(text, "request ended")
	assert.Equal(t, int64(writtenLines)+w.Dropped(), int64(lines), "each line is written or counted")
	// The first write may hold a full buffer, and the buffer may fill up again behind it.
	assert.Assert(t, writtenLines <= 2*maxLines+1, writtenLines)
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
