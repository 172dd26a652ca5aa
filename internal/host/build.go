package host

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/audit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/drain"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/entry"
	"github.com/tarragonspur/tarragonspur/internal/grant"
	"github.com/tarragonspur/tarragonspur/internal/idem"
	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/internal/member"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/order"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/probe"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/internal/spread"
	"github.com/tarragonspur/tarragonspur/internal/store"
	"github.com/tarragonspur/tarragonspur/internal/survey"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// answersBytes bounds the bytes of all answers of backend servers that the host holds, except the first of each.
const answersBytes = 64 << 20

// constructors lists the constructors of all components of a host.
var constructors = [...]any{
	newBoard,
	newSender,
	newAnswers,
	newCertificateSource,
	newStore,
	newPeerClient,
	newPeerServer,
	newOutbox,
	newReceivers,
	newEngineClient,
	metric.New,
	metric.NewIntake,
	newMember,
	newGrants,
	newCapacity,
	newScheduler,
	newBudget,
	newPoisonTable,
	newPoisonGossip,
	newRelay,
	newCallRunner,
	newIdempotencyRegistry,
	newIdempotencySweeper,
	newOrderLease,
	newOrderDriver,
	newDemand,
	newAPI,
	newAdmin,
	newDrain,
	newSyncer,
	newSurvey,
	newCommitter,
	newProbe,
	newControllers,
	newClosers,
}

// Build assembles a host from its settings and open listeners. It starts nothing; see Host.Run.
func Build(s config.Settings, l Listeners, log *slog.Logger) (*Host, error) {
	c := dig.New()
	values := []any{
		func() config.Settings { return s },
		func() Listeners { return l },
		func() *slog.Logger { return log },
	}
	for _, constructor := range append(values, constructors[:]...) {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.Wrap(err, "compose host")
		}
	}
	var built *Host
	err := c.Invoke(func(h Host, outbox *peer.Outbox, receivers []peer.Receiver, table *poison.Table, gossip *poison.Gossip) {
		outbox.Receivers = receivers
		table.Broadcaster = gossip
		built = &h
	})
	return built, errors.Wrap(err, "compose host")
}

func newBoard() *board.Board { return &board.Board{} }

// newAnswers returns what all answers of backend servers take memory from.
func newAnswers() *memory.Pool { return &memory.Pool{} }

func newEngineClient(answers *memory.Pool) *engine.Client {
	c := engine.NewClient()
	c.Memory = answers.NewAccount(answersBytes)
	return c
}

func newSender(s config.Settings) peer.Sender {
	return peer.Sender{Host: s.Host, Incarnation: uint64(time.Now().UnixNano()), Domain: s.Domain}
}

func newStore(s config.Settings) *store.Client { return store.NewClient(s.Store) }

// newCertificateSource returns nil where the settings name no certificate.
func newCertificateSource(s config.Settings) (*secure.CertificateSource, error) {
	if s.TLS == (config.TLS{}) {
		return nil, nil
	}
	return secure.NewCertificateSource(s.TLS)
}

func newPeerClient(self peer.Sender, source *secure.CertificateSource) *peer.Client {
	c := &peer.Client{Self: self}
	if source != nil {
		c.Credentials = source.Credentials()
	}
	return c
}

func newPeerServer(self peer.Sender, source *secure.CertificateSource, receivers []peer.Receiver) *peer.Server {
	server := &peer.Server{Self: self, Receivers: receivers}
	if source != nil {
		server.Credentials = source.Credentials()
	}
	return server
}

// newOutbox returns an outbox without receivers: the receivers are built with it, so Build sets them last.
func newOutbox(b *board.Board, client *peer.Client, log *slog.Logger) *peer.Outbox {
	address := func(name string) (netip.AddrPort, bool) {
		h, ok := b.Hosts.Get(name)
		return h.Address, ok
	}
	o := &peer.Outbox{Transport: client, Address: address, Log: log}
	client.OnReplies = o.HandleReplies
	return o
}

// receiverParams are the components that receive messages from peers.
type receiverParams struct {
	dig.In

	Member    *member.Control
	Grants    *grant.Control
	Spread    *spread.Syncer
	Survey    *survey.Survey
	Poison    *poison.Gossip
	Scheduler *sched.Scheduler
}

