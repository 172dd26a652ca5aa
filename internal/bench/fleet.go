package bench

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// fleet is the product's policy: a sched.Core on each host, and messages with a network delay.
type fleet struct {
	rig   *rig
	hosts []*sched.Core
	names []string
	bytes int
	buf   sched.Actions
	// isPartitioned reports whether messages from one host to another are lost or, if both are the same host, whether
	// it is down; nil means never.
	isPartitioned func(from, to int) bool
}

// newFleet returns hosts that divide the backend servers among them and send each other what they use.
func newFleet(r *rig, seed uint64) *fleet {
	f := &fleet{rig: r}
	f.build(seed, func(host string) sched.Capacity {
		return &ownedCapacity{fleet: f, host: host, running: make(map[string]int)}
	})
	for i, c := range f.hosts {
		others := slices.Delete(slices.Clone(f.names), i, i+1)
		c.Peers = func() []string { return others }
	}
	return f
}

// newLocalFleet returns hosts that exchange no messages; each has an equal part of each backend server.
func newLocalFleet(r *rig, seed uint64) *fleet {
	f := &fleet{rig: r}
	f.build(seed, func(host string) sched.Capacity {
		return &equalCapacity{ownedCapacity{fleet: f, host: host, running: make(map[string]int)}}
	})
	return f
}

func (f *fleet) build(seed uint64, capacity func(host string) sched.Capacity) {
	r := f.rig
	for i := range r.hosts {
		f.names = append(f.names, "entry-"+strconv.Itoa(i))
	}
	for i, p := range r.hosts {
		c := &sched.Core{
			Host: f.names[i], Domain: p.domain, Region: p.region, Seed: seed + uint64(i),
			Capacity: capacity(f.names[i]),
		}
		f.hosts = append(f.hosts, c)
		c.Configure(r.view, r.loop.Now())
		r.loop.After(time.Duration(i)*time.Millisecond, func() {
			r.loop.Every(sched.TickPeriod, func() bool {
				c.Tick(r.loop.Now())
				f.performActions(i)
				return true
			})
		})
	}
}

func (f *fleet) cancel(stream *stream) {
	f.hosts[stream.host].Cancel(stream.request.ID, f.rig.loop.Now())
}

func (f *fleet) arrive(stream *stream) {
	f.hosts[stream.host].Submit(stream.request, f.rig.loop.Now())
	f.performActions(stream.host)
}

func (f *fleet) progress(stream *stream) {
	f.hosts[stream.host].Progress(stream.request.ID, stream.tokens, f.rig.loop.Now())
}

func (f *fleet) ended(stream *stream, o sched.Outcome) {
	f.hosts[stream.host].Release(stream.request.ID, o, f.rig.loop.Now())
	f.performActions(stream.host)
}

// report passes a load report to the hosts of the engine's failure domain.
func (f *fleet) report(e int, l engine.Load) {
	b := f.rig.engines[e]
	for i, p := range f.rig.hosts {
		if p.domain == b.location.domain {
			f.hosts[i].Report(b.backend.Name, l, f.rig.loop.Now())
			f.performActions(i)
		}
	}
}

// performActions performs the actions of one host's Core, unless the host is down.
func (f *fleet) performActions(host int) {
	f.hosts[host].TakeActions(&f.buf)
	if f.isPartitioned != nil && f.isPartitioned(host, host) {
		return
	}
	for _, s := range f.buf.Starts {
		e := slices.IndexFunc(f.rig.engines, func(b *benchEngine) bool { return b.backend.Name == s.Backend.Name })
		f.rig.start(f.rig.streams[s.ID], e, s.Priority)
	}
	for _, s := range f.buf.Refusals {
		f.rig.refuse(f.rig.streams[s.ID])
	}
	from := peer.Sender{Host: f.names[host], Incarnation: 1, Domain: f.rig.hosts[host].domain}
	for _, s := range f.buf.Sends {
		f.bytes += proto.Size(s.Message)
		to := slices.Index(f.names, s.To)
		f.rig.loop.After(delay(f.rig.hosts[host], f.rig.hosts[to]), func() {
			if f.isPartitioned != nil && f.isPartitioned(host, to) {
				return
			}
			f.hosts[to].Receive(from, s.Message, f.rig.loop.Now())
			f.performActions(to)
		})
	}
}

// ownedCapacity gives each backend server to one host of its failure domain, which may fill all its slots.
type ownedCapacity struct {
	fleet   *fleet
	host    string
	running map[string]int
}

// Owner returns the host that the backend server's index selects from those of its failure domain.
func (o *ownedCapacity) Owner(backend string) (string, bool) {
	r := o.fleet.rig
	e := slices.IndexFunc(r.engines, func(b *benchEngine) bool { return b.backend.Name == backend })
	var local []string
	for i, p := range r.hosts {
		if p.domain == r.engines[e].location.domain {
			local = append(local, o.fleet.names[i])
		}
	}
	return local[e/len(domainsOf(r))%len(local)], true
}

func domainsOf(r *rig) []string {
	var domains []string
	for _, p := range r.hosts {
		if !slices.Contains(domains, p.domain) {
			domains = append(domains, p.domain)
		}
	}
	return domains
}

// Headroom returns the number of free slots.
func (o *ownedCapacity) Headroom(backend string, _ time.Time) int {
	if owner, _ := o.Owner(backend); owner != o.host {
		return 0
	}
	return o.fleet.rig.view.Backends[backend].MaxRunning - o.running[backend]
}

// Started counts a start.
func (o *ownedCapacity) Started(backend, _ string, _ time.Time) { o.running[backend]++ }

// Ended counts the end of a start.
func (o *ownedCapacity) Ended(backend, _ string, _ sched.Outcome, _ time.Time) { o.running[backend]-- }

// equalCapacity gives each host an equal part of the slots of all backend servers.
type equalCapacity struct{ ownedCapacity }

// Owner returns the host itself.
func (p *equalCapacity) Owner(string) (string, bool) { return p.host, true }

// Headroom returns the number of free slots in the host's part.
func (p *equalCapacity) Headroom(backend string, _ time.Time) int {
	r := p.fleet.rig
	return r.view.Backends[backend].MaxRunning/len(r.hosts) - p.running[backend]
}
