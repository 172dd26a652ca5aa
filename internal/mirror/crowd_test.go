package mirror

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

const (
	// crowdHosts is the number of hosts that one host reads for in a deployment of 300 hosts in two regions.
	crowdHosts = 150
	// crowdServers is the number of backend servers of such a deployment.
	crowdServers = 3000
	// crowdHeap is what the garbage collector may use on a host with 112 MB.
	crowdHeap = 112 << 20 * 6 / 10
	// crowdLink is the link of a host that reads for others, in bytes per second.
	crowdLink = 200e6 / 8
)

// crowdDocuments returns entries like those that backend servers register.
func crowdDocuments() []Document {
	random := rand.New(rand.NewPCG(1, 2))
	var documents []Document
	for i := range crowdServers {
		name := fmt.Sprintf("i-%08x", random.Uint32())
		body := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deletionPending":false},"spec":`+
			`{"service":"huvo11a","address":"10.%d.%d.%d:8080","zone":"trent-mill","version":"v1","slots":24,"state":"healthy",`+
			`"coldRemainingMs":0,"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d},"status":null}`,
			name, 4000+i, 100+i, 128+i%6, random.IntN(256), random.IntN(256), random.IntN(200), 1773275937000+random.IntN(90000))
		documents = append(documents, Document{Name: name, Revision: int64(4000 + i), Body: []byte(body)})
	}
	return documents
}

// slowStore takes a while for a list, as a store in another region does for many pages.
type slowStore struct {
	fakeStore

	pause   time.Duration
	started chan struct{}
}

func (s *slowStore) List(ctx context.Context, kind string) (Batch, error) {
	close(s.started)
	time.Sleep(s.pause)
	return s.fakeStore.List(ctx, kind)
}

func TestHostsAwaitTheFirstListOfTheirReader(t *testing.T) {
	for _, tc := range []struct {
		name   string
		err    error
		isLost bool
	}{
		{"a list that comes", nil, false},
		{"a list that fails", errors.New("down"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			slow := &slowStore{pause: 3 * loadWait / 2, started: make(chan struct{})}
			slow.batch, slow.err = Batch{At: epoch.Position{Revision: 9000}, Changed: crowdDocuments()}, tc.err
			reader := newMirror(slow, &fakeReaders{})
			host := serve(t, reader)
			ended := make(chan error, 1)
			go func() {
				_, err := reader.List(t.Context(), "servers")
				ended <- err
			}()
			<-slow.started

			readers, unused := &fakeReaders{host: &host}, &fakeStore{err: errors.New("not to be called")}
			follower := newMirror(unused, readers)
			t.Cleanup(follower.Link.Close)
			b, err := follower.List(t.Context(), "servers")
			for errors.Is(err, ErrLoading) {
				b, err = follower.List(t.Context(), "servers")
			}
			assert.ErrorIs(t, <-ended, tc.err)
			assert.Equal(t, readers.lost > 0, tc.isLost)
			assert.Equal(t, unused.calls > 0, tc.isLost)
			if !tc.isLost {
				assert.NilError(t, err)
				assert.Equal(t, len(b.Changed), crowdServers)
			}
		})
	}
}

// pipe forwards connections to a host and counts the bytes that come back. While it is held, it reads none of them; pause is
// the time for each 4 KiB.
type pipe struct {
	address netip.AddrPort
	bytes   atomic.Int64
	isHeld  atomic.Bool
	pause   atomic.Int64
}

func startPipe(t *testing.T, to netip.AddrPort) *pipe {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &pipe{address: netip.MustParseAddrPort(l.Addr().String())}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(t.Context(), near, to)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-ended })
	return p
}

