package site

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// leavingTime is the time from the store's confirmation that a backend server leaves until no host may send to it.
const leavingTime = 2500 * time.Millisecond

// TestLeavingServerIsKnownInTime guards against hosts that send to a leaving backend server because the host that reads the store for
// them is cut off from it or reads it late: calls that waited there did not end, and outdated answers counted.
func TestLeavingServerIsKnownInTime(t *testing.T) {
	losesStore := func(r *tableRig) { r.toStore.isCut.Store(true) }
	allPhases := []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond}
	somePhases := []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond}
	for _, tc := range []struct {
		name string
		// bound is the setting for the time in which all hosts must know that a server leaves.
		bound time.Duration
		// pauses are the times between the last change of a server, which sets the phase of the hosts' calls, and the trouble.
		pauses  []time.Duration
		trouble func(r *tableRig)
		// changesTable changes the table all the while.
		changesTable bool
	}{
		{"nothing fails", 0, somePhases[:1], func(*tableRig) {}, false},
		{"the reader loses the store, no bound", 0, allPhases, losesStore, false},
		{"the reader loses the store", leavingTime, allPhases, losesStore, false},
		{
			"the reader loses the store, and the other host does not learn it, no bound", 0,
			[]time.Duration{0, 800 * time.Millisecond, 1600 * time.Millisecond},
			func(r *tableRig) { r.isReaderStale.Store(true); losesStore(r) }, false,
		},
		{"the reader falls silent", leavingTime, somePhases, func(r *tableRig) { r.toReader.isCut.Store(true) }, false},
		{"the reader's connections fall silent", leavingTime, somePhases, func(r *tableRig) { r.toReader.hold() }, false},
		{"the reader's calls to the store fall silent", leavingTime, somePhases, func(r *tableRig) { r.toStore.hold() }, false},
		{
			"the reader's calls to the store fall silent while the table changes often", leavingTime, somePhases,
			func(r *tableRig) { r.toStore.hold() }, true,
		},
		{"the reader trickles", leavingTime, somePhases[:1], func(r *tableRig) { r.toReader.isTrickling.Store(true) }, false},
	} {
		for _, pause := range tc.pauses {
			t.Run(fmt.Sprint(tc.name, " after ", pause), func(t *testing.T) {
				t.Parallel()
				checkLeaving(t, tc.bound, pause, tc.trouble, tc.changesTable)
			})
		}
	}
}

// checkLeaving brings trouble about and checks that servers that leave after it are known to leave in time.
func checkLeaving(t *testing.T, bound, pause time.Duration, trouble func(*tableRig), changesTable bool) {
	t.Helper()
	r := &tableRig{hosts: 7, hasReader: true}
	r.settings = config.Settings{Region: "east", Platform: &config.Platform{
		KeyAge: config.Duration(5 * time.Second), TableApply: config.Duration(leavingTime), ServerApply: config.Duration(bound),
	}}
	r.start(t)
	// The second of two changes in quick succession confirms what a call has read that had just begun: the reader's documents count
	// for longest.
	r.putServer("another", "healthy")
	time.Sleep(150 * time.Millisecond)
	r.putServer("s0", "draining")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.pool.IsLeaving("s0") {
			return poll.Success()
		}
		return poll.Continue("the first server to leave")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	time.Sleep(pause)
	for range 2 {
		r.put(0)
		time.Sleep(80 * time.Millisecond)
	}
	trouble(r)
	const leaving = 7
	var confirmed []time.Time
	longest, changed := time.Duration(0), time.Now()
	for known := 0; known < leaving; time.Sleep(2 * time.Millisecond) {
		if n := len(confirmed); n == 0 || n < leaving && time.Since(confirmed[n-1]) > 400*time.Millisecond {
			r.putServer(fmt.Sprint("s", n+1), "draining")
			confirmed = append(confirmed, time.Now())
		}
		if changesTable && time.Since(changed) > 100*time.Millisecond {
			r.put(0)
			changed = time.Now()
		}
		for ; known < len(confirmed) && r.pool.IsLeaving(fmt.Sprint("s", known+1)); known++ {
			longest = max(longest, time.Since(confirmed[known]))
		}
		assert.Assert(t, known == len(confirmed) || time.Since(confirmed[known]) < leavingTime, "server %d is not known to leave after %s", known+1, leavingTime)
	}
	t.Logf("known after %s at most", longest)
}
