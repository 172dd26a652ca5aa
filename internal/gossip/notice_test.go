package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/notice"
)

func TestStatementsReachAllHosts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hosts int
	}{{"mesh", 4}, {"relays", 24}} {
		t.Run(tc.name, func(t *testing.T) {
			all := startLarge(t, tc.hosts)
			for _, m := range all {
				eventually(t, m.Self+" to know the others", func() bool { return m.LiveCount() == tc.hosts })
			}
			last := all[len(all)-1]
			last.Notices.OnChange = last.BroadcastNow
			began := time.Now()
			last.Notices.Heard(notice.Server{ID: "s1", Service: "mill"}, notice.Statement{Limit: 2})
			last.Notices.Heard(notice.Server{ID: "s2", Service: "mill"}, notice.Statement{IsLeaving: true})
			for _, m := range all {
				eventually(t, m.Self+" to know what both servers state", func() bool { return m.Notices.IsLimited("s1") && m.Notices.IsLeaving("s2", 0) })
			}
			assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
			late := startIn(t, unreachableRegistry{}, "late", "d1", 0.2, false, all[0].Address, all[1].Address)
			eventually(t, "a host that starts later to know them", func() bool { return late.Notices.IsLimited("s1") && late.Notices.IsLeaving("s2", 0) })
		})
	}
}

// TestHostsShareALimitByTheirRequests checks that the parts of all hosts add up to about the limit. All hosts share it, since four times
// the limit is just below their 100 requests a second.
func TestHostsShareALimitByTheirRequests(t *testing.T) {
	all := startLarge(t, 4)
	for _, m := range all {
		eventually(t, m.Self+" to know the others", func() bool { return m.LiveCount() == 4 })
	}
	for i, m := range all {
		for range 100 * (i + 1) {
			m.Budget.Arrived("mill")
		}
	}
	eventually(t, "the hosts to share by their requests", func() bool {
		sum, isOrdered, last := 0.0, true, 0.0
		for _, m := range all {
			part := m.LimitShare("s1", "mill", 24.9)
			isOrdered = isOrdered && part > last
			last = part
			sum += part
		}
		return isOrdered && sum > 0.9 && sum < 1.3
	})
}

// TestHostsThatLoseTheOthersKeepTheirPartOfALimit guards against hosts that each take a whole limit because they are cut off or have
// lost their relays.
func TestHostsThatLoseTheOthersKeepTheirPartOfALimit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hosts int
	}{{"mesh", 6}, {"relays", 24}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			all := startLarge(t, tc.hosts)
			for _, m := range all {
				for range 100 {
					m.Budget.Arrived("mill")
				}
			}
			last := all[len(all)-1]
			part := func() float64 { return last.LimitShare("s1", "mill", 60) }
			eventually(t, "the host to know all requests", func() bool {
				sends, others := last.Sends("mill")
				return others == tc.hosts-1 && sends.Arrivals == 100*others && part() <= 2/float64(tc.hosts)
			})
			for _, m := range all[:len(all)-1] {
				m.stop()
			}
			for began := time.Now(); time.Since(began) < 2*unresponsiveAfter; time.Sleep(100 * time.Millisecond) {
				assert.Assert(t, part() <= 2/float64(tc.hosts), "%.2f after %s", part(), time.Since(began))
			}
		})
	}
}