func (p *pipe) forward(ctx context.Context, near net.Conn, to netip.AddrPort) {
	defer func() { _ = near.Close() }()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
	buf := make([]byte, 4<<10)
	for ctx.Err() == nil {
		if p.isHeld.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		n, err := far.Read(buf)
		time.Sleep(time.Duration(p.pause.Load()))
		p.bytes.Add(int64(n))
		if _, writeErr := near.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// startCrowdReader starts a host that reads for a region and has packed its list, which takes time beside other work.
func startCrowdReader(t *testing.T) *pipe {
	t.Helper()
	reader := newMirror(&fakeStore{batch: Batch{At: epoch.Position{Revision: 9000}, Changed: crowdDocuments()}}, &fakeReaders{})
	b, err := reader.List(t.Context(), "servers")
	assert.NilError(t, err)
	_, err = reader.cache("servers").pack(b, epoch.Position{})
	assert.NilError(t, err)
	return startPipe(t, serve(t, reader).Address)
}

func TestHostsThatReadNoPackedDocumentsReceiveThemPlain(t *testing.T) {
	store := &fakeStore{batch: Batch{At: epoch.Position{Revision: 9000}, Changed: crowdDocuments()}}
	reader := newMirror(store, &fakeReaders{})
	_, err := reader.List(t.Context(), "servers")
	assert.NilError(t, err)
	var gone []string
	for _, d := range store.batch.Changed[:100] {
		gone = append(gone, d.Name)
	}
	store.batch = Batch{At: epoch.Position{Revision: 9001}, Removed: gone}
	_, err = reader.Changes(t.Context(), "servers", epoch.Position{Revision: 9000}, 0)
	assert.NilError(t, err)
	server := &Server{Mirror: reader}
	for _, tc := range []struct {
		name             string
		since            int64
		changed, removed int
	}{
		{"all documents", 0, crowdServers - 100, 0},
		{"changes", 9000, 0, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plain, err := server.Read(t.Context(), &mirpb.ReadRequest{Kind: "servers", Since: tc.since})
			assert.NilError(t, err)
			assert.Equal(t, len(plain.GetPacked()), 0)
			assert.Equal(t, len(plain.GetChanged()), tc.changed)
			assert.Equal(t, len(plain.GetRemoved()), tc.removed)
			packed, err := server.Read(t.Context(), &mirpb.ReadRequest{Kind: "servers", Since: tc.since, AcceptsPacked: true})
			assert.NilError(t, err)
			documents, err := unpackDocuments(packed.GetPacked())
			assert.NilError(t, err)
			assert.Equal(t, len(documents.GetChanged()), tc.changed)
			assert.DeepEqual(t, documents.GetRemoved(), plain.GetRemoved())
		})
	}
}

func TestListOnACrowdedLinkEndsNoCalls(t *testing.T) {
	p := startCrowdReader(t)
	p.pause.Store(int64(100 * time.Millisecond))
	link := &Link{}
	t.Cleanup(link.Close)
	host := Host{Name: "reader", Address: p.address}
	_, err := link.Read(t.Context(), host, question{kind: "servers", since: epoch.Position{Revision: 9000}})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := link.Read(t.Context(), host, question{kind: "servers", since: epoch.Position{Revision: 9000}, wait: 10 * time.Millisecond})
		ended <- err
	}()
	began := time.Now()
	b, err := link.Read(t.Context(), host, question{kind: "servers"})
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changed), crowdServers)
	assert.Assert(t, time.Since(began) > 2*responseTimeout, "a list that takes long")
	assert.NilError(t, <-ended)

	p.isHeld.Store(true)
	time.Sleep(100 * time.Millisecond)
	began = time.Now()
	_, err = link.Read(t.Context(), host, question{kind: "servers"})
	assert.Assert(t, err != nil && time.Since(began) < 2*responseTimeout, "a silent host: %s", time.Since(began))
}

