package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regressions are seeds that failed once, with the cause.
func regressions() []struct {
	seed  uint64
	cause string
} {
	return []struct {
		seed  uint64
		cause string
	}{
		{2, "the wait for a newer table did not follow the age at which keys are refused, so hosts refused keys on a calm day"},
		{508, "the soak's own proxy dropped bytes in the middle of a connection and passed on what followed, so a stream lost its tail"},
		{710, "two waits for the end of one host forgot the next one, which went on calling the store's address after it was given to an engine"},
	}
}

func TestRegressionSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tarragonspur")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../..")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	for _, tc := range regressions() {
		t.Run(tc.cause, func(t *testing.T) {
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: 5 * time.Second, Hosts: 3, Engines: 8, Callers: 8, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
		})
	}
}
