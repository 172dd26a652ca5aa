package mirror

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// book is a Store whose answers the test sets.
type book struct {
	batch Batch
	err   error
	calls int
}

func (b *book) List(context.Context, string) (Batch, error) {
	b.calls++
	return b.batch, b.err
}

func (b *book) Changes(context.Context, string, int64, time.Duration) (Batch, error) {
	b.calls++
	return b.batch, b.err
}

// reads names the reading host; nil for this one.
type reads struct {
	host *Host
	// second tells that another host is the one to read.
	second bool
	// early tells that the hosts have not met yet.
	early bool
}

func (r *reads) Reader() (Host, bool) {
	if r.host == nil {
		return Host{}, false
	}
	return *r.host, true
}

func (r *reads) IsPreferredReader() bool { return r.host == nil && !r.second }

func (r *reads) MayRead() bool { return !r.early }

func (r *reads) Hosts() int { return 60 }

func newMirror(st Store, r Readers) *Mirror {
	return &Mirror{Store: st, Readers: r, Link: &Link{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

func document(name string, revision int64) Document {
	return Document{Name: name, Revision: revision, Body: []byte(name)}
}

// serve answers from a mirror at an address of its own.
func serve(t *testing.T, m *Mirror) Host {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := &Server{Mirror: m, Address: address}
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		if err != nil {
			return poll.Continue("the host to listen")
		}
		assert.NilError(t, conn.Close())
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	return Host{Name: "reader", Address: address}
}

func TestHostsReadThroughOne(t *testing.T) {
	store := &book{batch: Batch{Revision: 10, Changed: []Document{document("a", 3), document("b", 9)}}}
	reader := newMirror(store, &reads{})
	_, err := reader.List(t.Context(), "k")
	assert.NilError(t, err)
	host := serve(t, reader)

	own := &book{err: errors.New("not to be called")}
	follower := newMirror(own, &reads{host: &host})
	t.Cleanup(follower.Link.Close)
	b, err := follower.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changed), 2)
	assert.Equal(t, b.Revision, int64(10))
	assert.Assert(t, b.Age > 0 && b.Age < time.Second)

	store.batch = Batch{Revision: 12, Changed: []Document{document("c", 12)}, Removed: []string{"a"}}
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = reader.Changes(context.Background(), "k", 10, 0)
	}()
	b, err = follower.Changes(t.Context(), "k", 10, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Changed[0].Name, "c")
	assert.DeepEqual(t, b.Removed, []string{"a"})
	assert.Equal(t, own.calls, 0)
}

func TestFollowerReadsForItselfWhenItsReaderFails(t *testing.T) {
	var lc net.ListenConfig
	silent, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	tests := []struct {
		name   string
		reader func(t *testing.T) Host
	}{
		{"reader that is gone", func(*testing.T) Host {
			return Host{Name: "gone", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		}},
		{"reader that is silent", func(*testing.T) Host {
			return Host{Name: "silent", Address: netip.MustParseAddrPort(silent.Addr().String())}
		}},
		{"reader that has read nothing", func(t *testing.T) Host { return serve(t, newMirror(&book{}, &reads{})) }},
		{"reader whose reading is old", func(t *testing.T) Host {
			m := newMirror(&book{}, &reads{})
			m.cache("k").replace(Batch{Revision: 5}, ticks.Now()-2*maxAge)
			return serve(t, m)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			host := tc.reader(t)
			store := &book{batch: Batch{Revision: 7}}
			m := newMirror(store, &reads{host: &host})
			t.Cleanup(m.Link.Close)
			b, err := m.Changes(t.Context(), "k", 5, 10*time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, b.Revision, int64(7))
			_, err = m.Changes(t.Context(), "k", 7, 10*time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, store.calls, 2)
		})
	}
}

func TestCacheKnowsWhatItMissed(t *testing.T) {
	c := newCache()
	_, err := c.read(t.Context(), 0, 0)
	assert.ErrorIs(t, err, ErrNotReading)
	c.replace(Batch{Revision: 10, Changed: []Document{document("a", 3)}}, ticks.Now())
	_, err = c.read(t.Context(), 9, 0)
	assert.ErrorIs(t, err, ErrHistoryGone, "removals before the list are not known")
	c.apply(Batch{Revision: 12, Removed: []string{"a"}}, 10, ticks.Now())
	b, err := c.read(t.Context(), 10, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, b.Removed, []string{"a"})
	b, err = c.read(t.Context(), 20, 0)
	assert.NilError(t, err, "whoever is ahead waits")
	assert.Equal(t, len(b.Removed), 0)
	c.apply(Batch{Revision: 30}, 25, ticks.Now())
	_, err = c.read(t.Context(), 12, 0)
	assert.ErrorIs(t, err, ErrNotReading, "changes between 12 and 25 were missed")
}

func TestHostThatBecomesReaderListsFirst(t *testing.T) {
	store := &book{batch: Batch{Revision: 7}}
	m := newMirror(store, &reads{})
	_, err := m.Changes(t.Context(), "k", 5, 0)
	assert.ErrorIs(t, err, ErrHistoryGone)
	_, err = m.List(t.Context(), "k")
	assert.NilError(t, err)
	_, err = m.Changes(t.Context(), "k", 7, 0)
	assert.NilError(t, err)
	assert.Assert(t, m.IsReading("k"))
}

func TestFailingStoreIsLeftAlone(t *testing.T) {
	gone := Host{Name: "gone", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	tests := []struct {
		name  string
		reads *reads
		calls int
	}{
		{"a host that another one reads for", &reads{host: &gone}, 1},
		{"a host that another one is to read for", &reads{second: true}, 1},
		{"a host that has not met the others", &reads{early: true}, 0},
		{"the host that is to read", &reads{}, 5},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := &book{err: errors.New("down")}
			m := newMirror(store, tc.reads)
			t.Cleanup(m.Link.Close)
			// A store that fails for one kind is left alone for all.
			for i := range 5 {
				_, err := m.List(t.Context(), fmt.Sprint("k", i))
				assert.Assert(t, err != nil)
			}
			assert.Equal(t, store.calls, tc.calls)
		})
	}
}

func TestServerThatIsStoppedAtOnceEndsWell(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		s := &Server{Mirror: newMirror(&book{}, &reads{}), Address: netip.MustParseAddrPort("127.0.0.1:0")}
		err := s.Run(ctx)
		assert.Assert(t, err == nil || errors.Is(err, context.Canceled), err)
	}
}
