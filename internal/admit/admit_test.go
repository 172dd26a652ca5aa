package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const assay = "assay"

func newLedger(rows ...config.Row) *Ledger {
	l := NewLedger()
	table := make(map[board.RowKey]config.Row)
	for _, r := range rows {
		r.Service = assay
		table[board.RowKey{Workspace: r.Workspace, Service: assay}] = r
	}
	l.Configure(table)
	return l
}

func (l *Ledger) account(workspace string) *Account {
	return l.Account(board.RowKey{Workspace: workspace, Service: assay})
}

// TestIdleRowGetsNoCreditForIdleTime checks that a row that was idle while others were served gets no credit for the
// idle time beyond a short burst.
func TestIdleRowGetsNoCreditForIdleTime(t *testing.T) {
	now := time.Unix(1, 0)
	l := newLedger(config.Row{Workspace: "busy", Weight: 1}, config.Row{Workspace: "idle", Weight: 1})
	busy, idle := l.account("busy"), l.account("idle")
	busy.Waiting = 1
	for range 100 {
		busy.Charge(1000, now)
		now = now.Add(time.Second)
	}
	idle.RaiseCounter()
	behind := busy.VirtualCounter() - idle.VirtualCounter()
	assert.Assert(t, behind > 0 && behind < 5000, "%v tokens behind after 100,000", behind)
}

// TestDigests checks that two ledgers agree after digests, also when these arrive late and in parts.
func TestDigests(t *testing.T) {
	now := time.Unix(1, 0)
	rows := []config.Row{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 4}, {Workspace: "c", Weight: 2}}
	one, two := newLedger(rows...), newLedger(rows...)
	one.account("a").Charge(100, now)
	one.account("b").Charge(9000, now)
	one.account("c").Charge(500, now)
	d := one.Digest("two", 1)
	assert.Equal(t, d.GetUsages()[0].GetWorkspace(), "b", "the largest change goes first")
	two.Merge("one", d, now)
	for d := one.Digest("two", 1); d != nil; d = one.Digest("two", 1) {
		two.Merge("one", d, now)
	}
	for _, w := range []string{"a", "b", "c"} {
		assert.Equal(t, two.account(w).VirtualCounter(), one.account(w).VirtualCounter())
	}
	one.account("a").Charge(-40, now)
	two.Merge("one", one.Digest("two", 1), now)
	assert.Equal(t, two.account("a").VirtualCounter(), 60.0)
}

func TestLimits(t *testing.T) {
	now := time.Unix(1, 0)
	l := newLedger(config.Row{Workspace: "rate", Weight: 1, TokensPerSecond: 100}, config.Row{Workspace: "two", Weight: 1, MaxRunning: 2})
	rate, two := l.account("rate"), l.account("two")
	assert.Assert(t, rate.CanStart(now, 1))
	rate.Charge(300, now)
	assert.Assert(t, !rate.CanStart(now.Add(time.Second), 1))
	assert.Assert(t, rate.CanStart(now.Add(4*time.Second), 1))
	two.RecordGrant(now)
	assert.Assert(t, two.CanStart(now, 1))
	two.RecordGrant(now)
	assert.Assert(t, !two.CanStart(now.Add(time.Hour), 1))
}
