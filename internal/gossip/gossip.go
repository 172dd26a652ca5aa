// Package gossip tells the hosts of a deployment what each of them is doing, by datagrams.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// period is how often a host tells the others what has changed; a load that is older than an engine's
	// batch step many times over still places requests well.
	period = 150 * time.Millisecond
	// heartbeat is how often a host tells the others even if nothing has changed.
	heartbeat = time.Second
	// silentAfter is when the load that a silent host told of is dropped; its requests have ended with it.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is when a silent host no longer counts for divided budgets. A host that is cut off
	// keeps spending its part meanwhile.
	forgetAfter = 60 * time.Second
	// urgentPause is the least time between two digests to one host when requests have been sent.
	urgentPause = 10 * time.Millisecond
	// hostsPerPeriod is the number of hosts that are told within one period.
	hostsPerPeriod = 40
	// maxDatagram bounds a digest; larger ones would be fragmented.
	maxDatagram = 8 << 10
	// introPeriod is how often a host that knows nobody asks its seeds for introductions, and introAgain how often it
	// asks another host later, in case that it has missed some.
	introPeriod = 200 * time.Millisecond
	introAgain  = 10 * time.Second
	// settleTime is the time in which hosts that start together have met; readerTime is the time in which the one that is
	// to read the store has told that it does. Hosts of a deployment start within 0.3 s of each other.
	settleTime = 150 * time.Millisecond
	readerTime = time.Second
	// listPeriod is how often the registered hosts are asked for while none has been heard.
	listPeriod = 3 * time.Second
)

// Registry keeps the addresses of all hosts.
type Registry interface {
	Register(ctx context.Context, name string, address netip.AddrPort) error
	Addresses(ctx context.Context) (map[string]netip.AddrPort, error)
}

// Digest is what one host tells.
type Digest struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation is the host's start in Unix milliseconds.
	Incarnation int64 `cbor:"2,keyasint"`
	// Sequence orders the digests of one incarnation.
	Sequence uint64       `cbor:"3,keyasint"`
	Leaving  bool         `cbor:"4,keyasint,omitempty"`
	Loads    []ServerLoad `cbor:"5,keyasint,omitempty"`
	Crashes  []crash.Mark `cbor:"6,keyasint,omitempty"`
	Region   string       `cbor:"7,keyasint,omitempty"`
	// Cores is the host's processor share.
	Cores float64 `cbor:"8,keyasint,omitempty"`
	// Reading says that the host reads the store and can read for others.
	Reading bool `cbor:"9,keyasint,omitempty"`
	// Sends are the counts of the retry budget.
	Sends []ServiceSends `cbor:"10,keyasint,omitempty"`
	// Asks asks for introductions. The answer has nothing but Known.
	Asks  bool           `cbor:"11,keyasint,omitempty"`
	Known []Introduction `cbor:"12,keyasint,omitempty"`
}

// Introduction is one host that another one has heard lately.
type Introduction struct {
	Host    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
}

// ServiceSends is what a host has sent to a service within the window of the retry budget.
type ServiceSends struct {
	Service  string `cbor:"1,keyasint"`
	Arrivals int    `cbor:"2,keyasint,omitempty"`
	Repeats  int    `cbor:"3,keyasint,omitempty"`
}

// ServerLoad is a host's load on one backend server.
type ServerLoad struct {
	Server  string `cbor:"1,keyasint"`
	Runs    int    `cbor:"2,keyasint,omitempty"`
	Tokens  int    `cbor:"3,keyasint,omitempty"`
	Pending int    `cbor:"4,keyasint,omitempty"`
}

// Gossip exchanges digests with the other hosts.
type Gossip struct {
	Self    string
	Region  string
	Address netip.AddrPort
	// Cores is the host's processor share; hosts with more of it read the store for others.
	Cores    float64
	Registry Registry
	// Seeds are hosts that introduce this one to the others; some may be stale or down.
	Seeds []netip.AddrPort
	// IsReading tells whether this host reads the store and can read for others.
	IsReading func() bool
	Pool      *pool.Pool
	Crashes   *crash.Table
	Budget    *budget.Shared
	Log       *slog.Logger

	// started is signalled when this host has sent a request, which the others have to know before they send theirs, and
	// when it has met a host.
	started chan struct{}

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
	// informed tells that this host has learned of the others, from one of them or from the registry.
	informed bool
	// began is when this host started; it is never changed.
	began time.Time
}

// peer is another host.
type peer struct {
	address     netip.AddrPort
	incarnation int64
	sequence    uint64
	heard       time.Time
	// known is when the host was first heard of.
	known  time.Time
	silent bool
	// told is when the host was last told of this one's state.
	told         time.Time
	toldSequence uint64
	region       string
	cores        float64
	reading      bool
	leaving      bool
	sends        []ServiceSends
}

// Name names the controller in logs.
func (g *Gossip) Name() string { return "gossip" }

// New returns a gossip whose other fields are to be set before Run.
func New() *Gossip { return &Gossip{started: make(chan struct{}, 1), began: time.Now()} }

