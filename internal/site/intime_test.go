package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/gossip"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/watch"
	"github.com/tarragonspur/tarragonspur/pkg/config"
	"github.com/tarragonspur/tarragonspur/platform"
)

// gossipDelay is how late other hosts learn that a host no longer reads the store.
const gossipDelay = 150 * time.Millisecond

// tableRig is a store and two hosts that follow its table: one that reads for the other, and the other.
type tableRig struct {
	store *plat.Store
	// toStore is the reader's way to the store, directToStore the other host's, toReader the other host's way to the reader.
	toStore, directToStore, toReader *link
	settings                         config.Settings
	hosts                            int
	reader                           *mirror.Mirror
	// hasReader is whether the other host knows the reader.
	hasReader bool
	// isReaderStale makes the other host take the reader for one, whatever that says of itself.
	isReaderStale atomic.Bool
	version       int
	// pool is what the other host knows of the backend servers.
	pool *pool.Pool
}

// link forwards connections on loopback and can hold or slow them.
type link struct {
	address netip.AddrPort
	// generation counts the calls of hold; connections of earlier ones forward nothing.
	generation atomic.Int64
	// isCut holds new connections too, isTrickling forwards a byte at a time.
	isCut, isTrickling atomic.Bool
}

// hold makes all open connections fall silent while new ones work.
func (l *link) hold() { l.generation.Add(1) }

func newLink(t *testing.T, to netip.AddrPort) *link {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{address: netip.MustParseAddrPort(listener.Addr().String())}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			running.Add(1)
			go func() {
				defer running.Done()
				l.forward(t.Context(), near, to)
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); running.Wait() })
	return l
}

func (l *link) forward(ctx context.Context, near net.Conn, to netip.AddrPort) {
	generation := l.generation.Load()
	defer func() { _ = near.Close() }()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	ended := make(chan struct{}, 2)
	one := func(to, from net.Conn, isAnswer bool) {
		defer func() { ended <- struct{}{} }()
		buf := make([]byte, 4<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			for l.isCut.Load() || l.generation.Load() != generation {
				time.Sleep(time.Millisecond)
				if ctx.Err() != nil {
					return
				}
			}
			for part := range bytes.Lines(buf[:n]) {
				if !isAnswer || !l.isTrickling.Load() {
					_, err = to.Write(part)
				}
				for i := 0; isAnswer && l.isTrickling.Load() && i < len(part) && ctx.Err() == nil; i++ {
					_, err = to.Write(part[i : i+1])
					time.Sleep(100 * time.Millisecond)
				}
				if err != nil {
					return
				}
			}
		}
	}
	go one(far, near, false)
	go one(near, far, true)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// rigReaders are the readers as one host of a large deployment sees them.
type rigReaders struct {
	hosts       int
	isPreferred bool
	reader      func() (mirror.Host, bool)
}

func (r rigReaders) Reader() (mirror.Host, bool) {
	if r.reader == nil {
		return mirror.Host{}, false
	}
	return r.reader()
}
func (r rigReaders) IsPreferredReader() bool { return r.isPreferred }
func (rigReaders) MayRead() bool             { return true }
func (r rigReaders) Hosts() int              { return r.hosts }
func (rigReaders) LostReader(string)         {}

// hasPeer reports whether another host reads the store for this one.
func hasPeer(r rigReaders) bool { _, ok := r.Reader(); return ok }

// OtherHosts implements settle.Hosts: the hosts of the rig know each other only as readers.
func (r rigReaders) OtherHosts(int) []mirror.Host {
	if reader, ok := r.Reader(); ok {
		return []mirror.Host{reader}
	}
	return nil
}

// follow runs a host's followers and returns its table and its backend servers.
func (r *tableRig) follow(t *testing.T, m *mirror.Mirror, readers rigReaders, health *watch.Health) (*policy.Holder, *pool.Pool) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	g := gossip.New()
	g.Region, g.Log = r.settings.Region, log
	g.IsReading = func() bool { return m.IsReading(platform.KindTables) && !health.IsUnreachable() }
	holder, p := &policy.Holder{}, &pool.Pool{}
	ctx, cancel := context.WithCancel(context.Background())
	settler := newSettler(r.settings, m.Store.(*platform.Store), holder, g, log) //nolint:forcetypeassert // the rig's mirrors read the platform's store
	settler.IsReader, settler.Hosts = func() bool { return !hasPeer(readers) }, readers
	tables := newTables(r.settings, m, holder, settler, health, g, log)
	servers := newServers(r.settings, m, p, health, &watch.SyncStatus{}, g, log)
	domains := newEvacuations(m, p, health, g, log)
	tables.HasReader = func() bool { return hasPeer(readers) }
	servers.HasReader, domains.HasReader = tables.HasReader, tables.HasReader
	loops := []func(context.Context) error{tables.Run, servers.Run, domains.Run, settler.Run}
	ended := make(chan error, len(loops))
	for _, run := range loops {
		go func() { ended <- run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range loops {
			assert.NilError(t, <-ended)
		}
		m.Link.Close()
	})
	return holder, p
}

