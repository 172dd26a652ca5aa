// Package gossip exchanges the state of the hosts of a deployment by UDP datagrams.
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
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/tally"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// period is the interval of broadcasts of changes. Placement works well even with loads that are many batch steps of
	// an engine old.
	period = 150 * time.Millisecond
	// heartbeat is the interval of broadcasts without changes.
	heartbeat = time.Second
	// unresponsiveAfter is the time without a digest after which a host's load is dropped; its requests have ended with it.
	unresponsiveAfter = 2500 * time.Millisecond
	// incarnationLapse is the time without a datagram after which an incarnation has ended: hosts that run send one each heartbeat.
	incarnationLapse = 2 * heartbeat
	// forgetAfter is the time without a digest after which a host no longer counts for divided budgets. A host that is
	// partitioned off keeps spending its part until then.
	forgetAfter = 60 * time.Second
	// urgentInterval is the minimum time between two digests to one host after a request has been sent.
	urgentInterval = 10 * time.Millisecond
	// hostsPerPeriod is the number of hosts that receive digests within one period.
	hostsPerPeriod = 40
	// maxDatagram bounds the bytes of a digest; larger ones would be fragmented.
	maxDatagram = 8 << 10
	// introRetryInterval is how often a host without peers requests introductions from its seeds. introRefreshInterval is
	// how often it requests them later from a random peer, in case it has missed some.
	introRetryInterval   = 200 * time.Millisecond
	introRefreshInterval = 10 * time.Second
	// introStartTime is the time after a start in which introductions are requested every introStartInterval, since other
	// hosts may have started at the same time and known few.
	introStartTime     = 1500 * time.Millisecond
	introStartInterval = 500 * time.Millisecond
	// metHosts and metShare are the number and the share of hosts, met by their digests within introStartInterval, from which on
	// others are likely to be unknown too. Fewer are hosts that start.
	metHosts = 3
	metShare = 0.1
	// discoveryTime is the time in which hosts that start together discover each other, and readerElectionTime the time in
	// which the elected reader announces that it reads the store. Hosts of a deployment start within 0.3 s of each other.
	discoveryTime      = 150 * time.Millisecond
	readerElectionTime = time.Second
	// listPeriod is how often the registered hosts are listed while none has been seen.
	listPeriod = 3 * time.Second
	// registryTimeout bounds one call to the registry, which may answer without end.
	registryTimeout = 3 * time.Second
	// registerSpread is the time over which hosts register again once the store has come back from a copy.
	registerSpread = time.Second
)

// Registry stores the addresses of all hosts.
type Registry interface {
	Register(ctx context.Context, name string, address netip.AddrPort) error
	Addresses(ctx context.Context) (map[string]netip.AddrPort, error)
}

// Eras reports the returns of the store from a copy, which lacks what was registered last.
type Eras interface {
	// Changes returns their number, and when this host learned of the last one.
	Changes() (int, time.Time)
	// OnChange calls f at each of them until remove is called.
	OnChange(f func()) (remove func())
}

// Backlogs returns the requests that wait at this host, by service.
type Backlogs interface {
	Locals() map[string]queue.Backlog
}

// Gossip exchanges digests with the other hosts.
type Gossip struct {
	Self    string
	Domain  string
	Region  string
	Address netip.AddrPort
	// Cores is the host's processor share; hosts with more of it read the store for others.
	Cores float64
	// MeshHosts is the number of hosts up to which each sends its digests to all others. Once one has known more, each sends
	// them to the relays of its failure domain, which pass on sums: the datagrams grow with the hosts, not with their square.
	MeshHosts int
	Registry  Registry
	// Eras reports when the store has come back from a copy; nil if it never does.
	Eras Eras
	// Seeds are hosts to request introductions from; some may be stale or down.
	Seeds []netip.AddrPort
	// IsReading reports whether this host reads the store and can read it for others.
	IsReading func() bool
	Pool      *pool.Pool
	Crashes   *crash.Table
	Notices   *notice.Table
	Budget    *budget.Shared
	Queue     Backlogs
	// Rollouts is what this host knows of roll-outs; nil where they are not switched on.
	Rollouts Rollouts
	Log      *slog.Logger

	// listen opens the socket for digests; tests replace it by one in memory.
	listen func(ctx context.Context, address netip.AddrPort) (socket, error)

	// wake triggers a broadcast at once: when this host has sent a request, whose load the others need before they place
	// their next ones, and when it has discovered a host.
	wake   chan struct{}
	pauses pauses

	mu      sync.Mutex
	peers   map[string]*peer
	leaving bool
	// discovered reports whether this host has received the others' addresses, from one of them or from the registry.
	discovered bool
	// met is the number of hosts that this one has met by their digests in the last introStartInterval.
	met int
	// startedAt is when this host started; it never changes.
	startedAt time.Time
	// reporters are the counts of the hosts that send their digests to this one.
	reporters  tally.Sources
	startRates startRates
	rollouts   rolloutState
	fleet
	view view

	// apply is held while loads are received and put into the pool, so that those of single hosts and sums don't mix. It comes
	// before the locks of Gossip and pool.
	apply sync.Mutex
}

