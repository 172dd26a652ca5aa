package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
)

// mode is how a proxy treats its connections.
type mode int

const (
	passThrough mode = iota
	// delaying delays the data of each read.
	delaying
	// dropResponses drops what the server sends.
	dropResponses
	// blackhole drops the data of both directions and opens no new connection to the server.
	blackhole
)

const (
	// delay is what a delaying proxy adds to each read.
	delay = 60 * time.Millisecond
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
)

// proxy is a TCP proxy that can delay, drop and reset the traffic between two processes.
type proxy struct {
	target netip.AddrPort
	// address is where the proxy listens.
	address netip.AddrPort

	mu         sync.Mutex
	listener   net.Listener
	mode       mode
	conns      map[net.Conn]bool
	links      map[*link]bool
	goroutines sync.WaitGroup
	// endCut ends the span of the current mode in cuts; nil while the mode lets everything through.
	endCut func()

	// brokenBy breaks the answers that begin from now on; nil breaks none.
	brokenBy *broken.Fault

	// Owners maps requests to hosts; nil if paths of single hosts are not disturbed.
	Owners *owners
	// cuts records when the path of a host was cut or silent.
	cuts disturbances
	// silences counts, by path, the faults that keep it silent; changed is closed and replaced at each change.
	silences map[silence]int
	changed  chan struct{}
	// resumedAt holds when a request that resumes a run was sent, by its ID.
	resumedAt map[string]time.Time
}

func newProxy(ctx context.Context, target netip.AddrPort) (*proxy, error) {
	l, err := httpd.Listen(ctx, plat.ListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &proxy{
		target: target, address: netip.MustParseAddrPort(l.Addr().String()), listener: l, conns: make(map[net.Conn]bool), links: make(map[*link]bool),
		silences: make(map[silence]int), changed: make(chan struct{}), resumedAt: make(map[string]time.Time),
	}
	p.goroutines.Add(1)
	go p.accept(l)
	return p, nil
}

// stopListening closes the port, as the crash of the server does.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// listen opens the port again unless it is open.
func (p *proxy) listen(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := httpd.Listen(ctx, p.address.String())
	if err != nil {
		return errors.Wrap(err, "open the proxy's port again")
	}
	p.listener = l
	p.goroutines.Add(1)
	go p.accept(l)
	return nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if p.endCut != nil {
		p.endCut()
		p.endCut = nil
	}
	if m == dropResponses || m == blackhole {
		p.endCut = p.cuts.begin(allHosts)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.stopListening()
	p.reset()
	p.goroutines.Wait()
}

func (p *proxy) accept(l net.Listener) {
	defer p.goroutines.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.goroutines.Add(1)
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer p.goroutines.Done()
	p.track(conn)
	defer p.closeAndUntrack(conn)
	if p.currentMode() == blackhole {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	server, err := net.Dial("tcp", p.target.String()) //nolint:noctx // closed with the proxy
	if err != nil {
		return
	}
	p.track(server)
	defer p.closeAndUntrack(server)
	l := &link{near: conn, host: unknownHost}
	p.trackLink(l)
	defer p.untrackLink(l)
	ended := make(chan struct{}, 2)
	go func() { p.copyRequests(server, conn, l); ended <- struct{}{} }()
	go func() { p.copyResponses(conn, server, l); ended <- struct{}{} }()
	<-ended
	<-ended
}

// copyRequests copies what the host sends. The end of that leaves the other direction open, as the host may have closed only its own.
func (p *proxy) copyRequests(server, conn net.Conn, l *link) {
	isWhole, err := p.copy(server, conn, l, false)
	if p.isDetached(l) {
		return
	}
	far, isTCP := server.(*net.TCPConn)
	if !isTCP || !errors.Is(err, io.EOF) {
		_, _ = conn.Close(), server.Close()
		return
	}
	if isWhole {
		_ = far.CloseWrite()
	}
}

// copyResponses copies what the server sends. The server notices that the host has gone only through a path that is not silent.
func (p *proxy) copyResponses(conn, server net.Conn, l *link) {
	_, err := p.copy(conn, server, l, true)
	if p.isDetached(l) {
		_, _ = io.Copy(io.Discard, server)
		return
	}
	if !errors.Is(err, io.EOF) {
		p.awaitPath(l, false)
	}
	_, _ = conn.Close(), server.Close()
}

// copy copies data from one connection to the other as the mode says and returns the error that ended it. Once data was dropped, the
// connection delivers nothing more in that direction, because TCP never delivers what follows a gap; isWhole says that nothing was.
func (p *proxy) copy(to, from net.Conn, l *link, isResponse bool) (isWhole bool, err error) {
	buf := make([]byte, bufferBytes)
	hasDropped := false
	for isFirst := true; ; isFirst = false {
		n, err := from.Read(buf)
		data := buf[:n]
		if !isResponse {
			p.identify(l, string(data))
		} else if isFirst {
			data = p.breakAnswer(data)
		}
		p.awaitPath(l, isResponse)
		m := p.currentMode()
		if m == delaying {
			time.Sleep(delay)
		}
		hasDropped = hasDropped || n > 0 && (m == blackhole || m == dropResponses && isResponse)
		if !hasDropped {
			if _, err := to.Write(data); err != nil {
				return true, err
			}
		}
		if err != nil {
			return !hasDropped, err
		}
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
