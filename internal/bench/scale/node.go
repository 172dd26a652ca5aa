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

// callOverhead is the bytes of one batch on an open stream beside its messages, HTTP/2 frames and acknowledgements
// included, as TestBatchOverhead of package peer counts them.
const callOverhead = 16

// cost is what one role of one host has used.
type cost struct {
	bytes    int
	messages int
	calls    int
	busy     time.Duration
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
	// storeReads counts calls of the object API, watching says that a watch waits there.
	storeReads int
	watching   bool
	view       *board.View
	buf        sched.Actions
}

func newNode(f *fleet, i int, now time.Time) *node {
	self := hostOf(i)
	n := &node{fleet: f, board: &board.Board{}}
	n.member = &member.Member{Self: self, Period: memberPeriod, Hosts: &n.board.Hosts, Seed: uint64(i)}
	n.ledger = &grant.Ledger{Self: self.Name, Domain: self.Domain, Incarnation: 1, Period: grantPeriod}
	n.spread = &spread.Core{Self: self.Name, Domain: self.Domain, Board: n.board, Rand: rand.New(rand.NewPCG(f.seed, uint64(i))), Started: now}
	n.place = &sched.Core{
		Host: self.Name, Domain: self.Domain, Region: self.Region, Capacity: n.ledger, Peers: n.peers, Seed: uint64(i),
	}
	return n
}

// peers returns the hosts of the failure domain and the contacts in others.
func (n *node) peers() []string {
	var names []string
	for _, h := range n.board.Hosts.All() {
		if h.Name != n.member.Self.Name && (h.State == board.HostLive || h.State == board.HostSuspect) {
			names = append(names, h.Name)
		}
	}
	return names
}

// timed runs one piece of a role's work and adds up its processor time.
func (n *node) timed(r role, work func() []peer.Outgoing) {
	began := time.Now()
	out := work()
	n.costs[r].busy += time.Since(began)
	n.send(r, out)
}

// send delivers messages, those for one host in one call.
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

func (n *node) deliver(r role, to string, batch []*peerpb.Message) {
	target := n.fleet.byName[to]
	if target == nil || target == n {
		return
	}
	size := proto.Size(&peerpb.Batch{Messages: batch})
	for _, end := range []*node{n, target} {
		end.costs[r].bytes += size + callOverhead
		end.costs[r].messages += len(batch)
		end.costs[r].calls++
	}
	from := peer.Sender{Host: n.member.Self.Name, Incarnation: 1, Domain: n.member.Self.Domain}
	n.fleet.loop.After(n.fleet.delay(n, target), func() {
		for _, m := range batch {
			target.receive(r, from, m)
		}
		target.act()
	})
}

// receive hands a message to the part that it is for; the parts ignore what they do not know.
func (n *node) receive(r role, from peer.Sender, m *peerpb.Message) {
	now := n.fleet.loop.Now()
	n.timed(r, func() []peer.Outgoing {
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
	n.timed(roleMember, func() []peer.Outgoing { return n.member.Tick(n.fleet.loop.Now()) })
}

func (n *node) tickGrant() {
	n.timed(roleGrant, func() []peer.Outgoing {
		n.configure()
		v := grant.NewHostView(n.member.Present(), n.board.Hosts.All(), n.ledger.Domain)
		v.Listed = true
		return n.ledger.Tick(v, n.fleet.loop.Now())
	})
}

// configure takes a new configuration into force in all parts.
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
	n.timed(roleSpread, func() []peer.Outgoing {
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
	n.timed(rolePlace, func() []peer.Outgoing {
		n.place.Tick(n.fleet.loop.Now())
		return nil
	})
	n.act()
}

// learn puts a change in force that this host accepted from an operator.
func (n *node) learn(e change.Entry) {
	n.timed(roleSpread, func() []peer.Outgoing { return n.spread.Learn(n.fleet.loop.Now(), []change.Entry{e}) })
}

// submit hands the scheduler a request.
func (n *node) submit(r sched.Request) {
	n.timed(rolePlace, func() []peer.Outgoing {
		n.place.Submit(r, n.fleet.loop.Now())
		return nil
	})
	n.act()
}

// act carries out what the scheduler asks for.
func (n *node) act() {
	n.place.TakeActions(&n.buf)
	starts := slices.Clone(n.buf.Starts)
	sends := slices.Clone(n.buf.Sends)
	n.fleet.refused += len(n.buf.Refusals)
	n.send(rolePlace, sends)
	for _, s := range starts {
		n.fleet.start(n, s)
	}
}

// report gives the load of the engines that this host owns to its parts.
func (n *node) report() {
	now := n.fleet.loop.Now()
	for _, b := range n.view.Table.Backends {
		if owner, _ := n.ledger.Owner(b.Name); owner != n.member.Self.Name || b.Domain != n.member.Self.Domain {
			continue
		}
		load := n.fleet.load(b.Name, now)
		n.timed(rolePlace, func() []peer.Outgoing {
			n.ledger.Report(b.Name, load, now)
			n.place.Report(b.Name, load, now)
			return nil
		})
		n.costs[rolePlace].bytes += reportBytes
		n.costs[rolePlace].calls++
	}
}

func load(running, total int, now time.Time) engine.Load {
	used := min(total, running*(promptTokens+outputTokens/2))
	return engine.Load{Boot: "1", At: now, Running: running, UsedTokens: used, TotalTokens: total, TokenGap: tokenGap}
}