// peer is another host.
type peer struct {
	name        string
	address     netip.AddrPort
	incarnation int64
	sequence    uint64
	lastSeen    time.Time
	// firstSeen is when the host was added.
	firstSeen    time.Time
	unresponsive bool
	// reportedAt is when the host last sent its digest to this one, and isReporting whether it took this one for a relay.
	reportedAt  time.Time
	isReporting bool
	// lastSent is when a digest was last sent to the host.
	lastSent         time.Time
	lastSentSequence uint64
	// lastSentEvidence is the version of the evidence of crashes that was last sent to the host.
	lastSentEvidence uint64
	region           string
	domain           string
	cores            float64
	reading          bool
	leaving          bool
	relayState
}

// Name names the controller in logs.
func (g *Gossip) Name() string { return "gossip" }

// New returns a Gossip; its exported fields must be set before Run.
func New() *Gossip {
	g := &Gossip{MeshHosts: meshHosts, wake: make(chan struct{}, 1), startedAt: time.Now(), listen: listenUDP}
	g.reporters = tally.Sources{MaxAge: unresponsiveAfter, MaxKnownAge: forgetAfter}
	g.domains = tally.Sources{MaxAge: unresponsiveAfter, MaxKnownAge: forgetAfter}
	g.hasSingles = true
	g.incarnation = g.startedAt.UnixMilli()
	return g
}

// BroadcastNow triggers a broadcast without waiting for the next period.
func (g *Gossip) BroadcastNow() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	socket, err := g.listen(ctx, g.Address)
	if err != nil {
		return err
	}
	loops := []func(){
		func() { g.receive(socket) },
		func() { g.discover(ctx) },
		func() { g.requestIntroductions(ctx, socket) },
	}
	ended := make(chan struct{}, len(loops))
	for _, loop := range loops {
		go func() { loop(); ended <- struct{}{} }()
	}
	g.broadcast(ctx, socket)
	_ = socket.Close()
	for range loops {
		<-ended
	}
	return nil
}

// discover registers this host, and lists the others until it has discovered some and while it sees none.
func (g *Gossip) discover(ctx context.Context) {
	registered, returns := false, 0
	returned := make(chan struct{}, 1)
	if g.Eras != nil {
		returns, _ = g.Eras.Changes()
		defer g.Eras.OnChange(func() {
			select {
			case returned <- struct{}{}:
			default:
			}
		})()
	}
	if len(g.Seeds) > 0 {
		ticks.Sleep(ctx, discoveryTime)
	}
	for ctx.Err() == nil {
		if n := g.returns(); n != returns {
			returns, registered = n, false
			ticks.Sleep(ctx, time.Duration(rand.Float64()*float64(registerSpread)))
			g.Log.Info("host registers again after the store's return")
		}
		if !registered && g.mustRegister() {
			err := g.register(ctx)
			registered = err == nil
			if err != nil {
				g.Log.Info("could not register host, retrying", "error", err)
			}
		}
		if registered && (!g.hasDiscovered() || g.hasNoRecentPeer()) {
			g.listRegistered(ctx)
		}
		timer := time.NewTimer(time.Duration((0.75 + rand.Float64()/2) * float64(listPeriod)))
		select {
		case <-timer.C:
		case <-returned:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// returns returns the number of the store's returns from a copy.
func (g *Gossip) returns() int {
	if g.Eras == nil {
		return 0
	}
	n, _ := g.Eras.Changes()
	return n
}

func (g *Gossip) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	return g.Registry.Register(ctx, g.Self, g.Address)
}

func (g *Gossip) listRegistered(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	all, err := g.Registry.Addresses(ctx)
	if err != nil {
		g.Log.Info("could not list hosts", "error", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discovered = true
	for name, address := range all {
		if name != g.Self {
			g.addPeer(name, address)
		}
	}
}

// addPeer adds a host or updates its address; the caller holds the lock.
func (g *Gossip) addPeer(name string, address netip.AddrPort) *peer {
	if g.peers == nil {
		g.peers = make(map[string]*peer)
	}
	p := g.peers[name]
	if p == nil {
		p = &peer{name: name, firstSeen: time.Now()}
		g.peers[name] = p
		g.Log.Info("host discovered", "host", name, "address", address)
		// The new peer receives this host's digest at once.
		g.BroadcastNow()
	}
	p.address = address
	return p
}

func (g *Gossip) hasDiscovered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discovered
}

func (g *Gossip) hasNoRecentPeer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if time.Since(p.lastSeen) < forgetAfter {
			return false
		}
	}
	return true
}

// Leave marks this host as leaving in its next digests.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Hosts returns the number of hosts that budgets are divided among, this one included.
func (g *Gossip) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known(time.Now())
}

// known implements Hosts; the caller holds the lock.
func (g *Gossip) known(now time.Time) int {
	n := 1
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < forgetAfter || now.Sub(p.firstSeen) < forgetAfter {
			n++
		}
	}
	if now.Sub(g.summedAt) < forgetAfter {
		n = max(n, g.others.Known+1)
	}
	return n
}

