package intake

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// logPeriod is the shortest time between two lines about closed connections of a listener.
const logPeriod = time.Second

// Meter is the metrics of listeners.
type Meter interface {
	// Closed counts a connection of the named listener that was closed.
	Closed(listener, reason string)
	// Gauges adds what the connections of a listener hold, as read at each scrape.
	Gauges(listener string, read func() (connections, unfinished int, headsBytes int64)) error
}

// Listener wraps a listener and bounds its connections and the heads that they send.
type Listener struct {
	net.Listener
	// SendBytes is the size of the send buffer of each connection; 0 leaves it to the kernel, which lets it grow to megabytes.
	SendBytes int

	name  string
	meter Meter
	log   *slog.Logger
	mu    sync.Mutex
	core  Core
	// conns are the open connections by member.
	conns map[*Member]*conn
	// unlogged counts the closed connections that no line has told of.
	unlogged int
	// line is to be logged once the lock is released.
	line      []any
	sometimes rate.Sometimes
}

// New wraps a listener with the limits. The name is that in logs and metrics.
func New(inner net.Listener, name string, limits Limits, meter Meter, log *slog.Logger) (*Listener, error) {
	l := &Listener{
		Listener: inner, name: name, meter: meter, log: log, core: Core{Limits: limits},
		conns: make(map[*Member]*conn), sometimes: rate.Sometimes{Interval: logPeriod},
	}
	return l, meter.Gauges(name, func() (connections, unfinished int, headsBytes int64) {
		usage := l.Usage()
		return usage.Connections, usage.Unfinished, usage.HeadsBytes
	})
}

// Accept returns the next connection that has a place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, remote: inner.RemoteAddr().String()}
		c.deadlines.Store(awaitDeadline)
		if tcp, ok := inner.(*net.TCPConn); ok && l.SendBytes > 0 {
			// Without it the buffer grows, which the check of readers takes into account.
			_ = tcp.SetWriteBuffer(l.SendBytes)
		}
		l.mu.Lock()
		member, victims := l.core.Admit(time.Now())
		if member != nil {
			c.member = member
			l.conns[member] = c
		}
		l.closeLocked(victims)
		if member == nil {
			l.reportLocked(c, ReasonConnections, &Member{})
		}
		l.unlock()
		if member != nil {
			return c, nil
		}
		c.kill()
	}
}

// Track is the http.Server.ConnState of a server on the listener.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if Phase(c.phase.Load()) == Unfinished {
			l.enter(c, Body)
		}
	case http.StateIdle:
		c.deadlines.Store(0)
		l.enter(c, Idle)
		l.charge(c, cost(c.rest.size, c.rest.lines))
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// Usage is what the connections of a listener hold.
type Usage struct {
	Connections, Unfinished int
	HeadsBytes              int64
}

// Usage returns what the connections hold.
func (l *Listener) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usageLocked()
}

// unlock releases the lock, and then writes the line that is to be logged.
func (l *Listener) unlock() {
	line := l.line
	l.line = nil
	l.mu.Unlock()
	if line != nil {
		l.log.Warn("connections closed for a limit", line...)
	}
}

func (l *Listener) usageLocked() Usage {
	return Usage{Connections: l.core.Count(), Unfinished: l.core.members[Unfinished].Len(), HeadsBytes: l.core.held}
}

// receive counts bytes of a head, and reports whether the connection stays open.
func (l *Listener) receive(c *conn, received []byte) bool {
	size, lines := c.head.scan(received)
	c.rest = tail{}
	c.rest.add(received[size:])
	l.mu.Lock()
	defer l.unlock()
	l.beginLocked(c)
	c.member.lines = c.head.lines
	switch limits := l.core.Limits; {
	case c.head.lines-c.head.blankLines > limits.Lines:
		l.giveUpLocked(c, ReasonLines)
	case c.head.blankLines > limits.BlankLines:
		l.giveUpLocked(c, ReasonBlankLines)
	default:
		l.closeLocked(l.core.Charge(c.member, cost(size, lines)))
	}
	return c.member.element != nil
}

// begin records that a head begins on a kept connection, of which the server may have bytes already.
func (l *Listener) begin(c *conn) {
	l.mu.Lock()
	defer l.unlock()
	l.beginLocked(c)
}

func (l *Listener) beginLocked(c *conn) {
	if Phase(c.phase.Load()) != Idle {
		return
	}
	c.phase.Store(int32(Unfinished))
	l.closeLocked(l.core.Begin(c.member, time.Now()))
}

// enter changes the phase of a connection; the count of a head's lines ends with it.
func (l *Listener) enter(c *conn, p Phase) {
	c.head = scanner{}
	l.mu.Lock()
	defer l.unlock()
	c.phase.Store(int32(p))
	l.closeLocked(l.core.Enter(c.member, p, time.Now()))
}

func (l *Listener) charge(c *conn, cost int64) {
	if cost == 0 {
		return
	}
	l.mu.Lock()
	defer l.unlock()
	l.closeLocked(l.core.Charge(c.member, cost))
}

func (l *Listener) release(c *conn) {
	l.mu.Lock()
	defer l.unlock()
	l.core.Release(c.member)
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.unlock()
	l.core.Remove(c.member)
	l.forgetLocked(c)
}

func (l *Listener) forgetLocked(c *conn) {
	delete(l.conns, c.member)
}

func (l *Listener) giveUpLocked(c *conn, reason Reason) {
	if c.member.element != nil {
		l.closeLocked([]Victim{l.core.giveUp(c.member, reason)})
	}
}

// closeLocked closes connections that the core gave up.
func (l *Listener) closeLocked(victims []Victim) {
	for _, v := range victims {
		c := l.conns[v.Member]
		l.forgetLocked(c)
		l.reportLocked(c, v.Reason, v.Member)
		c.kill()
	}
}

// reportLocked counts a closed connection, and prepares a line on it and those that were closed since the last one.
func (l *Listener) reportLocked(c *conn, reason Reason, m *Member) {
	l.meter.Closed(l.name, string(reason))
	l.unlogged++
	l.sometimes.Do(func() {
		usage := l.usageLocked()
		l.line = []any{
			"listener", l.name, "closed", l.unlogged, "reason", reason, "remote", c.remote,
			"phase_age", age(m), "lines", m.lines, "connections", usage.Connections, "unfinished", usage.Unfinished,
			"heads_bytes", usage.HeadsBytes, "limit_bytes", l.core.Limits.HeadsBytes,
		}
		l.unlogged = 0
	})
}

// age returns how long a connection has been in its phase; 0 for one that had no place.
func age(m *Member) time.Duration {
	if m.since.IsZero() {
		return 0
	}
	return time.Since(m.since)
}
