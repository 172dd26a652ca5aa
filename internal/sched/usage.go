package sched

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// digestBytesPerSecond bounds the usage digests that a host sends to all peers.
	digestBytesPerSecond = 2_000
	digestRowBytes       = 32
	digestLoadBytes      = 20
	digestHeaderBytes    = 16
	// digestRows bounds the rows of one digest.
	digestRows = 32
	// digestPeriod is the minimum time between two digests to one peer.
	digestPeriod = 200 * time.Millisecond
	// peersPeriod is the time between two updates of the list of live hosts.
	peersPeriod = time.Second
)

// digester limits the rate of usage digests to their byte budget.
type digester struct {
	budget         float64
	refilled       time.Time
	next           int
	sent           map[string]time.Time
	incarnations   map[string]uint64
	peers          []string
	peersRefreshed time.Time
}

// sendDigests sends the peers, round-robin, the usage that has changed since this host's last digest to them.
func (c *Core) sendDigests(now time.Time) {
	if c.Peers == nil {
		return
	}
	d := &c.digests
	if !d.refilled.IsZero() {
		d.budget = min(digestBytesPerSecond, d.budget+digestBytesPerSecond*now.Sub(d.refilled).Seconds())
	}
	d.refilled = now
	if d.sent == nil {
		d.sent = make(map[string]time.Time)
	}
	c.refreshPeers(now)
	peers := d.peers
	for range peers {
		if d.budget <= 0 {
			return
		}
		d.next++
		to := peers[d.next%len(peers)]
		if now.Sub(d.sent[to]) < digestPeriod {
			continue
		}
		d.sent[to] = now
		digest := c.ledger.Digest(to, digestRows)
		if digest == nil {
			continue
		}
		digest.Loads = c.loads()
		d.budget -= float64(digestHeaderBytes + digestRowBytes*len(digest.GetUsages()) + digestLoadBytes*len(digest.GetLoads()))
		c.send(to, &peerpb.Message{Body: &peerpb.Message_UsageDigest{UsageDigest: digest}})
	}
}

// hosts returns the number of live hosts, this one included.
func (c *Core) hosts() int { return 1 + len(c.digests.peers) }

// refreshPeers updates the list of live hosts and removes the state of those that have left it.
func (c *Core) refreshPeers(now time.Time) {
	d := &c.digests
	if !d.peersRefreshed.IsZero() && now.Sub(d.peersRefreshed) < peersPeriod {
		return
	}
	last := d.peers
	d.peersRefreshed, d.peers = now, c.Peers()
	for _, host := range last {
		if !slices.Contains(d.peers, host) {
			c.RemoveHost(host)
		}
	}
}

// loads returns the mean load of this failure domain's backend servers, by service.
func (c *Core) loads() []*peerpb.ServiceLoad {
	const permille = 1000
	var list []*peerpb.ServiceLoad
	for _, name := range c.services {
		list = append(list, &peerpb.ServiceLoad{Service: name, Permille: uint32(permille * c.pools[name].MeanLoad())})
	}
	return list
}

func (c *Core) receiveLoads(domain string, list []*peerpb.ServiceLoad) {
	const permille = 1000
	for _, l := range list {
		if p := c.pools[l.GetService()]; p != nil && domain != c.Domain {
			p.SetAssumedLoad(domain, float64(l.GetPermille())/permille)
		}
	}
}

// receiveDigest merges a peer's usage digest; a restarted peer counts from zero, so its previous usage is dropped first.
func (c *Core) receiveDigest(from peer.Sender, m *peerpb.UsageDigest, now time.Time) {
	d := &c.digests
	if d.incarnations == nil {
		d.incarnations = make(map[string]uint64)
	}
	if last, ok := d.incarnations[from.Host]; ok && last != from.Incarnation {
		c.ledger.Forget(from.Host)
	}
	d.incarnations[from.Host] = from.Incarnation
	c.ledger.Merge(from.Host, m, now)
	c.receiveLoads(from.Domain, m.GetLoads())
}

// RemoveHost drops the claims, the usage and the digest state of a host that has left.
func (c *Core) RemoveHost(host string) {
	c.init()
	c.ledger.Forget(host)
	for _, b := range c.backendList {
		c.dropClaimsOf(b, host)
	}
}
