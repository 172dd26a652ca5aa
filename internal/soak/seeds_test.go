package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failedSeeds returns seeds that once failed, each with the cause.
func failedSeeds() []struct {
	seed  uint64
	cause string
} {
	return []struct {
		seed  uint64
		cause string
	}{
		{2, "the wait for a newer table was not derived from the age at which keys are refused, so hosts refused keys without a fault"},
		{508, "the soak test's own proxy dropped bytes in the middle of a connection and forwarded what followed, so a stream lost its end"},
		{710, "two goroutines waited for one host to exit and the second cleared the record of the next process, which was never stopped and kept calling the store's address after an engine had got it"},
	}
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tarragonspur")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../..")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	return binary
}

func TestRegressionSeeds(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range failedSeeds() {
		t.Run(tc.cause, func(t *testing.T) {
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: 5 * time.Second, Hosts: 3, Engines: 8, Callers: 8, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
		})
	}
}

// TestRecoveryIsCheckedForItsWholePeriod has a seed whose last fault is undone 1.7 s after the end of the injections. The time until then was
// taken from the recovery period, so that few requests or none were checked.
func TestRecoveryIsCheckedForItsWholePeriod(t *testing.T) {
	var out bytes.Buffer
	s := &Soak{Seed: 3, Duration: 500 * time.Millisecond, Hosts: 2, Engines: 4, Callers: 8, Binary: buildBinary(t), Out: &out}
	assert.NilError(t, s.Run(t.Context()), out.String())
	var last time.Time
	for _, o := range s.recorder.outcomes {
		if o.sentAt.After(last) {
			last = o.sentAt
		}
	}
	checked := last.Sub(s.recorder.recoveryStart)
	assert.Assert(t, checked > recoveryPeriod-time.Second, "requests were sent until %s after the end of the faults", checked)
}

// TestRolloutsEndRightly has a seed with a bad version and one with a good one, both under faults.
func TestRolloutsEndRightly(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed uint64
		want string
	}{{1, "reverted"}, {2, "completed"}} {
		t.Run(tc.want, func(t *testing.T) {
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: 24 * time.Second, HasRollout: true, Hosts: 3, Engines: 8, Callers: 24, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
			statuses := s.town.Store.Statuses()
			assert.Assert(t, len(statuses) > 0 && strings.Contains(statuses[len(statuses)-1], tc.want), "%v\n%s", statuses, out.String())
		})
	}
}

// TestServersGetWhatTheyState has a seed on which servers got more than they stated before hosts read it.
func TestServersGetWhatTheyState(t *testing.T) {
	var out bytes.Buffer
	s := &Soak{
		Seed: 1, Duration: 4 * time.Second, Recovery: 14 * time.Second, HasStatements: true, Hosts: 3, Engines: 8, Callers: 12,
		Binary: buildBinary(t), Out: &out,
	}
	assert.NilError(t, s.Run(t.Context()), out.String())
}

// TestDeadlyPartStopsReachingEngines has a seed on which one part of a prompt went on crashing engines.
func TestDeadlyPartStopsReachingEngines(t *testing.T) {
	var out bytes.Buffer
	s := &Soak{
		Seed: 1, Duration: 8 * time.Second, Recovery: 14 * time.Second, DeadlyRatio: 0.15, Hosts: 3, Engines: 12, Callers: 12,
		Binary: buildBinary(t), Out: &out,
	}
	assert.NilError(t, s.Run(t.Context()), out.String())
}

// TestStreamIsAtWorkAtOneServer has seeds on which two backend servers were at work on one stream.
func TestStreamIsAtWorkAtOneServer(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed  uint64
		cause string
	}{
		{102, "the path was silent and back when the host's connections failed, and the stream went on from its copy at once"},
		{113, "connections ended at the host only, and the stream went on from its copy without a word to the server before"},
		{25, "a live migration sent the request to the copy before the server that left had noticed the end of its connection"},
		{104, "the stream left a server that was not asked whether its run had ended, after a break as well as in a migration"},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: 4 * time.Second, HasPathFaults: true, Hosts: 6, Engines: 8, Callers: 24, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
		})
	}
}

// TestStoreComesBackFromCopies has seeds that failed as the store came back from copies.
func TestStoreComesBackFromCopies(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed     uint64
		duration time.Duration
		cause    string
	}{
		{3, 10 * time.Second, "hosts took a server that leaves for healthy, since the copy showed it so"},
		{117, 6 * time.Second, "hosts left a failure domain out for 30 s whose order the copy lacked, and that was taken back after the return"},
		{6301, 6 * time.Second, "a host that had started took a copy for the newest table, and accepted a key that had been withdrawn 7.7 s before"},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: tc.duration, HasRestores: true, Hosts: 3, Engines: 8, Callers: 12, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
		})
	}
}

// TestBrokenAnswersReachNoCaller has seeds on which callers got answers with broken heads.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed  uint64
		cause string
	}{
		{2, "the name of the body's length ended in a blank, and callers got bytes after the body"},
		{3, "a status of 600 was passed on"},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			s := &Soak{Seed: tc.seed, Duration: 8 * time.Second, HasBrokenAnswers: true, Hosts: 3, Engines: 8, Callers: 12, Binary: binary, Out: &out}
			assert.NilError(t, s.Run(t.Context()), out.String())
		})
	}
}
