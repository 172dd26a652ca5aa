package fleet_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const (
	// settleTime is the pause between two steps of a test.
	settleTime  = 1500 * time.Millisecond
	stopTimeout = 20 * time.Second
)

// terminate sends SIGTERM to a host; 50 ms later, the balancer no longer lists it.
func terminate(t *testing.T, h *entryHost) {
	t.Helper()
	h.signal(t, syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	h.unlisted.Store(true)
}

func TestGracefulStopKeepsStreams(t *testing.T) {
	f := newFleet(t, 3, 3, 1)
	l := startLoad(f, 12, 3)
	l.waitUntilServing()
	time.Sleep(settleTime)
	terminate(t, f.hosts[1])
	assert.NilError(t, f.hosts[1].waitForExit(t, stopTimeout))
	time.Sleep(settleTime / 2)
	l.stop()
	t.Log(l)
	assert.Equal(t, l.failed.Load(), int64(0))
	assert.Equal(t, l.truncated.Load(), int64(0))
	assert.Equal(t, l.wrongLength.Load(), int64(0))
	assert.Equal(t, l.unconfirmed.Load(), int64(0))
	assert.Assert(t, l.completed.Load() > 0)
	assert.Assert(t, is.Len(l.doubleRuns(), 0))
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	l := startLoad(f, 4, 0)
	time.Sleep(settleTime / 2)
	startTime := time.Now()
	f.hosts[0].signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.readiness(f.hosts[0]), http.StatusServiceUnavailable)
	f.hosts[0].signal(t, syscall.SIGTERM)
	_ = f.hosts[0].waitForExit(t, 3*time.Second)
	assert.Assert(t, time.Since(startTime) < 3*time.Second)
	l.stop()
	assert.Equal(t, l.truncated.Load(), int64(0), "a stream ended without its final event or an error: %s", l)
}

func TestKilledAndPausedHosts(t *testing.T) {
	f := newFleet(t, 8, 6, 3)
	l := startLoad(f, 24, 8)
	l.waitUntilServing()
	time.Sleep(settleTime)
	f.hosts[1].signal(t, killSignal)
	time.Sleep(settleTime)
	f.hosts[2].signal(t, syscall.SIGSTOP)
	time.Sleep(2 * settleTime)
	f.hosts[2].signal(t, syscall.SIGCONT)
	time.Sleep(settleTime)
	completedBefore := l.completed.Load()
	time.Sleep(settleTime)
	l.stop()
	t.Log(l)
	assert.Assert(t, l.completed.Load() > completedBefore, "no stream completed after the faults")
	assert.Equal(t, l.truncated.Load(), int64(0))
	assert.Equal(t, l.wrongLength.Load(), int64(0))
	assert.Assert(t, is.Len(l.doubleRuns(), 0))
}

// storeFaults holds those fault settings of the object API's stand-in that these tests use.
type storeFaults struct {
	Down bool `json:"down"`
}

func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 3, 3, 2)
	l := startLoad(f, 9, 3)
	l.waitUntilServing()
	time.Sleep(settleTime)
	f.putControl(f.store, "/control/faults", storeFaults{Down: true})
	completedBefore := l.completed.Load()
	lateHost := f.startHost(3)
	f.waitReady(lateHost)
	time.Sleep(settleTime)
	assert.Assert(t, l.completed.Load() > completedBefore, "no stream completed while the store was down")
	f.putControl(f.store, "/control/faults", storeFaults{})
	time.Sleep(2 * settleTime)
	bookedBefore := l.booked.Load()
	time.Sleep(settleTime)
	assert.Assert(t, l.booked.Load() > bookedBefore, "no booking succeeded after the store was up again")
	l.stop()
	t.Log(l)
	assert.Equal(t, l.failed.Load(), int64(0))
	assert.Equal(t, l.truncated.Load(), int64(0))
	assert.Assert(t, is.Len(l.doubleRuns(), 0))
}
