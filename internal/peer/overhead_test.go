package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// counting is a receiver that counts messages and returns no replies.
type counting struct{ count *atomic.Int64 }

func (c counting) Receive(context.Context, peer.Sender, *peerpb.Message) []*peerpb.Message {
	c.count.Add(1)
	return nil
}

// pair is a server and a client connected to it.
type pair struct {
	addr   netip.AddrPort
	client *peer.Client
	count  atomic.Int64
	bytes  atomic.Int64
}

func newPair(t testing.TB) *pair {
	t.Helper()
	p := &pair{client: &peer.Client{Self: peer.Sender{Host: "entry-2"}}}
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener ends with the test.
	assert.NilError(t, err)
	server := &peer.Server{Self: peer.Sender{Host: "entry-1"}, Receivers: []peer.Receiver{counting{&p.count}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, countingListener{Listener: l, bytes: &p.bytes}) }()
	p.addr = netip.MustParseAddrPort(l.Addr().String())
	t.Cleanup(func() {
		p.client.Close()
		cancel()
		assert.NilError(t, <-ended)
	})
	return p
}

// await waits until the server has received want messages.
func (p *pair) await(t testing.TB, want int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for p.count.Load() < want && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, p.count.Load(), want)
}

func claimBatch() []*peerpb.Message {
	return []*peerpb.Message{{Body: &peerpb.Message_Claim{Claim: &peerpb.Claim{Id: "req-1", Backend: "engine-1"}}}}
}

// TestBatchOverhead measures the bytes of a batch on an open stream that are not its messages; package scale uses the
// figure.
func TestBatchOverhead(t *testing.T) {
	const (
		batches = 500
		limit   = 40
	)
	p := newPair(t)
	size := proto.Size(&peerpb.Batch{Messages: claimBatch()})
	send := func() {
		for range batches {
			assert.NilError(t, p.client.Send(t.Context(), p.addr, claimBatch()))
			time.Sleep(2 * time.Millisecond)
		}
	}
	send()
	p.await(t, batches)
	before := p.bytes.Load()
	send()
	p.await(t, 2*batches)
	each := float64(p.bytes.Load()-before)/batches - float64(size)
	t.Logf("%.0f bytes of overhead for a batch of %d bytes", each, size)
	assert.Assert(t, each <= limit, "%.0f bytes a batch, want at most %d", each, limit)
}

// stallingProxy forwards connections. The first stalled ones are kept open, but nothing is forwarded on them any more.
type stallingProxy struct {
	target  netip.AddrPort
	stalled atomic.Int64
	opened  atomic.Int64
}

func (v *stallingProxy) serve(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		number := v.opened.Add(1)
		out, err := net.Dial("tcp", v.target.String()) //nolint:noctx // It ends with the listener's test.
		if err != nil {
			_ = in.Close()
			continue
		}
		go v.forward(out, in, number)
		go v.forward(in, out, number)
	}
}

func (v *stallingProxy) forward(to, from net.Conn, number int64) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if number <= v.stalled.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// TestUnresponsiveStreamIsReplaced makes an open connection stop forwarding for good, while new ones work.
func TestUnresponsiveStreamIsReplaced(t *testing.T) {
	const limit = 5 * time.Second
	p := newPair(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener ends with the test.
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	v := &stallingProxy{target: p.addr}
	go v.serve(l)
	addr := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, p.client.Send(t.Context(), addr, claimBatch()))
	p.await(t, 1)
	time.Sleep(time.Second)
	v.stalled.Store(v.opened.Load())
	began := time.Now()
	for p.count.Load() == 1 && time.Since(began) < limit {
		_ = p.client.Send(t.Context(), addr, claimBatch())
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, p.count.Load() > 1, "no message arrived within %s after the connection stalled", limit)
}

func BenchmarkSend(b *testing.B) {
	p := newPair(b)
	sent := int64(0)
	for b.Loop() {
		assert.NilError(b, p.client.Send(b.Context(), p.addr, claimBatch()))
		sent++
	}
	p.await(b, sent)
}
