package scale

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/grant"
	"github.com/tarragonspur/tarragonspur/internal/member"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/spread"
)

// role is a part of a host's control code.
type role int

const (
	roleMember role = iota
	roleGrant
	roleSpread
	rolePlace
	roleCount
)

// String returns the name of the role in results.
func (r role) String() string {
	return [...]string{"member", "grant", "spread", "place"}[r]
}

// callOverhead is the bytes of one batch on an open stream besides its messages, including HTTP/2 frames and
// acknowledgements, as TestBatchOverhead of package peer counts them.
const callOverhead = 16

// cost is the network traffic and processor time of one role on one host.
type cost struct {
	bytes    int
	messages int
	calls    int
	cpuTime  time.Duration
}

// node is the control code of one host.
type node struct {
	fleet  *fleet
	board  *board.Board
	member *member.Member
	ledger *grant.Ledger
	spread *spread.Core
	place  *sched.Core
	costs  [roleCount]cost
	// storeReads counts calls of the object API; watching is true while a watch is open there.
	storeReads int
	watching   bool
	view       *board.View
	actions    sched.Actions
}

func newNode(f *fleet, i int, now time.Time) *node {
	self := newHost(i)
	n := &node{fleet: f, board: &board.Board{}}
	n.member = &member.Member{Self: self, Period: memberPeriod, Hosts: &n.board.Hosts, Seed: uint64(i)}
	n.ledger = &grant.Ledger{Self: self.Name, Domain: self.Domain, Incarnation: 1, Period: grantPeriod}
	n.spread = &spread.Core{Self: self.Name, Domain: self.Domain, Board: n.board, Rand: rand.New(rand.NewPCG(f.seed, uint64(i))), Started: now}
	n.place = &sched.Core{
		Host: self.Name, Domain: self.Domain, Region: self.Region, Capacity: n.ledger, Peers: n.peers, Seed: uint64(i),
	}
	return n
}

// peers returns the live and suspect hosts of the host's local view: its failure domain and its contacts in others.
func (n *node) peers() []string {
	var names []string
	for _, h := range n.board.Hosts.All() {
		if h.Name != n.member.Self.Name && (h.State == board.HostLive || h.State == board.HostSuspect) {
			names = append(names, h.Name)
		}
	}
	return names
}

// measure calls f, adds its processor time to the role's cost and sends the messages that it returns.
func (n *node) measure(r role, f func() []peer.Outgoing) {
	started := time.Now()
	out := f()
	n.costs[r].cpuTime += time.Since(started)
	n.send(r, out)
}

// send delivers messages, with one call for each host.
func (n *node) send(r role, out []peer.Outgoing) {
	for len(out) > 0 {
		to := out[0].To
		var batch []*peerpb.Message
		rest := out[:0:0]
		for _, o := range out {
			if o.To == to {
				batch = append(batch, o.Message)
				continue
			}
			rest = append(rest, o)
		}
		n.deliver(r, to, batch)
		out = rest
	}
}

// deliver sends a batch to a host and counts its cost at both ends.
func (n *node) deliver(r role, to string, batch []*peerpb.Message) {
	target := n.fleet.byName[to]
	if target == nil || target == n {
		return
	}
	size := proto.Size(&peerpb.Batch{Messages: batch})
	for _, endpoint := range []*node{n, target} {
		endpoint.costs[r].bytes += size + callOverhead
		endpoint.costs[r].messages += len(batch)
		endpoint.costs[r].calls++
	}
	from := peer.Sender{Host: n.member.Self.Name, Incarnation: 1, Domain: n.member.Self.Domain}
	n.fleet.loop.After(n.fleet.delay(n, target), func() {
		for _, m := range batch {
			target.receive(r, from, m)
		}
		target.performActions()
	})
}

