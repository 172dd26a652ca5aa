package gossip

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// TestStatementsThatWaitedForAPausedHostAreNotNews guards against limits that have ended and are in force again at all hosts.
func TestStatementsThatWaitedForAPausedHostAreNotNews(t *testing.T) {
	for _, isSummary := range []bool{false, true} {
		log := slog.New(slog.DiscardHandler)
		now := time.Hour
		g := New()
		g.Self, g.Domain, g.Log, g.Pool, g.Crashes = "h1", "d1", log, &pool.Pool{}, &crash.Table{Log: log}
		g.Notices = &notice.Table{Log: log, Now: func() time.Duration { return now }}
		from := netip.MustParseAddrPort("127.0.0.1:9")
		sequence := uint64(0)
		receive := func(server string) {
			sequence++
			reports := []notice.Report{{Server: server, Service: "mill", Limit: 2, UnlimitedAgeMS: -1, LeavingAgeMS: -1}}
			if isSummary {
				g.applySummary(message{}, Summary{Host: "h2", Domain: "d2", Sequence: sequence, Notices: reports}, from)
				return
			}
			g.merge(Digest{Host: "h2", Domain: "d2", Sequence: sequence, Notices: reports}, from)
		}
		g.pauses.tick(time.Now().Add(-3 * time.Second))
		receive("s1")
		g.pauses.tick(time.Now())
		receive("s2")
		assert.Assert(t, !g.Notices.IsLimited("s1") && !g.Notices.IsLimited("s2"), "reports have waited for three seconds")
		time.Sleep(queueReadTime)
		g.pauses.tick(time.Now())
		receive("s3")
		assert.Assert(t, g.Notices.IsLimited("s3"))
	}
}