// rigsStarted counts the rigs, which have an address each.
var rigsStarted atomic.Int32 //nolint:gochecknoglobals // loopback addresses belong to the process

// put writes the next version of the table and returns it; padding is the size of a name in it.
func (r *tableRig) put(padding int) int64 {
	r.version++
	r.store.Put("config", "main", map[string]any{
		"version": r.version, "routes": []any{}, "services": []any{map[string]any{"name": strings.Repeat("x", padding)}},
	})
	return int64(r.version)
}

// putServer writes the entry of a backend server.
func (r *tableRig) putServer(id, state string) {
	r.store.PutText("servers", id, fmt.Appendf(nil, `{"service":"model","address":"10.0.0.1:80","zone":"d1","slots":8,"state":%q}`, state))
}

// start starts both hosts and returns the table of the one that does not read the store.
func (r *tableRig) start(t *testing.T) *policy.Holder {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	r.store = plat.NewStore()
	t.Cleanup(r.store.Close)
	r.put(0)
	for i := range 8 {
		r.putServer(fmt.Sprint("s", i), "healthy")
	}
	r.settings.Platform.Regions = map[string]string{"d1": "east"}
	r.toStore, r.directToStore = newLink(t, r.store.Address()), newLink(t, r.store.Address())

	readers := rigReaders{hosts: r.hosts, isPreferred: true}
	health := &watch.Health{Log: log}
	r.reader = newTestMirror(r.settings, platform.NewStore(r.toStore.address, log), readers, log)
	r.follow(t, r.reader, readers, health)
	// No other listener of the tests that run beside this one takes the port between its choice and the server's start.
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.3.%d:0", rigsStarted.Add(1)))
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&mirror.Server{Mirror: r.reader, Address: address}).Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-ended) })
	r.toReader = newLink(t, address)

	var isReading atomic.Bool
	go func() {
		for ctx.Err() == nil {
			reads := r.reader.IsReading(platform.KindTables) && !health.IsUnreachable()
			time.Sleep(gossipDelay)
			isReading.Store(reads)
		}
	}()
	others := rigReaders{hosts: r.hosts, reader: func() (mirror.Host, bool) {
		return mirror.Host{Name: "reader", Address: r.toReader.address}, r.hasReader && (isReading.Load() || r.isReaderStale.Load())
	}}
	m := newTestMirror(r.settings, platform.NewStore(r.directToStore.address, log), others, log)
	var holder *policy.Holder
	holder, r.pool = r.follow(t, m, others, &watch.Health{Log: log})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table, _ := holder.View(); table == nil || r.hasReader && !isReading.Load() {
			return poll.Continue("the first table")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	time.Sleep(time.Second)
	return holder
}

// newTestMirror returns a host's mirror.
func newTestMirror(s config.Settings, store *platform.Store, readers mirror.Readers, log *slog.Logger) *mirror.Mirror {
	m := &mirror.Mirror{Store: store, Eras: store.Eras, Readers: readers, Link: &mirror.Link{}, ReaderKind: platform.KindTables, Log: log}
	boundTableAge(s, m)
	boundServersAge(s, m)
	return m
}

// nested is an entry that package json refuses to read.
func nested() []byte { return []byte(strings.Repeat("[", 20000) + strings.Repeat("]", 20000)) }

