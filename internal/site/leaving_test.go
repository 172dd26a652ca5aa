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
// them has lost it, or hears of it late: calls that wait there went on, and old answers counted.
func TestLeavingServerIsKnownInTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pauses are the times between the last change of a server, which sets the phase of the hosts' calls, and the trouble.
		pauses  []time.Duration
		trouble func(r *tableRig)
	}{
		{"nothing fails", []time.Duration{0}, func(*tableRig) {}},
		{
			"the reader loses the store",
			[]time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond},
			func(r *tableRig) { r.toStore.isCut.Store(true) },
		},
		{
			"the reader loses the store, and the other host does not learn it",
			[]time.Duration{0, 800 * time.Millisecond, 1600 * time.Millisecond},
			func(r *tableRig) { r.isReaderStale.Store(true); r.toStore.isCut.Store(true) },
		},
		{"the reader falls silent", []time.Duration{0, 800 * time.Millisecond, 1600 * time.Millisecond}, func(r *tableRig) { r.toReader.isCut.Store(true) }},
		{"the reader's connections fall silent", []time.Duration{0, 800 * time.Millisecond}, func(r *tableRig) { r.toReader.hold() }},
		{"the reader trickles", []time.Duration{0}, func(r *tableRig) { r.toReader.isTrickling.Store(true) }},
	} {
		for _, pause := range tc.pauses {
			t.Run(fmt.Sprint(tc.name, " after ", pause), func(t *testing.T) {
				t.Parallel()
				checkLeaving(t, pause, tc.trouble)
			})
		}
	}
}

// checkLeaving brings trouble about and checks that servers that leave after it are known to leave in time.
func checkLeaving(t *testing.T, pause time.Duration, trouble func(*tableRig)) {
	t.Helper()
	r := &tableRig{hosts: 7, hasReader: true}
	r.settings = config.Settings{Region: "east", Platform: &config.Platform{KeyAge: config.Duration(5 * time.Second), TableApply: config.Duration(leavingTime)}}
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
	longest := time.Duration(0)
	for known := 0; known < leaving; time.Sleep(2 * time.Millisecond) {
		if n := len(confirmed); n == 0 || n < leaving && time.Since(confirmed[n-1]) > 400*time.Millisecond {
			r.putServer(fmt.Sprint("s", n+1), "draining")
			confirmed = append(confirmed, time.Now())
		}
		for ; known < len(confirmed) && r.pool.IsLeaving(fmt.Sprint("s", known+1)); known++ {
			longest = max(longest, time.Since(confirmed[known]))
		}
		assert.Assert(t, known == len(confirmed) || time.Since(confirmed[known]) < leavingTime, "server %d is not known to leave after %s", known+1, leavingTime)
	}
	t.Logf("known after %s at most", longest)
}
