package watch

import (
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// sinks are the sinks of one host.
type sinks struct {
	pool    *pool.Pool
	holder  *policy.Holder
	tables  *Tables
	servers *Servers
	domains *Evacuations
}

func newSinks() *sinks {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s := &sinks{pool: &pool.Pool{Domain: "d1", Region: "east"}, holder: &policy.Holder{}}
	s.tables = &Tables{Holder: s.holder, Log: log}
	s.servers = &Servers{Pool: s.pool, Health: &Health{Log: log}, Log: log}
	s.domains = &Evacuations{Pool: s.pool, Log: log}
	return s
}

func (s *sinks) isAvailable(id string) bool {
	_, ok := s.pool.Get(id, time.Now())
	return ok
}

func newServer(id string, started, sequence int64, isLeaving bool) pool.Server {
	return pool.Server{
		ID: id, Service: "model", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d1", Region: "east", Slots: 8,
		StartedMS: started, Sequence: sequence, Draining: isLeaving,
	}
}

func position(era, revision int64) epoch.Position {
	return epoch.Position{Era: era, Revision: revision}
}

// TestServersAfterAReturn guards against servers that take requests again because a copy of the store shows an earlier state of them, and
// against servers that are given up although they live.
func TestServersAfterAReturn(t *testing.T) {
	healthy, leaving := newServer("a", 100, 4, false), newServer("a", 100, 5, true)
	for _, tc := range []struct {
		name string
		// before are the entries that the host has read before the return, in order; nil means that the entry was removed.
		before []*pool.Server
		// copied is the entry in the copy, nil for none; after is what the server writes a second later, nil for nothing.
		copied, after *pool.Server
		// isAvailable is whether it takes requests at once, after 1.5 s and after 10 s.
		isAvailable [3]bool
	}{
		{"healthy, in the copy too", []*pool.Server{&healthy}, &healthy, nil, [3]bool{true, true, true}},
		{"leaving, healthy in the copy, and its entry is kept", []*pool.Server{&healthy, &leaving}, &healthy, nil, [3]bool{false, false, true}},
		{"leaving, and says so again", []*pool.Server{&healthy, &leaving}, &healthy, &leaving, [3]bool{}},
		{"leaving, healthy in the copy, and says that it is healthy", []*pool.Server{&healthy, &leaving}, &healthy, new(newServer("a", 100, 6, false)), [3]bool{false, true, true}},
		{"leaving, in the copy too", []*pool.Server{&leaving}, &leaving, nil, [3]bool{}},
		{"gone, in the copy, and writes", []*pool.Server{&healthy, nil}, &healthy, new(newServer("a", 100, 5, false)), [3]bool{false, true, true}},
		{"gone, in the copy, and its entry is kept", []*pool.Server{&healthy, nil}, &healthy, nil, [3]bool{false, false, true}},
		{"gone, in the copy with a later state", []*pool.Server{&healthy, nil}, new(newServer("a", 100, 9, false)), nil, [3]bool{true, true, true}},
		{"gone, and a later lifetime in the copy", []*pool.Server{&healthy, nil}, new(newServer("a", 900, 1, false)), nil, [3]bool{true, true, true}},
		{"an earlier lifetime in the copy", []*pool.Server{new(newServer("a", 900, 1, false))}, &healthy, nil, [3]bool{true, true, false}},
		{"an earlier lifetime in the copy, and writes", []*pool.Server{new(newServer("a", 900, 1, false))}, &healthy, new(newServer("a", 900, 2, false)), [3]bool{true, true, true}},
		{"new, not in the copy, and writes", []*pool.Server{&healthy}, nil, &healthy, [3]bool{true, true, true}},
		{"new, not in the copy, and writes nothing", []*pool.Server{&healthy}, nil, nil, [3]bool{true, true, false}},
		{"not known", nil, &healthy, nil, [3]bool{true, true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSinks()
				s.servers.Replace(Batch[pool.Server]{At: position(1, 1)}, 0)
				for _, entry := range tc.before {
					if entry == nil {
						s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Removed: []string{"a"}}, 0)
					} else {
						s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Changed: []pool.Server{*entry}}, 0)
					}
				}
				time.Sleep(time.Second)
				list := Batch[pool.Server]{At: position(2, 1)}
				if tc.copied != nil {
					list.Changed = []pool.Server{*tc.copied}
				}
				s.servers.Replace(list, 0)
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[0], "at once")
				time.Sleep(time.Second)
				if tc.after != nil {
					s.servers.Apply(Batch[pool.Server]{At: position(2, 2), Changed: []pool.Server{*tc.after}}, 0)
				}
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[1], "after 1.5 s")
				for range 9 {
					time.Sleep(time.Second)
					s.servers.Apply(Batch[pool.Server]{At: position(2, 2)}, 0)
				}
				assert.Equal(t, s.isAvailable("a"), tc.isAvailable[2], "after 10 s")
			})
		})
	}
}

