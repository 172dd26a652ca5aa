package poison_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	killer   = poison.Fingerprint(1)
	harmless = poison.Fingerprint(2)
)

func isBarred(t *testing.T, table *poison.Table, f poison.Fingerprint) bool {
	t.Helper()
	err := table.Check(t.Context(), f)
	return errors.Is(err, &refuse.Error{Code: refuse.CodeQuarantined})
}

func TestBarring(t *testing.T) {
	tests := []struct {
		name  string
		steps func(table *poison.Table)
		// killer and harmless tell which of them must be barred afterwards.
		killer, harmless bool
	}{
		{"one death bars nothing", func(table *poison.Table) {
			table.Started(killer, "a").Died()
		}, false, false},
		{"two deaths bar", func(table *poison.Table) {
			table.Started(killer, "a").Died()
			time.Sleep(time.Second)
			table.Started(killer, "b").Died()
		}, true, false},
		{"a harmless request ran along at one death", func(table *poison.Table) {
			k, i := table.Started(killer, "a"), table.Started(harmless, "a")
			k.Died()
			i.Died()
			time.Sleep(time.Second)
			table.Started(killer, "b").Died()
			table.Started(harmless, "c").Ended(true)
		}, true, false},
		{"a harmless request ran along at both deaths and got past its mark", func(table *poison.Table) {
			k, i := table.Started(killer, "a"), table.Started(harmless, "a")
			k.Died()
			i.Died()
			time.Sleep(time.Second)
			i = table.Started(harmless, "b")
			i.SetTokens(1)
			table.Started(killer, "b").Died()
			i.Died()
		}, true, false},
		{"two runs ended in one death", func(table *poison.Table) {
			first, second := table.Started(harmless, "a"), table.Started(harmless, "a")
			time.Sleep(time.Second)
			first.Died()
			second.Died()
		}, false, false},
		{"the same backend server died twice", func(table *poison.Table) {
			table.Started(killer, "a").Died()
			time.Sleep(time.Millisecond)
			k := table.Started(killer, "a")
			time.Sleep(time.Millisecond)
			k.Died()
		}, true, false},
		{"only connections failed", func(table *poison.Table) {
			for range 3 {
				r := table.Started(harmless, "a")
				r.Interrupted()
				r.Survived()
			}
		}, false, false},
		{"marks expire", func(table *poison.Table) {
			table.Started(killer, "a").Died()
			time.Sleep(time.Hour)
			table.Started(killer, "b").Died()
		}, false, false},
		{"eviction of suspects keeps barred fingerprints", func(table *poison.Table) {
			table.Started(killer, "a").Died()
			time.Sleep(time.Second)
			table.Started(killer, "b").Died()
			for f := range poison.Fingerprint(10000) {
				table.Started(f+10, "a").Died()
			}
		}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &poison.Table{}
				tt.steps(table)
				assert.Equal(t, isBarred(t, table, killer), tt.killer)
				assert.Equal(t, isBarred(t, table, harmless), tt.harmless)
			})
		})
	}
}

func TestCheckWaitsForPendingVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &poison.Table{}
		table.Started(killer, "a").Died()
		time.Sleep(time.Second)
		r := table.Started(killer, "b")
		r.Interrupted()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			time.Sleep(300 * time.Millisecond)
			r.Died()
		}()
		assert.Assert(t, isBarred(t, table, killer))
		<-ended
	})
}

func TestSuspectsOfOneDeathRunOnDifferentBackends(t *testing.T) {
	table := &poison.Table{}
	k, i := table.Started(killer, "a"), table.Started(harmless, "a")
	k.Died()
	i.Died()
	k = table.Started(killer, "b")
	assert.DeepEqual(t, table.Avoid(harmless), []string{"b"})
	assert.Equal(t, len(table.Avoid(poison.Fingerprint(3))), 0)
	k.Ended(false)
	assert.Equal(t, len(table.Avoid(harmless)), 0)
}

// mesh delivers messages between hosts after a delay.
type mesh struct {
	gossips map[string]*poison.Gossip
	delay   time.Duration
}

func (m *mesh) Send(out ...peer.Outgoing) {
	for _, o := range out {
		time.AfterFunc(m.delay, func() { m.gossips[o.To].Receive(context.Background(), peer.Sender{}, o.Message) })
	}
}

func TestQuarantineReachesAllHostsWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{gossips: make(map[string]*poison.Gossip), delay: 20 * time.Millisecond}
		hosts := &board.Hosts{}
		for i := range 8 {
			name := "h" + strconv.Itoa(i)
			hosts.Put(board.Host{Name: name, State: board.HostLive})
			g := &poison.Gossip{Self: name, Hosts: hosts, Out: m, Table: &poison.Table{}}
			g.Table.Broadcaster = g
			m.gossips[name] = g
		}
		first, second := m.gossips["h0"].Table, m.gossips["h1"].Table
		k, i := first.Started(killer, "a"), first.Started(harmless, "a")
		k.Died()
		i.Died()
		time.Sleep(time.Second)
		k, i = second.Started(killer, "b"), second.Started(harmless, "c")
		i.SetTokens(1)
		k.Died()
		time.Sleep(time.Second)
		for name, g := range m.gossips {
			assert.Assert(t, isBarred(t, g.Table, killer), name)
			assert.Equal(t, len(g.Table.Avoid(harmless)), 0, name)
		}
		m.gossips["h2"].Table.Started(harmless, "d").Died()
		assert.Assert(t, !isBarred(t, m.gossips["h2"].Table, harmless))
	})
}