// TestConfirmedTableIsInForceInTime is the regression test for the incident CONFIG.
func TestConfirmedTableIsInForceInTime(t *testing.T) {
	const small, grown = 2500 * time.Millisecond, 4 * time.Second
	for _, tc := range []struct {
		name      string
		hosts     int
		hasReader bool
		// bound is the time from a change's confirmation until every host uses it.
		bound   time.Duration
		trouble func(r *tableRig)
	}{
		{"nothing fails", 83, true, grown, func(*tableRig) {}},
		{"an entry of a server can't be read, no reader", 83, false, grown, func(r *tableRig) {
			r.store.PutText("servers", "odd", nested())
		}},
		{"an entry of a server can't be read", 83, true, grown, func(r *tableRig) {
			r.store.PutText("servers", "odd", nested())
		}},
		{"a call to the store fails once, no reader", 83, false, grown, func(r *tableRig) { r.store.CloseClientConnections() }},
		{"calls to the store have failed for a second, no reader", 83, false, grown, func(r *tableRig) {
			r.store.SetOutage(plat.Busy)
			time.Sleep(time.Second)
			r.store.SetOutage(plat.Up)
		}},
		{"the reader loses the store", 7, true, small, func(r *tableRig) { r.toStore.isCut.Store(true) }},
		{"the reader loses the store while the other host's call waits", 7, true, small, func(r *tableRig) {
			time.Sleep(400 * time.Millisecond)
			r.toStore.isCut.Store(true)
		}},
		{"the reader loses the store, and the other host does not learn it", 7, true, small, func(r *tableRig) {
			r.isReaderStale.Store(true)
			r.toStore.isCut.Store(true)
		}},
		{"the store was silent, and so are the last calls made then", 7, true, small, func(r *tableRig) { r.darken(3300 * time.Millisecond) }},
		{"the store was silent, and so are the last calls made then, no reader", 7, false, small, func(r *tableRig) { r.darken(3300 * time.Millisecond) }},
		{"the store was silent for longer", 7, true, small, func(r *tableRig) { r.darken(5 * time.Second) }},
		{"the store was silent, large deployment", 83, true, grown, func(r *tableRig) { r.darken(3300 * time.Millisecond) }},
		{"the store was silent, large deployment, no reader", 83, false, grown, func(r *tableRig) { r.darken(3300 * time.Millisecond) }},
		{"the reader's calls to the store fall silent", 7, true, small, func(r *tableRig) { r.toStore.hold() }},
		{"the reader falls silent", 7, true, small, func(r *tableRig) { r.toReader.isCut.Store(true) }},
		{"the reader's connections fall silent", 7, true, small, func(r *tableRig) { r.toReader.hold() }},
		{"the reader trickles", 83, true, grown, func(r *tableRig) { r.toReader.isTrickling.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := &tableRig{hosts: tc.hosts, hasReader: tc.hasReader}
			r.settings = config.Settings{Region: "east", Platform: &config.Platform{KeyAge: config.Duration(5 * time.Second), TableApply: config.Duration(tc.bound)}}
			holder := r.start(t)
			// A reader that has just read a change counts as reading for longest.
			r.put(0)
			time.Sleep(50 * time.Millisecond)
			tc.trouble(r)
			r.checkChanges(t, holder, tc.bound)
		})
	}
}

// darken makes the store silent for a time; calls made then stay without an answer.
func (r *tableRig) darken(outage time.Duration) {
	links := []*link{r.toStore, r.directToStore}
	for _, l := range links {
		l.isCut.Store(true)
	}
	time.Sleep(outage)
	for _, l := range links {
		l.hold()
		l.isCut.Store(false)
	}
}

// checkChanges changes the table for some seconds and checks that each version is in force within the bound.
func (r *tableRig) checkChanges(t *testing.T, holder *policy.Holder, bound time.Duration) {
	t.Helper()
	const interval, changes = 400 * time.Millisecond, 15
	var confirmed []time.Time
	first := int64(r.version + 1)
	longest := time.Duration(0)
	for inForce := 0; inForce < changes; time.Sleep(2 * time.Millisecond) {
		if len(confirmed) == 0 || len(confirmed) < changes && time.Since(confirmed[len(confirmed)-1]) > interval {
			r.put(0)
			confirmed = append(confirmed, time.Now())
		}
		table, _ := holder.View()
		for ; int64(inForce) <= table.Version-first; inForce++ {
			longest = max(longest, time.Since(confirmed[inForce]))
		}
		assert.Assert(t, inForce == len(confirmed) || time.Since(confirmed[inForce]) < bound, "change %d of %d is not in force after %s", inForce+1, changes, bound)
	}
	t.Logf("in force after %s at most", longest)
}