// LiveHosts returns the names of the hosts seen recently, this one included.
func (g *Gossip) LiveHosts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []string{g.Self}
	for name, p := range g.peers {
		if time.Since(p.lastSeen) < unresponsiveAfter {
			names = append(names, name)
		}
	}
	return names
}

// LiveCount returns the number of hosts seen recently, this one included.
func (g *Gossip) LiveCount() int {
	if _, hosts, ok := g.rank(); ok {
		return hosts
	}
	return len(g.LiveHosts())
}

// receive processes digests until the socket is closed.
func (g *Gossip) receive(socket socket) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			g.Log.Debug("datagram skipped", "from", from, "bytes", n, "error", err)
			continue
		}
		g.handle(socket, m, from)
	}
}

// handle processes one datagram.
func (g *Gossip) handle(socket socket, m message, from netip.AddrPort) {
	if len(m.Summary) > 0 {
		var s Summary
		if err := cbor.Unmarshal(m.Summary, &s); err != nil || s.Host == "" || s.Host == g.Self {
			g.Log.Debug("summary skipped", "from", from, "error", err)
			return
		}
		if g.mergeRollouts(s.Rollouts) {
			return
		}
		g.applySummary(m, s, from)
	}
	d := m.Digest
	if d == nil || d.Host == "" || d.Host == g.Self || g.mergeRollouts(d.Rollouts) {
		return
	}
	switch {
	case len(d.Introductions) > 0:
		g.addIntroduced(*d)
	case d.WantsIntroductions:
		g.introduce(socket, from)
		g.addStarting(*d, from)
	default:
		g.merge(*d, from)
	}
}

// addStarting adds a host that requests introductions.
func (g *Gossip) addStarting(d Digest, from netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addPeer(d.Host, from)
	p.region, p.domain, p.cores, p.lastSeen = d.Region, d.Domain, d.Cores, time.Now()
}

// isOutdated reports whether a datagram of an incarnation comes after one of a later incarnation, heard some time ago. A host whose
// clock has been set back starts with a lower incarnation: that counts once the later one is silent.
func isOutdated(incarnation, last int64, silentFor time.Duration) bool {
	return incarnation < last && silentFor < incarnationLapse
}

// merge applies another host's digest unless it is older than the last one.
func (g *Gossip) merge(d Digest, from netip.AddrPort) {
	now := time.Now()
	g.apply.Lock()
	defer g.apply.Unlock()
	g.mu.Lock()
	if g.peers[d.Host] == nil && now.Sub(g.startedAt) > introStartTime {
		g.met++
	}
	p := g.addPeer(d.Host, from)
	if isOutdated(d.Incarnation, p.incarnation, now.Sub(p.reportedAt)) || d.Incarnation == p.incarnation && d.Sequence < p.sequence {
		g.mu.Unlock()
		return
	}
	if p.unresponsive {
		g.Log.Info("host heard again", "host", d.Host, "silent_for", now.Sub(p.lastSeen))
	}
	p.incarnation, p.sequence, p.lastSeen, p.unresponsive = d.Incarnation, d.Sequence, now, false
	p.region, p.domain, p.cores, p.reading, p.leaving = d.Region, d.Domain, d.Cores, d.Reading, d.Leaving
	p.reportedAt, p.isReporting = now, d.IsRelayed
	p.heard()
	if d.IsRelayed {
		g.useRelays("reported_by", d.Host)
	}
	c := countsOf(d.Loads, d.Services)
	g.reporters.Put(d.Host, c, now)
	hasSingles := g.hasSingles
	g.mu.Unlock()
	if hasSingles {
		g.Pool.SetRemoteLoads(d.Host, c.Loads)
	}
	g.Crashes.Merge(d.Crashes)
	g.mergeNotices(d.Host, d.Notices, now)
}

// expire marks hosts without recent digests as unresponsive and drops their loads.
func (g *Gossip) expire() {
	g.apply.Lock()
	defer g.apply.Unlock()
	g.mu.Lock()
	var unresponsive []string
	isRelayed := g.isRelayed(time.Now())
	for name, p := range g.peers {
		if isRelayed && (!g.hasSingles && p.domain != g.Domain || p.reportedAt.IsZero() && p.relayedAt.IsZero()) {
			// Only relays and the hosts that report to this one are heard.
			continue
		}
		if !p.unresponsive && !p.lastSeen.IsZero() && time.Since(p.lastSeen) > unresponsiveAfter {
			p.unresponsive = true
			unresponsive = append(unresponsive, name)
			g.Log.Info("host silent", "host", name, "heard", time.Since(p.lastSeen))
		}
	}
	isSumLost := g.hasSum && time.Since(g.summedAt) > unresponsiveAfter
	g.mu.Unlock()
	for _, name := range unresponsive {
		g.Pool.SetRemoteLoads(name, nil)
	}
	if isSumLost {
		g.Log.Info("sum of the other hosts' loads lost")
		g.dropSum()
	}
}