// newReceivers lists the components that receive messages from peers.
func newReceivers(p receiverParams) []peer.Receiver {
	return []peer.Receiver{
		p.Member,
		p.Grants,
		p.Spread,
		p.Survey,
		p.Poison,
		p.Scheduler,
	}
}

func newMember(b *board.Board, self peer.Sender, st *store.Client, o *peer.Outbox, s config.Settings, log *slog.Logger) *member.Control {
	m := &member.Member{
		Self:   board.Host{Name: self.Host, Domain: self.Domain, Region: s.Region, Address: s.Peers, Incarnation: self.Incarnation},
		Period: time.Duration(s.Timing.Heartbeat),
		Hosts:  &b.Hosts,
		Seed:   rand.Uint64(),
	}
	return &member.Control{Member: m, Platform: st, Out: o, Log: log}
}

func newGrants(b *board.Board, self peer.Sender, m *member.Control, o *peer.Outbox, s config.Settings) *grant.Control {
	l := &grant.Ledger{Self: self.Host, Domain: self.Domain, Incarnation: self.Incarnation, Period: time.Duration(s.Timing.Heartbeat)}
	return &grant.Control{Ledger: l, Board: b, Members: m, Out: o}
}

func newCapacity(g *grant.Control) sched.Capacity { return g }

func newScheduler(b *board.Board, s config.Settings, o *peer.Outbox, capacity sched.Capacity) *sched.Scheduler {
	core := &sched.Core{Host: s.Host, Domain: s.Domain, Region: s.Region, Capacity: capacity, Seed: rand.Uint64(), Peers: livePeers(b, s.Host)}
	return &sched.Scheduler{Board: b, Core: core, Sender: o}
}

// livePeers returns a function that lists the names of the other hosts whose state is live or suspect.
func livePeers(b *board.Board, self string) func() []string {
	return func() []string {
		var names []string
		for _, h := range b.Hosts.All() {
			if h.Name != self && (h.State == board.HostLive || h.State == board.HostSuspect) {
				names = append(names, h.Name)
			}
		}
		return names
	}
}

func newBudget() *budget.Retry { return &budget.Retry{} }

// newPoisonTable returns a table without a broadcaster: the gossip is built with the table, so Build sets it last.
func newPoisonTable() *poison.Table { return &poison.Table{} }

func newPoisonGossip(b *board.Board, o *peer.Outbox, t *poison.Table, self peer.Sender, log *slog.Logger) *poison.Gossip {
	return &poison.Gossip{Self: self.Host, Hosts: &b.Hosts, Out: o, Table: t, Log: log}
}

func newRelay(b *board.Board, p *sched.Scheduler, e *engine.Client, r *budget.Retry, t *poison.Table, s config.Settings, m *metric.Set, log *slog.Logger) *relay.Relay {
	return &relay.Relay{
		Placer:    p,
		Engines:   e,
		Rules:     relay.Rules{FrameTimeout: time.Duration(s.Timing.Silence)},
		Budget:    r,
		Guard:     t,
		Decisions: &b.Decisions,
		Meter:     m,
		Continues: func(service string) bool { return b.Config.View().Services[service].Continuation },
		Log:       log,
	}
}

func newCallRunner(b *board.Board, p *sched.Scheduler, r *budget.Retry, k *idem.Registry, t *poison.Table, m *metric.Set) *call.Runner {
	return &call.Runner{
		Placer:      p,
		Sender:      call.NewHTTPSender(),
		Budget:      r,
		Idempotency: k,
		Guard:       t,
		Clock:       call.SystemClock{},
		Decisions:   &b.Decisions,
		Attempts:    m.Attempts,
	}
}

func newIdempotencyRegistry(b *board.Board, st *store.Client, self peer.Sender, s config.Settings) *idem.Registry {
	return &idem.Registry{
		Store:     st,
		Self:      idem.Holder{Host: self.Host, Incarnation: self.Incarnation},
		IsGone:    func(h idem.Holder) bool { return b.Hosts.IsGone(h.Host, h.Incarnation) },
		CallLimit: time.Duration(s.Limits.Call),
		Clock:     call.SystemClock{},
	}
}

