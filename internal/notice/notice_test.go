package notice

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTable returns a table whose time the test sets, and the only host's share.
func newTable(now *time.Duration) *Table {
	return &Table{Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return *now }, Phase: func() float64 { return 0 }}
}

func TestLimitEndsOnceAnswersStateNone(t *testing.T) {
	now := time.Hour
	table, server := newTable(&now), Server{ID: "s1", Service: "mill", StartedMS: 5}
	assert.Equal(t, table.Wait("s1", false), time.Duration(0))
	table.Heard(server, Statement{})
	assert.Assert(t, !table.IsLimited("s1"))
	table.Heard(server, Statement{Limit: 2})
	assert.Assert(t, table.IsLimited("s1"))
	now += time.Second
	table.Heard(server, Statement{})
	assert.Assert(t, table.IsLimited("s1"), "an answer of about the same time ends no limit")
	now += endDelay
	table.Heard(server, Statement{})
	assert.Assert(t, !table.IsLimited("s1"))

	table.Heard(server, Statement{Limit: 2})
	table.Heard(Server{ID: "s1", StartedMS: 6}, Statement{})
	assert.Assert(t, !table.IsLimited("s1"), "the next incarnation has stated nothing")
}

func TestSendsFollowTheLimit(t *testing.T) {
	now := time.Hour
	table := newTable(&now)
	table.Heard(Server{ID: "s1"}, Statement{Limit: 2})
	assert.Equal(t, table.Wait("s1", false), 500*time.Millisecond)
	assert.Equal(t, table.Wait("s1", true), time.Duration(0), "a resumed run takes the next send in advance")
	table.Sent("s1")
	assert.Equal(t, table.Wait("s1", false), time.Second)
	assert.Equal(t, table.Wait("s1", true), 500*time.Millisecond)
	now += time.Second
	assert.Equal(t, table.Wait("s1", false), time.Duration(0))
	now += time.Minute
	for range 2 {
		assert.Equal(t, table.Wait("s1", false), time.Duration(0), "two sends may be saved")
		table.Sent("s1")
	}
	assert.Assert(t, table.Wait("s1", false) > 0)
}

func TestHostsLearnLimitsFromOthers(t *testing.T) {
	now, later := time.Hour, 9*time.Hour
	first, second := newTable(&now), newTable(&later)
	changes := 0
	second.OnChange = func() { changes++ }
	first.Heard(Server{ID: "s1", Service: "mill"}, Statement{Limit: 2})
	now += 300 * time.Millisecond
	second.Merge("h1", first.Report())
	second.Merge("h1", first.Report())
	assert.Assert(t, second.IsLimited("s1"))
	assert.Equal(t, changes, 1)
	for range 20 {
		now, later = now+endDelay, later+endDelay
		first.Merge("h2", second.Report())
		second.Merge("h1", first.Report())
	}
	first.Heard(Server{ID: "s1", Service: "mill"}, Statement{})
	second.Merge("h1", first.Report())
	assert.Assert(t, !second.IsLimited("s1"), "the end is news to others")
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Hour
	table := newTable(&now)
	for i := range 2 * maxServers {
		table.Heard(Server{ID: string(rune('A' + i))}, Statement{Limit: 1})
	}
	assert.Equal(t, len(table.servers), maxServers)
	assert.Equal(t, len(table.Report()), MaxReported)
	now += 2 * forgetAfter
	assert.Equal(t, len(table.Report()), 0)
	table.Merge("h1", []Report{{Server: "s1", Limit: -1}, {Limit: 1}, {Server: "s2", Limit: 1, LimitedAgeMS: 1 << 60, UnlimitedAgeMS: -1, LeavingAgeMS: -1}})
	assert.Assert(t, !table.IsLimited("s1") && !table.IsLimited("s2"))
}

