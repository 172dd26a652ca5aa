package soak

import (
	"math/rand/v2"
	"net"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

const (
	// pathFaultStream is the stream of random numbers of the faults of paths.
	pathFaultStream = 1 << 33
	// pathEventPause makes streams last longer than most faults of paths.
	pathEventPause = 30 * time.Millisecond
	// maxSlowdown bounds what a slow backend server adds to its pauses between events, maxNoticeDelay the time until one notices
	// the end of a connection.
	maxSlowdown    = 150 * time.Millisecond
	maxNoticeDelay = 2 * time.Second
	// minHostPause and maxHostPause bound the pause of a host that has sent a request to a copy.
	minHostPause = 300 * time.Millisecond
	maxHostPause = 1500 * time.Millisecond
	// timedOutSilence is for how long a path stays silent after its host's connections have timed out.
	timedOutSilence = 1800 * time.Millisecond
	// unknownHost is the host of a connection that has not sent a request yet.
	unknownHost = -2
)

// silence is one direction of the path between a host and a proxy's backend server.
type silence struct {
	host       int
	isResponse bool
}

// link is one connection through a proxy.
type link struct {
	near net.Conn
	host int
	// isDetached says that the host's end was reset while the backend server's end stays open.
	isDetached bool
}

// owners maps each request to the host that it was sent to.
type owners struct {
	mu    sync.Mutex
	hosts map[string]int
}

func (o *owners) add(id string, host int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hosts == nil {
		o.hosts = make(map[string]int)
	}
	o.hosts[id] = host
}

// of returns the host that a request was sent to, and false if no caller sent it.
func (o *owners) of(id string) (host int, isKnown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	host, isKnown = o.hosts[id]
	return host, isKnown
}

var idPattern = regexp.MustCompile(`[0-9a-f]+-\d+`) //nolint:gochecknoglobals // compiled once

// identify finds out which host a connection belongs to, by the first request ID in what it sends.
func (p *proxy) identify(l *link, text string) {
	if p.Owners == nil {
		return
	}
	for _, id := range idPattern.FindAllString(text, -1) {
		host, isKnown := p.Owners.of(id)
		if !isKnown {
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		l.host = host
		if plat.HeadGoesOn(text) {
			p.resumedAt[id] = time.Now()
		}
		return
	}
}

// resumeSentAt returns when a request that resumes a run was sent through the proxy.
func (p *proxy) resumeSentAt(id string) (at time.Time, isKnown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, isKnown = p.resumedAt[id]
	return at, isKnown
}

// silencePath keeps what a host and the backend server send until the function that it returns is called.
func (p *proxy) silencePath(host int, requests, responses bool) (undo func()) {
	add := func(n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if requests {
			p.silences[silence{host, false}] += n
		}
		if responses {
			p.silences[silence{host, true}] += n
		}
		close(p.changed)
		p.changed = make(chan struct{})
	}
	add(1)
	end := p.cuts.begin(host)
	return func() { add(-1); end() }
}

// awaitPath returns when one direction of a connection's path is not silent.
func (p *proxy) awaitPath(l *link, isResponse bool) {
	for {
		p.mu.Lock()
		isSilent, changed := p.silences[silence{l.host, isResponse}] > 0, p.changed
		p.mu.Unlock()
		if !isSilent {
			return
		}
		<-changed
	}
}

// resetHost resets a host's connections at its end; the backend server does not notice.
func (p *proxy) resetHost(host int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.host != host || l.isDetached {
			continue
		}
		l.isDetached = true
		if tcp, ok := l.near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = l.near.Close()
	}
}

func (p *proxy) isDetached(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.isDetached
}

func (p *proxy) trackLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
}

func (p *proxy) untrackLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// pauser pauses a host right after it has sent a request to a copy.
type pauser struct {
	mu     sync.Mutex
	pause  time.Duration
	pauses sync.WaitGroup
}

// arm makes the next request to a copy pause its host; zero disarms.
func (p *pauser) arm(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
}

func (p *pauser) disarm() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := p.pause
	p.pause = 0
	return pause
}

// preparePathFaults lets a backend server and its proxy take part in the faults of paths.
func (s *Soak) preparePathFaults(e *plat.Server, p *proxy) {
	p.Owners = &s.owners
	e.Pause = pathEventPause
	next := e.Script
	e.Script = func(conn net.Conn, r *plat.Request) bool {
		if r.ResumesRun() {
			s.pauseSender(r)
		}
		return next(conn, r)
	}
}

// pauseSender pauses the host of a request if the pauser is armed.
func (s *Soak) pauseSender(r *plat.Request) {
	host, isKnown := s.owners.of(r.Attempt())
	if !isKnown {
		return
	}
	pause := s.pauser.disarm()
	if pause == 0 {
		return
	}
	h := s.hosts[host]
	s.pauser.pauses.Add(1)
	h.signal(syscall.SIGSTOP)
	end := s.disturbances.begin(host)
	go func() {
		defer s.pauser.pauses.Done()
		time.Sleep(pause)
		h.signal(syscall.SIGCONT)
		end()
	}()
}

// pathFaults lists the faults between single hosts and backend servers, and those that make a backend server go on with a run.
func pathFaults() []fault {
	return []fault{
		{"path silent", func(s *Soak, r *rand.Rand) func() {
			h, p := s.drawPath(r)
			way := r.IntN(3)
			return p.silencePath(h, way != 0, way != 1)
		}},
		{"path silent until the host's connections time out", func(s *Soak, r *rand.Rand) func() {
			h, p := s.drawPath(r)
			undo := p.silencePath(h, true, true)
			if h%2 == 0 {
				return func() { undo(); p.resetHost(h) }
			}
			return func() { p.resetHost(h); time.Sleep(timedOutSilence); undo() }
		}},
		{"connections reset at the host only", func(s *Soak, r *rand.Rand) func() {
			h, p := s.drawPath(r)
			p.resetHost(h)
			return func() {}
		}},
		{"backend server notices ends late", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Servers[s.drawEngine(r)]
			e.DelayNotice(time.Duration(r.Int64N(int64(maxNoticeDelay))))
			return func() { e.DelayNotice(0) }
		}},
		{"backend server slow", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Servers[s.drawEngine(r)]
			e.SlowDown(time.Duration(r.Int64N(int64(maxSlowdown))))
			return func() { e.SlowDown(0) }
		}},
		{"backend server leaves and a host pauses", func(s *Soak, r *rand.Rand) func() {
			e := s.town.Servers[s.drawEngine(r)]
			s.pauser.arm(minHostPause + time.Duration(r.Int64N(int64(maxHostPause-minHostPause))))
			s.town.Register(e, true)
			return func() { s.pauser.disarm(); s.town.Register(e, false) }
		}},
	}
}

// drawEngine draws the index of a backend server that streams.
func (s *Soak) drawEngine(r *rand.Rand) int {
	for {
		if i := r.IntN(len(s.town.Servers)); s.town.Servers[i].Events > 0 {
			return i
		}
	}
}

// drawPath draws a host and the proxy of a backend server that streams.
func (s *Soak) drawPath(r *rand.Rand) (host int, p *proxy) {
	return r.IntN(len(s.hosts)), s.serverProxies[s.drawEngine(r)]
}