// newOrderLease returns the lease that a host must hold to send orders to the engines of its failure domain. Only
// a few hosts compete for it, and none where no engine takes orders.
func newOrderLease(b *board.Board, st *store.Client, self peer.Sender, log *slog.Logger) *lease.Keeper {
	return &lease.Keeper{
		Store: st, Lease: order.LeasePrefix + self.Domain, Holder: self.Host, Incarnation: self.Incarnation,
		Duration:    order.LeaseDuration,
		IsCandidate: func() bool { return order.IsCandidate(b, self.Host, self.Domain) },
		Log:         log,
	}
}

func newOrderDriver(b *board.Board, l *lease.Keeper, e *engine.Client, d *order.Demand, self peer.Sender, log *slog.Logger) *order.Driver {
	return &order.Driver{Board: b, Lease: l, Engines: e, Demand: d.Estimate, Domain: self.Domain, Log: log}
}

func newDemand() *order.Demand { return &order.Demand{} }

func newIdempotencySweeper(b *board.Board, st *store.Client, k *idem.Registry, log *slog.Logger) *idem.Sweeper {
	return &idem.Sweeper{Registry: k, Lister: st, Board: b, Log: log}
}

func newAPI(b *board.Board, r *relay.Relay, c *call.Runner, d *order.Demand, answers *memory.Pool, s config.Settings, m *metric.Set, log *slog.Logger) *entry.API {
	return &entry.API{Board: b, Domain: s.Domain, Relay: r, Calls: c, Demand: d, Answers: answers, AnswersBytes: answersBytes, Limits: s.Limits, Metrics: m, Log: log}
}

func newAdmin(b *board.Board, st *store.Client, c *commit.Committer, sv *survey.Survey, s config.Settings, log *slog.Logger) *admin.Admin {
	return &admin.Admin{Board: b, Changes: c, Trail: &audit.Trail{Store: st}, Fleet: sv, Keys: s.OperatorKeys, Log: log}
}

func newCommitter(b *board.Board, st *store.Client, sp *spread.Syncer) *commit.Committer {
	return &commit.Committer{Board: b, Store: st, Log: sp}
}

func newSurvey(b *board.Board, self peer.Sender, client *peer.Client, sp *spread.Syncer) *survey.Survey {
	return &survey.Survey{Self: self.Host, Domain: self.Domain, Board: b, Transport: client, Forked: sp.IsForked}
}

func newDrain(b *board.Board, m *member.Control, g *grant.Control, s config.Settings, log *slog.Logger) *drain.Drain {
	return &drain.Drain{
		Board:       b,
		Members:     m,
		Grants:      g,
		FlushDelay:  time.Duration(s.Timing.Heartbeat),
		BalancerLag: time.Duration(s.Timing.BalancerLag),
		Limit:       time.Duration(s.Timing.DrainLimit),
		Log:         log,
	}
}

func newSyncer(b *board.Board, st *store.Client, self peer.Sender, o *peer.Outbox, m *metric.Set, log *slog.Logger) (*spread.Syncer, error) {
	s := &spread.Syncer{Self: self.Host, Domain: self.Domain, Board: b, Store: st, Peers: o, Log: log}
	return s, s.RegisterGauges(m)
}

func newProbe(b *board.Board, e *engine.Client, p *sched.Scheduler, s config.Settings) *probe.Probe {
	return &probe.Probe{Board: b, Loads: e, Events: e, Index: p, Domain: s.Domain, Period: time.Duration(s.Timing.LoadPoll)}
}

// controllerParams are the components that run as controllers of a host.
type controllerParams struct {
	dig.In

	Outbox    *peer.Outbox
	Member    *member.Control
	Grants    *grant.Control
	Spread    *spread.Syncer
	Probe     *probe.Probe
	Sweeper   *idem.Sweeper
	Lease     *lease.Keeper
	Orders    *order.Driver
	Poison    *poison.Gossip
	Scheduler *sched.Scheduler
}

// newControllers lists the controllers that Host.Run starts.
func newControllers(p controllerParams) []Controller {
	return []Controller{
		p.Outbox,
		p.Member,
		p.Grants,
		p.Spread,
		p.Probe,
		p.Sweeper,
		p.Lease,
		p.Orders,
		p.Poison,
		p.Scheduler,
	}
}

func newClosers(st *store.Client, p *peer.Client, e *engine.Client, r *relay.Relay, c *call.Runner) []Closer {
	return []Closer{r, st, p, e, c}
}