func TestLeavingLastsForTheIncarnation(t *testing.T) {
	now, later := time.Hour, 9*time.Hour
	table, other := newTable(&now), newTable(&later)
	server := Server{ID: "s1", Service: "mill", StartedMS: 5}
	table.Heard(server, Statement{IsLeaving: true})
	table.Heard(server, Statement{})
	now += 5 * time.Second
	assert.Assert(t, table.IsLeaving("s1", 5), "a server may state it in some answers only")
	assert.Assert(t, !table.IsLeaving("s1", 6), "the next incarnation has stated nothing")
	other.Merge("h1", table.Report())
	assert.Assert(t, other.IsLeaving("s1", 5))
	other.Heard(Server{ID: "s1", StartedMS: 6}, Statement{Limit: 1})
	other.Merge("h1", table.Report())
	other.Heard(server, Statement{IsLeaving: true})
	assert.Assert(t, !other.IsLeaving("s1", 6), "older reports and answers don't count")
	assert.Equal(t, table.Wait("s1", false), time.Duration(0))
}

func TestPausesAreKept(t *testing.T) {
	now := time.Hour
	table, server := newTable(&now), Server{ID: "s1", StartedMS: 5}
	table.Heard(server, Statement{Pause: 10 * time.Second})
	table.Heard(server, Statement{Pause: time.Second})
	table.Heard(server, Statement{})
	now += 2 * time.Second
	assert.Equal(t, table.Wait("s1", false), 8*time.Second)
	assert.Equal(t, table.Wait("s1", true), time.Duration(0), "one run may be resumed")
	table.Sent("s1")
	assert.Equal(t, table.Wait("s1", true), 8*time.Second)
	now += 8 * time.Second
	assert.Equal(t, table.Wait("s1", false), time.Duration(0))
	table.Heard(server, Statement{Pause: 10 * time.Second})
	assert.Equal(t, len(table.Report()[0].Server), 2)
	other := newTable(&now)
	other.Merge("h1", table.Report())
	assert.Equal(t, other.Wait("s1", false), time.Duration(0), "a pause concerns the host that was told")
	table.Heard(Server{ID: "s1", StartedMS: 6}, Statement{Limit: 100})
	now += time.Second
	assert.Equal(t, table.Wait("s1", false), time.Duration(0), "the next incarnation has asked for none")
}

// TestHostOnAMachineThatHasJustBootedLearnsWhatIsOlder guards against reports that are dropped for their age.
func TestHostOnAMachineThatHasJustBootedLearnsWhatIsOlder(t *testing.T) {
	now, justBooted := time.Hour, 2*time.Second
	table, other := newTable(&now), newTable(&justBooted)
	table.Heard(Server{ID: "s1"}, Statement{IsLeaving: true})
	table.Heard(Server{ID: "s2"}, Statement{Limit: 2})
	now += 20 * time.Second
	other.Merge("h1", table.Report())
	assert.Assert(t, other.IsLeaving("s1", 0))
	assert.Assert(t, other.IsLimited("s2"))
}

// TestLeavingIsRememberedWhileTheServerIsListed guards against requests to a server that takes long to leave.
func TestLeavingIsRememberedWhileTheServerIsListed(t *testing.T) {
	now := time.Hour
	table := newTable(&now)
	table.Heard(Server{ID: "s1", StartedMS: 5}, Statement{IsLeaving: true})
	table.Heard(Server{ID: "s2", StartedMS: 5}, Statement{IsLeaving: true})
	for range 30 {
		now += time.Minute
		assert.Assert(t, table.IsLeaving("s1", 5), now)
		table.Report()
	}
	assert.Equal(t, len(table.servers), 1, "a server that no caller asks about is forgotten")
}

// TestStartTimeThatIsLearnedLater guards against statements that are kept for an incarnation of unknown start.
func TestStartTimeThatIsLearnedLater(t *testing.T) {
	now := time.Hour
	table := newTable(&now)
	table.Heard(Server{ID: "s1"}, Statement{Limit: 2})
	table.Heard(Server{ID: "s1", StartedMS: 5}, Statement{IsLeaving: true})
	assert.Assert(t, table.IsLeaving("s1", 5))
}