// Started says that the others are to be told at once: this host has sent a request to a backend server or met a host.
func (g *Gossip) Started() {
	select {
	case g.started <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp4", g.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", g.Address)
	}
	socket, ok := conn.(*net.UDPConn)
	if !ok {
		return errors.Newf("listener on %s is no UDP socket", g.Address)
	}
	works := []func(){
		func() { g.receive(socket) },
		func() { g.find(ctx) },
		func() { g.ask(ctx, socket) },
	}
	ended := make(chan struct{}, len(works))
	for _, work := range works {
		go func() { work(); ended <- struct{}{} }()
	}
	g.send(ctx, socket)
	_ = socket.Close()
	for range works {
		<-ended
	}
	return nil
}

// find registers this host and learns of the others.
func (g *Gossip) find(ctx context.Context) {
	registered := false
	if len(g.Seeds) > 0 {
		ticks.Sleep(ctx, settleTime)
	}
	for ctx.Err() == nil {
		if !registered {
			err := g.Registry.Register(ctx, g.Self, g.Address)
			registered = err == nil
			if err != nil {
				g.Log.Info("host not registered yet", "error", err)
			}
		}
		if registered && (!g.isInformed() || g.heardNone()) {
			g.list(ctx)
		}
		ticks.Sleep(ctx, time.Duration((0.75+rand.Float64()/2)*float64(listPeriod)))
	}
}

func (g *Gossip) list(ctx context.Context) {
	all, err := g.Registry.Addresses(ctx)
	if err != nil {
		g.Log.Info("hosts not listed", "error", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.informed = true
	for name, address := range all {
		if name != g.Self {
			g.meet(name, address)
		}
	}
}

// meet adds a host; the caller holds the lock.
func (g *Gossip) meet(name string, address netip.AddrPort) *peer {
	if g.peers == nil {
		g.peers = make(map[string]*peer)
	}
	p := g.peers[name]
	if p == nil {
		p = &peer{known: time.Now()}
		g.peers[name] = p
		g.Log.Info("host met", "host", name, "address", address)
		// It is told of this host at once.
		g.Started()
	}
	p.address = address
	return p
}

func (g *Gossip) isInformed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.informed
}

func (g *Gossip) heardNone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if time.Since(p.heard) < forgetAfter {
			return false
		}
	}
	return true
}

// Leave tells the others that this host is about to end.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Hosts returns the number of hosts that divided budgets are divided by, this one included.
func (g *Gossip) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, p := range g.peers {
		if time.Since(p.heard) < forgetAfter || time.Since(p.known) < forgetAfter {
			n++
		}
	}
	return n
}

// Names returns the hosts heard lately, this one included.
func (g *Gossip) Names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []string{g.Self}
	for name, p := range g.peers {
		if time.Since(p.heard) < silentAfter {
			names = append(names, name)
		}
	}
	return names
}

// receive takes digests until the socket is closed.
func (g *Gossip) receive(socket *net.UDPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var d Digest
		if err := cbor.Unmarshal(buf[:n], &d); err != nil || d.Host == "" || d.Host == g.Self {
			g.Log.Debug("datagram skipped", "from", from, "bytes", n, "error", err)
			continue
		}
		switch {
		case len(d.Known) > 0:
			g.meetAll(d.Known)
			continue
		case d.Asks:
			g.introduce(socket, from)
		}
		g.take(d, from)
	}
}

// take notes what another host tells.
func (g *Gossip) take(d Digest, from netip.AddrPort) {
	g.mu.Lock()
	p := g.meet(d.Host, from)
	if d.Incarnation < p.incarnation || d.Incarnation == p.incarnation && d.Sequence < p.sequence {
		g.mu.Unlock()
		return
	}
	if p.silent {
		g.Log.Info("host heard again", "host", d.Host, "silent_for", time.Since(p.heard))
	}
	p.incarnation, p.sequence, p.heard, p.silent = d.Incarnation, d.Sequence, time.Now(), false
	p.region, p.cores, p.reading, p.leaving = d.Region, d.Cores, d.Reading, d.Leaving
	p.sends = d.Sends
	g.mu.Unlock()
	loads := make(map[string]pool.Load, len(d.Loads))
	for _, l := range d.Loads {
		loads[l.Server] = pool.Load{Runs: l.Runs, Tokens: l.Tokens, Pending: l.Pending}
	}
	g.Pool.SetRemoteLoads(d.Host, loads)
	g.Crashes.Merge(d.Crashes)
}

// expire drops the loads of silent hosts.
func (g *Gossip) expire() {
	g.mu.Lock()
	var gone []string
	for name, p := range g.peers {
		if !p.silent && !p.heard.IsZero() && time.Since(p.heard) > silentAfter {
			p.silent = true
			gone = append(gone, name)
			g.Log.Info("host silent", "host", name, "heard", time.Since(p.heard))
		}
	}
	g.mu.Unlock()
	for _, name := range gone {
		g.Pool.SetRemoteLoads(name, nil)
	}
}
