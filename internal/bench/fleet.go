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

// fleet is the product's policy: a Core on each host, with messages that take their time.
type fleet struct {
	rig   *rig
	hosts []*sched.Core
	names []string
	bytes int
	buf   sched.Actions
	// isCut reports whether no message passes from one host to another, or whether a host is down when it
	// is both; nil means never.
	isCut func(from, to int) bool
}

// newFleet returns hosts that own each backend server together and tell each other what they use.
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

// newLocalFleet returns hosts that know nothing of each other; each has an equal part of each backend server.
func newLocalFleet(r *rig, seed uint64) *fleet {
	f := &fleet{rig: r}
	f.build(seed, func(host string) sched.Capacity {
		return &partCapacity{ownedCapacity{fleet: f, host: host, running: make(map[string]int)}}
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
				f.act(i)
				return true
			})
		})
	}
}

func (f *fleet) leave(one *flow) { f.hosts[one.host].Cancel(one.request.ID, f.rig.loop.Now()) }

func (f *fleet) arrive(one *flow) {
	f.hosts[one.host].Submit(one.request, f.rig.loop.Now())
	f.act(one.host)
}

func (f *fleet) progress(one *flow) {
	f.hosts[one.host].Progress(one.request.ID, one.tokens, f.rig.loop.Now())
}

func (f *fleet) ended(one *flow, o sched.Outcome) {
	f.hosts[one.host].Release(one.request.ID, o, f.rig.loop.Now())
	f.act(one.host)
}

// report gives a load report to the hosts of the engine's failure domain.
func (f *fleet) report(e int, l engine.Load) {
	b := f.rig.engines[e]
	for i, p := range f.rig.hosts {
		if p.domain == b.place.domain {
			f.hosts[i].Report(b.backend.Name, l, f.rig.loop.Now())
			f.act(i)
		}
	}
}

// act carries out what one host's Core asks for.
func (f *fleet) act(host int) {
	f.hosts[host].TakeActions(&f.buf)
	if f.isCut != nil && f.isCut(host, host) {
		return
	}
	for _, s := range f.buf.Starts {
		e := slices.IndexFunc(f.rig.engines, func(b *benchEngine) bool { return b.backend.Name == s.Backend.Name })
		f.rig.start(f.rig.flows[s.ID], e, s.Priority)
	}
	for _, s := range f.buf.Refusals {
		f.rig.refuse(f.rig.flows[s.ID])
	}
	from := peer.Sender{Host: f.names[host], Incarnation: 1, Domain: f.rig.hosts[host].domain}
	for _, s := range f.buf.Sends {
		f.bytes += proto.Size(s.Message)
		to := slices.Index(f.names, s.To)
		f.rig.loop.After(delay(f.rig.hosts[host], f.rig.hosts[to]), func() {
			if f.isCut != nil && f.isCut(host, to) {
				return
			}
			f.hosts[to].Receive(from, s.Message, f.rig.loop.Now())
			f.act(to)
		})
	}
}

// ownedCapacity gives each backend server to one host of its failure domain, which may fill all its slots.
type ownedCapacity struct {
	fleet   *fleet
	host    string
	running map[string]int
}

// Owner returns the host that the backend server's number picks among those of its failure domain.
func (o *ownedCapacity) Owner(backend string) (string, bool) {
	r := o.fleet.rig
	e := slices.IndexFunc(r.engines, func(b *benchEngine) bool { return b.backend.Name == backend })
	var local []string
	for i, p := range r.hosts {
		if p.domain == r.engines[e].place.domain {
			local = append(local, o.fleet.names[i])
		}
	}
	return local[e/len(placesOf(r))%len(local)], true
}

func placesOf(r *rig) []string {
	var domains []string
	for _, p := range r.hosts {
		if !slices.Contains(domains, p.domain) {
			domains = append(domains, p.domain)
		}
	}
	return domains
}

// Room returns the slots that are free.
func (o *ownedCapacity) Room(backend string, _ time.Time) int {
	if owner, _ := o.Owner(backend); owner != o.host {
		return 0
	}
	return o.fleet.rig.view.Backends[backend].MaxRunning - o.running[backend]
}

// Started counts a start.
func (o *ownedCapacity) Started(backend, _ string, _ time.Time) { o.running[backend]++ }

// Ended counts the end of a start.
func (o *ownedCapacity) Ended(backend, _ string, _ sched.Outcome, _ time.Time) { o.running[backend]-- }

// partCapacity gives each host an equal part of the slots of all backend servers.
type partCapacity struct{ ownedCapacity }

// Owner returns the host itself.
func (p *partCapacity) Owner(string) (string, bool) { return p.host, true }

// Room returns what is free of the host's part.
func (p *partCapacity) Room(backend string, _ time.Time) int {
	r := p.fleet.rig
	return r.view.Backends[backend].MaxRunning/len(r.hosts) - p.running[backend]
}
