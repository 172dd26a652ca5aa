package sched

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/admit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/growth"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/route"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// TickPeriod is the time between two calls of Core.Tick.
const TickPeriod = 20 * time.Millisecond

// memoryRefreshPeriod is the time between two calls of refreshMemory.
const memoryRefreshPeriod = 100 * time.Millisecond

// lengthRefreshPeriod is the time between two runs of refreshLengthEstimates. It is checked every memoryRefreshPeriod.
const lengthRefreshPeriod = 500 * time.Millisecond

// Core makes the scheduling decisions of one host. It is not safe for concurrent use; its methods take the current time.
type Core struct {
	// Host, Domain and Region are the names of the host, its failure domain and its region.
	Host   string
	Domain string
	Region string
	// Capacity tracks which backend servers the host owns and how much it may grant.
	Capacity Capacity
	// Peers returns the other live hosts; nil means none.
	Peers func() []string
	// Seed seeds the random choices, such as the breaking of ties.
	Seed uint64

	view   *board.View
	ledger *admit.Ledger
	// rowLengthEstimates and serviceLengthEstimates are the output length estimates by row and by service.
	rowLengthEstimates     map[board.RowKey]*growth.Curve
	serviceLengthEstimates map[string]*growth.Curve
	backends               map[string]*backend
	pools                  map[string]*route.Pool
	services               []string
	lanes                  map[board.RowKey]*lane
	laneList               []*lane
	// activeLanes are the lanes with requests or claims, and those that lost their last one since the last tick.
	activeLanes []*lane
	waiting     map[string]*pendingRequest
	running     map[string]*runningRequest
	byGrant     map[string]*runningRequest
	// claimSerial numbers the claims of this host.
	claimSerial uint64
	// backendList holds all backend servers in the order of the table, whoever owns them.
	backendList []*backend
	digests     digester
	// link limits the requests sent across the paid link between regions.
	link               linkBudget
	random             *rand.Rand
	memoryRefreshedAt  time.Time
	lengthsRefreshedAt time.Time
	progress           progressQueue
	actions            Actions
	// routeChoices is a buffer for the backend servers that a pool chooses.
	routeChoices []*route.Backend
}

// backend is the host's view of a backend server and its state as the server's owner.
type backend struct {
	route.Backend
	owner ownerState
}

// Configure applies a configuration, also to requests that are already waiting or running.
func (c *Core) Configure(v *board.View, now time.Time) {
	c.init()
	c.view = v
	c.ledger.Configure(v.Rows)
	old := c.backends
	c.backends = make(map[string]*backend, len(v.Backends))
	c.pools = make(map[string]*route.Pool)
	c.services = c.services[:0]
	c.backendList = c.backendList[:0]
	for _, b := range v.Table.Backends {
		c.addBackend(old[b.Name], b)
	}
	for _, l := range c.laneList {
		l.account = c.ledger.Account(l.key)
	}
	c.dropIneligibleClaims(now)
}

func (c *Core) init() {
	if c.ledger != nil {
		return
	}
	c.ledger = admit.NewLedger()
	c.rowLengthEstimates = make(map[board.RowKey]*growth.Curve)
	c.serviceLengthEstimates = make(map[string]*growth.Curve)
	c.lanes = make(map[board.RowKey]*lane)
	c.waiting = make(map[string]*pendingRequest)
	c.running = make(map[string]*runningRequest)
	c.byGrant = make(map[string]*runningRequest)
	c.random = rand.New(rand.NewPCG(c.Seed, uint64(len(c.Host))))
	c.view = &board.View{}
}

func (c *Core) addBackend(b *backend, settings config.Backend) {
	if b == nil {
		b = &backend{}
		b.owner.init()
	}
	b.Backend.Backend = settings
	b.Tier = c.tier(settings.Domain)
	c.backends[settings.Name] = b
	c.backendList = append(c.backendList, b)
	if settings.Draining || c.view.IsOut(settings.Domain) {
		return
	}
	pool := c.pools[settings.Service]
	if pool == nil {
		pool = &route.Pool{}
		c.pools[settings.Service] = pool
		c.services = append(c.services, settings.Service)
	}
	pool.Add(&b.Backend)
}

func (c *Core) tier(domain string) route.Tier {
	switch {
	case domain == c.Domain:
		return route.TierDomain
	case c.view.Domains[domain].Region == c.Region:
		return route.TierRegion
	default:
		return route.TierLink
	}
}