func TestHostThatDoesNotReadOneKindEndsNoOtherCalls(t *testing.T) {
	reader := newMirror(&fakeStore{batch: Batch{At: epoch.Position{Revision: 10}}}, &fakeReaders{})
	_, err := reader.List(t.Context(), "config")
	assert.NilError(t, err)
	link, host := &Link{}, serve(t, reader)
	t.Cleanup(link.Close)
	ended := make(chan error, 1)
	go func() {
		_, err := link.Read(t.Context(), host, question{kind: "config", since: epoch.Position{Revision: 10}, wait: 500 * time.Millisecond})
		ended <- err
	}()
	time.Sleep(100 * time.Millisecond)
	_, err = link.Read(t.Context(), host, question{kind: "servers"})
	assert.ErrorContains(t, err, ErrNotReading.Error())
	assert.NilError(t, <-ended)
}

// TestLargeTableOfARegionsHostsFitsTheReadersLink checks a table of 300 routes that changes twelve times a second, which each host of
// a deployment of 83 reads from its region's reader.
func TestLargeTableOfARegionsHostsFitsTheReadersLink(t *testing.T) {
	const hosts, changes = 41, 12
	var table []byte
	for i := range 300 {
		table = fmt.Appendf(table, `{"name":"r-%06x","host":"h%d.example","pathPrefix":"/p%d/","routeKind":"idempotent","timeoutMs":%d,"targetLatencyMs":200,`+
			`"priority":3,"maxAttempts":2,"service":"huvo11a","public":false,"sticky":false,"allowedRegions":[]},`, i*7919%(1<<24), i%7, i*31%997, 1500+i)
	}
	store := &fakeStore{batch: Batch{At: epoch.Position{Revision: 10}, Changed: []Document{{Name: "main", Revision: 9, Body: table}}}}
	reader := newMirror(store, &fakeReaders{})
	_, err := reader.List(t.Context(), "config")
	assert.NilError(t, err)
	p := startPipe(t, serve(t, reader).Address)
	link := &Link{}
	t.Cleanup(link.Close)
	b, err := link.Read(t.Context(), Host{Name: "reader", Address: p.address}, question{kind: "config"})
	assert.NilError(t, err)
	assert.DeepEqual(t, b.Changed, store.batch.Changed)
	share := float64(p.bytes.Load()*hosts*changes) / crowdLink
	assert.Assert(t, share < 0.5, "a table of %d bytes takes %d bytes for each host and %.2f of the link", len(table), p.bytes.Load(), share)
	t.Logf("a table of %d bytes takes %d bytes for each host and %.2f of the link", len(table), p.bytes.Load(), share)
}

func TestListsOfARegionsHostsFitTheReadersLink(t *testing.T) {
	p := startCrowdReader(t)
	link := &Link{}
	t.Cleanup(link.Close)
	b, err := link.Read(t.Context(), Host{Name: "reader", Address: p.address}, question{kind: "servers"})
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changed), crowdServers)
	seconds := float64(p.bytes.Load()*crowdHosts) / crowdLink
	assert.Assert(t, seconds < 1, "lists for %d hosts take %.2f s, %d bytes each", crowdHosts, seconds, p.bytes.Load())
}

func TestReaderWithSmallMemoryBearsListsOfARegionsHosts(t *testing.T) {
	p := startCrowdReader(t)
	var links [crowdHosts]Link
	from := Host{Name: "reader", Address: p.address}
	for i := range links {
		t.Cleanup(links[i].Close)
		_, err := links[i].Read(t.Context(), from, question{kind: "servers", since: epoch.Position{Revision: 9000}})
		assert.NilError(t, err)
	}
	p.isHeld.Store(true)
	before := heap()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, crowdHosts)
	for i := range links {
		go func() {
			_, err := links[i].Read(ctx, from, question{kind: "servers", since: epoch.Position{Revision: 0}, wait: 10 * time.Second})
			ended <- err
		}()
	}
	peak := int64(0)
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		peak = max(peak, heap()-before)
	}
	cancel()
	for range crowdHosts {
		assert.Assert(t, <-ended != nil, "no host received its list")
	}
	assert.Assert(t, peak < crowdHeap, "%d MB", peak>>20)
}
