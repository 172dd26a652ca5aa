package site

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// agreeTime is the time in which all hosts know what is written again after the store's return.
	agreeTime = 3 * time.Second
	// rewriteDelay is the time from the store's return until the operator and the servers have written again.
	rewriteDelay = 1200 * time.Millisecond
)

// TestStoreComesBackFromACopy guards against hosts that miss what is written after the store has come back from a copy, because revisions
// are given out again, and against hosts that forget what the copy lacks: a server that leaves or is gone, an evacuated failure domain, a
// table that withdrew keys.
func TestStoreComesBackFromACopy(t *testing.T) {
	for _, tc := range []struct {
		name      string
		hasReader bool
		// away is how long the store is away, writes the number of other objects written before a host calls it again: few keep its
		// revisions below those that hosts know, many raise them above.
		away   time.Duration
		writes int
		// again is the number of further returns.
		again   int
		trouble func(r *tableRig)
	}{
		{"host with a reader", true, 300 * time.Millisecond, 50, 0, nil},
		{"host with a reader, low revisions", true, 300 * time.Millisecond, 0, 0, nil},
		{"host that reads the store itself", false, 300 * time.Millisecond, 50, 0, nil},
		{"host that reads the store itself, low revisions", false, 300 * time.Millisecond, 0, 0, nil},
		{"store that is away for no time", true, 0, 50, 0, nil},
		{"no reader, store that is away for no time", false, 0, 50, 0, nil},
		{"twice within a second", true, 200 * time.Millisecond, 50, 1, nil},
		{"three times, no reader", false, 200 * time.Millisecond, 50, 2, nil},
		{"the reader is cut off from the store", true, 300 * time.Millisecond, 50, 0, func(r *tableRig) { r.toStore.isCut.Store(true) }},
		{"the reader falls silent", true, 300 * time.Millisecond, 50, 0, func(r *tableRig) { r.toReader.isCut.Store(true) }},
		{"the reader's calls to the store fall silent", true, 300 * time.Millisecond, 50, 0, func(r *tableRig) { r.toStore.hold() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := &tableRig{hosts: 7, hasReader: tc.hasReader}
			r.settings = config.Settings{Region: "east", Platform: &config.Platform{
				KeyAge: config.Duration(5 * time.Second), TableApply: config.Duration(leavingTime), ServerApply: config.Duration(leavingTime),
			}}
			holder := r.start(t)
			r.store.NameEras()
			// The first answers that name an era are no return.
			time.Sleep(time.Second)
			copied := r.store.Copy()
			version := r.writeAfterCopy(t, holder)

			if tc.trouble != nil {
				tc.trouble(r)
			}
			for range tc.again + 1 {
				r.returnFrom(copied, tc.away, tc.writes)
			}
			returned := time.Now()
			for time.Since(returned) < rewriteDelay {
				assert.Equal(t, r.forgotten(holder, version), "")
				time.Sleep(5 * time.Millisecond)
			}
			r.store.WriteAgain(copied)
			rewritten := time.Now()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if forgotten := r.forgotten(holder, version); forgotten != "" {
					return poll.Error(errors.New(forgotten))
				}
				switch _, isNewServerKnown := r.pool.Get("new", time.Now()); {
				case !isNewServerKnown:
					return poll.Continue("the new server to be known")
				case !r.pool.IsLeaving("s7"):
					return poll.Continue("the server that leaves after the return to be known")
				}
				return poll.Success()
			}, poll.WithTimeout(agreeTime), poll.WithDelay(5*time.Millisecond))
			t.Logf("known %s after the writes", time.Since(rewritten))
			next := r.put(0)
			changed := time.Now()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if table, _ := holder.View(); table.Version < next {
					return poll.Continue("the next table to be in force")
				}
				return poll.Success()
			}, poll.WithTimeout(leavingTime), poll.WithDelay(5*time.Millisecond))
			t.Logf("next table in force after %s", time.Since(changed))
		})
	}
}

// writeAfterCopy writes what the copy lacks, and waits until the host knows it. It returns the version of the table.
func (r *tableRig) writeAfterCopy(t *testing.T, holder *policy.Holder) int64 {
	t.Helper()
	r.putServer("s0", "draining")
	r.store.Delete("servers", "s1")
	r.putServer("new", "healthy")
	r.store.Put("evacuations", "d2", map[string]any{})
	version := r.put(0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		table, _ := holder.View()
		_, isNewServerKnown := r.pool.Get("new", time.Now())
		_, isGoneServerKnown := r.pool.Get("s1", time.Now())
		if table.Version < version || !isNewServerKnown || !r.pool.IsLeaving("s0") || isGoneServerKnown || len(r.pool.Evacuated()) == 0 {
			return poll.Continue("the host to know all that was written: table %d of %d, new server %t, leaving %t, gone one %t, evacuated %v",
				table.Version, version, isNewServerKnown, r.pool.IsLeaving("s0"), isGoneServerKnown, r.pool.Evacuated())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	// The servers' entries may not have been there for as long as hosts allow for entries that vanish beside an outage.
	time.Sleep(100 * time.Millisecond)
	return version
}

// returnFrom makes the store come back from a copy. The first write after it, of a server that leaves, has a revision that hosts have
// already read of another change.
func (r *tableRig) returnFrom(copied *plat.Copy, away time.Duration, writes int) {
	r.store.SetOutage(plat.Busy)
	time.Sleep(away)
	r.store.Return(copied)
	r.putServer("s7", "draining")
	for i := range writes {
		r.store.Put("notes", fmt.Sprint(i), map[string]any{"at": time.Now().UnixNano()})
	}
	r.store.SetOutage(plat.Up)
}

// forgotten returns what the host has forgotten of what it had learned before the store's return; empty for nothing.
func (r *tableRig) forgotten(holder *policy.Holder, version int64) string {
	if table, _ := holder.View(); table.Version < version {
		return fmt.Sprintf("table %d after %d", table.Version, version)
	}
	for _, id := range []string{"s0", "s1"} {
		if _, isAvailable := r.pool.Get(id, time.Now()); isAvailable {
			return fmt.Sprintf("server %s, which leaves or is gone, takes requests again", id)
		}
	}
	if evacuated := r.pool.Evacuated(); !slices.Equal(evacuated, []string{"d2"}) {
		return fmt.Sprintf("failure domains %v are out, not d2", evacuated)
	}
	return ""
}