// takesNoNewRequests reports whether the backend server is draining or its failure domain is out.
func (c *Core) takesNoNewRequests(b *backend) bool { return b.Draining || c.view.IsOut(b.Domain) }

// Report records a load report of a backend server.
func (c *Core) Report(name string, l engine.Load, now time.Time) {
	b := c.backends[name]
	if b == nil {
		return
	}
	b.Report(l, now)
	b.owner.addReport(l, now)
	c.grantStarts(b, now)
}

// CacheAfter returns the sequence number of the last recorded cache event of a backend server; zero asks for a snapshot.
func (c *Core) CacheAfter(name string) uint64 {
	if b := c.backends[name]; b != nil {
		return b.Cache.After()
	}
	return 0
}

// CacheEvents records the cache events of a backend server after a sequence number; after zero, they are a snapshot.
func (c *Core) CacheEvents(name string, after uint64, events []engine.CacheEvent) {
	b := c.backends[name]
	switch {
	case b == nil:
	case after == 0:
		b.Cache.Snapshot(events)
	default:
		b.Cache.Apply(events)
	}
}

// Receive handles a message of another host.
func (c *Core) Receive(from peer.Sender, m *peerpb.Message, now time.Time) {
	c.init()
	switch {
	case m.GetClaim() != nil:
		c.receiveClaim(from.Host, m.GetClaim(), now)
	case m.GetGrant() != nil:
		c.receiveGrant(from.Host, m.GetGrant(), now)
	case m.GetRelease() != nil:
		c.receiveRelease(m.GetRelease(), now)
	case m.GetProgress() != nil:
		c.receiveProgress(m.GetProgress(), now)
	case m.GetUsageDigest() != nil:
		c.receiveDigest(from, m.GetUsageDigest(), now)
	}
}

// Tick does the periodic work that is due now; it is called every TickPeriod.
func (c *Core) Tick(now time.Time) {
	c.init()
	if now.Sub(c.memoryRefreshedAt) >= memoryRefreshPeriod {
		c.memoryRefreshedAt = now
		c.refreshMemory(now)
	}
	c.updateActiveLanes(now)
	for _, b := range c.backendList {
		c.grantStarts(b, now)
	}
	c.sendProgress(now)
	c.sendDigests(now)
}

// refreshLengthEstimates updates the output length estimates, marks slow engines and drops outdated load hints, once per
// lengthRefreshPeriod.
func (c *Core) refreshLengthEstimates(now time.Time) {
	if now.Sub(c.lengthsRefreshedAt) < lengthRefreshPeriod {
		return
	}
	c.lengthsRefreshedAt = now
	for _, m := range c.serviceLengthEstimates {
		m.Refresh()
	}
	for _, k := range c.rowLengthEstimates {
		k.Refresh()
	}
	for _, p := range c.pools {
		p.MarkOutliers()
	}
	for _, b := range c.backendList {
		b.Expire(now)
	}
}

// refreshMemory expires old grants and updates the estimated lengths and memory of the running sequences. It also calls
// refreshLengthEstimates.
func (c *Core) refreshMemory(now time.Time) {
	c.refreshLengthEstimates(now)
	for _, b := range c.backendList {
		c.expireGrant(b, now)
		b.owner.refresh(now)
	}
}

// lengthEstimate returns the output length estimate of a row, created with that of its service as the prior.
func (c *Core) lengthEstimate(key board.RowKey) *growth.Curve {
	if k := c.rowLengthEstimates[key]; k != nil {
		return k
	}
	model := c.serviceLengthEstimates[key.Service]
	if model == nil {
		model = &growth.Curve{}
		c.serviceLengthEstimates[key.Service] = model
	}
	k := &growth.Curve{Prior: model}
	c.rowLengthEstimates[key] = k
	return k
}

// TakeActions stores the actions since the last call in into. It keeps into's former slices and overwrites them later,
// so the caller must not use them afterwards.
func (c *Core) TakeActions(into *Actions) {
	into.Starts, into.Refusals, into.Sends = into.Starts[:0], into.Refusals[:0], into.Sends[:0]
	*into, c.actions = c.actions, *into
}

func (c *Core) send(to string, m *peerpb.Message) {
	c.actions.Sends = append(c.actions.Sends, peer.Outgoing{To: to, Message: m})
}
