package replay_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/tarragonspur/tarragonspur/internal/bench/faults"
	"github.com/tarragonspur/tarragonspur/internal/replay"
)

func readTrace(t *testing.T, path string) replay.Trace {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	trace, err := replay.Read(bytes.NewReader(text))
	assert.NilError(t, err)
	return trace
}

func TestRecordedTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 8)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var log strings.Builder
			_, err := replay.Run(readTrace(t, path), &log)
			assert.NilError(t, err)
			golden.Assert(t, log.String(), strings.TrimSuffix(filepath.Base(path), ".jsonl")+".golden")
		})
	}
}

func TestRunReportsADifferentOutcome(t *testing.T) {
	trace := readTrace(t, "testdata/silent.jsonl")
	trace.Outcome.Tokens--
	_, err := replay.Run(trace, io.Discard)
	assert.Assert(t, errors.Is(err, replay.ErrOutcome))
}

func TestReadRejectsInvalidTraces(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"empty", ""},
		{"not JSON", "{"},
		{"no outcome", `{"request":"r"}`},
		{"no request", `{"event":"placed"}` + "\n" + `{"outcome":{"tokens":0}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := replay.Read(strings.NewReader(tt.text))
			assert.Assert(t, errors.Is(err, replay.ErrTrace))
		})
	}
}

// TestReplayReproducesTheCallersOutcomes writes, reads and replays the traces of one seed of the fault scenario.
func TestReplayReproducesTheCallersOutcomes(t *testing.T) {
	for _, r := range faults.Records(3) {
		var text bytes.Buffer
		assert.NilError(t, replay.Write(&text, r.Trace, r.Arrival))
		trace, err := replay.Read(&text)
		assert.NilError(t, err)
		_, err = replay.Run(trace, io.Discard)
		assert.NilError(t, err, "%s %s", r.Request, r.Faults)
	}
}