// TestServerRemovedWhileItIsHeldBackStaysGone guards against a server that is gone, whose entry in the copy the store has removed too.
func TestServerRemovedWhileItIsHeldBackStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSinks()
		healthy := newServer("a", 100, 4, false)
		s.servers.Replace(Batch[pool.Server]{At: position(1, 1), Changed: []pool.Server{healthy}}, 0)
		s.servers.Apply(Batch[pool.Server]{At: position(1, 2), Removed: []string{"a"}}, 0)
		s.servers.Replace(Batch[pool.Server]{At: position(2, 1), Changed: []pool.Server{healthy}}, 0)
		s.servers.Apply(Batch[pool.Server]{At: position(2, 2), Removed: []string{"a"}}, 0)
		time.Sleep(2 * silenceTime)
		s.servers.Apply(Batch[pool.Server]{At: position(2, 2)}, 0)
		assert.Assert(t, !s.isAvailable("a"))
	})
}

// TestEvacuationsAfterAReturn guards against failure domains that are in or out again because a copy of the store shows an earlier state.
func TestEvacuationsAfterAReturn(t *testing.T) {
	order := func(revision int64) []Evacuation { return []Evacuation{{Domain: "d2", Revision: revision}} }
	for _, tc := range []struct {
		name   string
		before func(e *Evacuations)
		copied []Evacuation
		after  func(e *Evacuations)
		// isOut is whether the domain is out at once, after what is written, and after a minute.
		isOut [3]bool
	}{
		{"out, in the copy too", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, order(5), nil, [3]bool{true, true, true}},
		{
			"out, not in the copy, and written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil,
			func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 4), Changed: order(4)}, 0) },
			[3]bool{true, true, true},
		},
		{"out, not in the copy, not written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil, nil, [3]bool{true, true, false}},
		{
			"taken back, in the copy", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5), func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 4), Removed: []string{"d2"}}, 0) }, [3]bool{},
		},
		{
			"taken back, in the copy, and not taken back again", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5), nil, [3]bool{false, false, true},
		},
		{
			"taken back, in the copy, and ordered again", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(5),
			func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(2, 9), Changed: order(9)}, 0) },
			[3]bool{false, true, true},
		},
		{
			"taken back, and ordered before the first list", func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0)
				e.Apply(Batch[Evacuation]{At: position(1, 6), Removed: []string{"d2"}}, 0)
			}, order(7), nil, [3]bool{true, true, true},
		},
		{
			"out, not in the copy, and taken back after it was written again", func(e *Evacuations) { e.Apply(Batch[Evacuation]{At: position(1, 5), Changed: order(5)}, 0) }, nil,
			func(e *Evacuations) {
				e.Apply(Batch[Evacuation]{At: position(2, 4), Changed: order(4)}, 0)
				e.Apply(Batch[Evacuation]{At: position(2, 5), Removed: []string{"d2"}}, 0)
			},
			[3]bool{true, false, false},
		},
		{"not known", func(*Evacuations) {}, order(3), nil, [3]bool{true, true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSinks()
				s.domains.Replace(Batch[Evacuation]{At: position(1, 1)}, 0)
				tc.before(s.domains)
				isOut := func() bool { return slices.Contains(s.pool.Evacuated(), "d2") }
				s.domains.Replace(Batch[Evacuation]{At: position(2, 3), Changed: tc.copied}, 0)
				assert.Equal(t, isOut(), tc.isOut[0], "at once")
				// A list of the same era shows the copy once more.
				s.domains.Replace(Batch[Evacuation]{At: position(2, 3), Changed: tc.copied}, 0)
				assert.Equal(t, isOut(), tc.isOut[0], "after a second list")
				if tc.after != nil {
					tc.after(s.domains)
				}
				assert.Equal(t, isOut(), tc.isOut[1], "after what is written")
				time.Sleep(time.Minute)
				s.domains.Apply(Batch[Evacuation]{At: position(2, 9)}, 0)
				assert.Equal(t, isOut(), tc.isOut[2], "after a minute")
			})
		})
	}
}

// TestOlderTableOfACopyConfirmsNothing guards against keys that were withdrawn and count as confirmed by a copy of the store that still
// holds them.
func TestOlderTableOfACopyConfirmsNothing(t *testing.T) {
	batch := func(era, version int64) Batch[*policy.Table] {
		b := Batch[*policy.Table]{At: position(era, version)}
		if version > 0 {
			b.Changed = []*policy.Table{{Version: version}}
		}
		return b
	}
	s := newSinks()
	s.tables.Replace(batch(1, 8), time.Second)
	s.tables.Replace(batch(2, 7), 2*time.Second)
	s.tables.Apply(batch(2, 0), 3*time.Second)
	table, confirmed := s.holder.View()
	assert.Equal(t, table.Version, int64(8))
	assert.Equal(t, confirmed, time.Second, "nothing confirms version 8")
	s.tables.Apply(batch(2, 8), 4*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 4*time.Second, "written again")
	s.tables.Replace(batch(3, 0), 5*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 4*time.Second, "a copy without a table")
	s.tables.Apply(batch(3, 9), 6*time.Second)
	table, confirmed = s.holder.View()
	assert.Equal(t, table.Version, int64(9))
	assert.Equal(t, confirmed, 6*time.Second)
	s.tables.Replace(batch(3, 9), 7*time.Second)
	_, confirmed = s.holder.View()
	assert.Equal(t, confirmed, 7*time.Second, "the same era")
}
