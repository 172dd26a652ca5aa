package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/httpd"
)

// mode is what a proxy does to connections.
type mode int

const (
	passing mode = iota
	// delaying holds each read back.
	delaying
	// oneWay drops what the server sends.
	oneWay
	// silent drops both ways and opens no new connection to the server.
	silent
)

const (
	// delay is what a delaying proxy adds to each read.
	delay = 60 * time.Millisecond
	// copyBytes is the room for one read.
	copyBytes = 16 << 10
)

// proxy stands between two processes and harms their connections.
type proxy struct {
	target netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
	copies   sync.WaitGroup
}

func newProxy(ctx context.Context, target netip.AddrPort) (*proxy, error) {
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.copies.Add(1)
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all open connections.
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
	_ = p.listener.Close()
	p.reset()
	p.copies.Wait()
}

func (p *proxy) accept() {
	defer p.copies.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.copies.Add(1)
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer p.copies.Done()
	p.keep(conn)
	defer p.drop(conn)
	if p.current() == silent {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	server, err := net.Dial("tcp", p.target.String()) //nolint:noctx // closed with the proxy
	if err != nil {
		return
	}
	p.keep(server)
	defer p.drop(server)
	ended := make(chan struct{}, 2)
	go func() { p.copy(server, conn, false); ended <- struct{}{} }()
	go func() { p.copy(conn, server, true); ended <- struct{}{} }()
	<-ended
	_, _ = conn.Close(), server.Close()
	<-ended
}

// copy passes bytes on as the mode says. A connection that has lost bytes stays silent in that direction for good:
// TCP never delivers what follows a gap.
func (p *proxy) copy(to, from net.Conn, isAnswer bool) {
	buf := make([]byte, copyBytes)
	hasLost := false
	for {
		n, err := from.Read(buf)
		m := p.current()
		if m == delaying {
			time.Sleep(delay)
		}
		hasLost = hasLost || n > 0 && (m == silent || m == oneWay && isAnswer)
		if !hasLost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