// receive passes a message to the part that handles its kind; parts ignore messages that they do not handle.
func (n *node) receive(r role, from peer.Sender, m *peerpb.Message) {
	now := n.fleet.loop.Now()
	n.measure(r, func() []peer.Outgoing {
		switch body := m.GetBody().(type) {
		case *peerpb.Message_Heartbeat, *peerpb.Message_MemberDigest:
			return n.member.Receive(from, m, now)
		case *peerpb.Message_Lend:
			return n.ledger.Receive(from.Host, body.Lend, now)
		}
		if r == roleSpread {
			answers, others := n.spread.Receive(now, from.Host, m)
			for _, a := range answers {
				others = append(others, peer.Outgoing{To: from.Host, Message: a})
			}
			return others
		}
		n.place.Receive(from, m, now)
		return nil
	})
}

func (n *node) tickMember() {
	n.measure(roleMember, func() []peer.Outgoing { return n.member.Tick(n.fleet.loop.Now()) })
}

func (n *node) tickGrant() {
	n.measure(roleGrant, func() []peer.Outgoing {
		n.configure()
		v := grant.NewHostView(n.member.Present(), n.board.Hosts.All(), n.ledger.Domain)
		v.Listed = true
		return n.ledger.Tick(v, n.fleet.loop.Now())
	})
}

// configure applies a new configuration to the ledger and the scheduler.
func (n *node) configure() {
	view := n.board.Config.View()
	if view == n.view {
		return
	}
	n.view = view
	n.ledger.SetBackends(grant.Backends(view))
	n.place.Configure(view, n.fleet.loop.Now())
}

func (n *node) tickSpread() {
	now := n.fleet.loop.Now()
	n.measure(roleSpread, func() []peer.Outgoing {
		plan := n.spread.Tick(now)
		n.watching = plan.Watch
		if !plan.Fetch {
			return plan.Messages
		}
		n.storeReads += fetchCalls
		return append(plan.Messages, n.spread.FetchSucceeded(now, now, spread.FetchResult{})...)
	})
}

func (n *node) tickPlace() {
	n.measure(rolePlace, func() []peer.Outgoing {
		n.place.Tick(n.fleet.loop.Now())
		return nil
	})
	n.performActions()
}

// learn applies a change that this host accepted from an operator.
func (n *node) learn(e change.Entry) {
	n.measure(roleSpread, func() []peer.Outgoing { return n.spread.Apply(n.fleet.loop.Now(), []change.Entry{e}) })
}

// submit passes a request to the scheduler.
func (n *node) submit(r sched.Request) {
	n.measure(rolePlace, func() []peer.Outgoing {
		n.place.Submit(r, n.fleet.loop.Now())
		return nil
	})
	n.performActions()
}

// performActions starts requests and sends messages as the scheduler decided.
func (n *node) performActions() {
	n.place.TakeActions(&n.actions)
	starts := slices.Clone(n.actions.Starts)
	sends := slices.Clone(n.actions.Sends)
	n.fleet.refused += len(n.actions.Refusals)
	n.send(rolePlace, sends)
	for _, s := range starts {
		n.fleet.start(n, s)
	}
}

// report reports the load of the engines that this host owns to the ledger and the scheduler.
func (n *node) report() {
	now := n.fleet.loop.Now()
	for _, b := range n.view.Table.Backends {
		if owner, _ := n.ledger.Owner(b.Name); owner != n.member.Self.Name || b.Domain != n.member.Self.Domain {
			continue
		}
		load := n.fleet.load(b.Name, now)
		n.measure(rolePlace, func() []peer.Outgoing {
			n.ledger.Report(b.Name, load, now)
			n.place.Report(b.Name, load, now)
			return nil
		})
		n.costs[rolePlace].bytes += reportBytes
		n.costs[rolePlace].calls++
	}
}

// load returns the load report of an engine with running requests and total tokens of memory.
func load(running, total int, now time.Time) engine.Load {
	used := min(total, running*(promptTokens+outputTokens/2))
	return engine.Load{Boot: "1", At: now, Running: running, UsedTokens: used, TotalTokens: total, TokenGap: tokenGap}
}
