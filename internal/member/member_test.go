package member_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/member"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

const (
	period = 500 * time.Millisecond
	delay  = 500 * time.Microsecond
	// listEvery is the number of periods between two readings of the platform's list.
	listEvery = 10
)

// town joins members by a network that knows delay and cut.
type town struct {
	loop  *vtime.Loop
	hosts map[string]*member.Member
	// down hosts neither tick nor receive.
	down  map[string]bool
	side  map[string]int
	list  object.HostList
	bytes int
}

func newTown(domains, each int) *town {
	t := &town{
		loop:  vtime.New(time.Unix(1_000_000, 0)),
		hosts: make(map[string]*member.Member),
		down:  make(map[string]bool),
		side:  make(map[string]int),
	}
	for d := range domains {
		for i := range each {
			t.add(fmt.Sprintf("d%d", d), fmt.Sprintf("d%d-entry-%03d", d, i), 1)
		}
	}
	for name := range t.hosts {
		t.start(name)
	}
	return t
}

func (t *town) add(domain, name string, incarnation uint64) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	self := board.Host{Name: name, Domain: domain, Region: "r", Address: address, Incarnation: incarnation}
	t.hosts[name] = &member.Member{Self: self, Period: period, Hosts: &board.Hosts{}, Seed: 7}
	t.list.AsOf = t.loop.Now()
	t.list.Hosts = append(t.list.Hosts, object.Host{Name: name, Domain: domain, Region: "r", Address: address})
}

func (t *town) start(name string) {
	m := t.hosts[name]
	ticks := 0
	t.loop.Every(period, func() bool {
		if t.hosts[name] != m {
			return false
		}
		if !t.down[name] {
			if ticks%listEvery == 0 {
				m.ApplyHostList(t.list, t.loop.Now())
			}
			ticks++
			t.send(name, m.Tick(t.loop.Now()))
		}
		return true
	})
}

func (t *town) send(from string, out []peer.Outgoing) {
	for _, o := range out {
		t.bytes += proto.Size(o.Message)
		t.loop.After(delay, func() {
			to := t.hosts[o.To]
			if to == nil || t.down[o.To] || t.side[from] != t.side[o.To] {
				return
			}
			sender := peer.Sender{Host: from, Incarnation: 1, Domain: t.hosts[from].Self.Domain}
			t.send(o.To, to.Receive(sender, o.Message, t.loop.Now()))
		})
	}
}

// unlist takes a host off the platform's list.
func (t *town) unlist(name string) {
	t.list.AsOf = t.loop.Now()
	t.list.Hosts = slices.DeleteFunc(slices.Clone(t.list.Hosts), func(h object.Host) bool { return h.Name == name })
}

func (t *town) run(d time.Duration) { t.loop.RunUntil(t.loop.Now().Add(d)) }

// states counts the hosts of a failure domain by the state in which a host holds them.
func (t *town) state(at, of string) board.HostState {
	h, _ := t.hosts[at].Hosts.Get(of)
	return h.State
}

func TestDeadHostIsSuspectedThenDeadEverywhere(t *testing.T) {
	w := newTown(1, 20)
	w.run(10 * time.Second)
	const victim = "d0-entry-003"
	for name := range w.hosts {
		assert.Equal(t, len(w.hosts[name].Hosts.Live("d0")), 20, name)
	}
	w.down[victim] = true
	seen := map[board.HostState]bool{}
	for range 40 {
		w.run(period)
		seen[w.state("d0-entry-000", victim)] = true
	}
	assert.Assert(t, seen[board.HostSuspect] && seen[board.HostLost])
	assert.Assert(t, !seen[board.HostDead], "the platform still lists the host")
	for name := range w.hosts {
		if name != victim {
			assert.Equal(t, w.state(name, victim), board.HostLost, name)
			assert.Equal(t, len(w.hosts[name].Hosts.Live("d0")), 19, name)
			assert.Equal(t, len(w.hosts[name].Present()), 19, "listed hosts may still run")
		}
	}
	w.unlist(victim)
	w.run(20 * time.Second)
	for name := range w.hosts {
		if name != victim {
			assert.Assert(t, w.hosts[name].Hosts.IsGone(victim, 1), name)
			assert.Equal(t, len(w.hosts[name].Present()), 18, name)
		}
	}
}

func TestPausedHostWakesAndIsLiveAgain(t *testing.T) {
	w := newTown(1, 10)
	w.run(10 * time.Second)
	const sleeper = "d0-entry-004"
	w.down[sleeper] = true
	w.run(20 * time.Second)
	assert.Equal(t, w.state("d0-entry-000", sleeper), board.HostLost)
	assert.Assert(t, w.hosts[sleeper].IsPaused(w.loop.Now()))
	w.down[sleeper] = false
	w.run(5 * time.Second)
	assert.Equal(t, w.hosts[sleeper].Woken, 1)
	for name := range w.hosts {
		if name != sleeper {
			assert.Equal(t, w.state(name, sleeper), board.HostLive, name)
			assert.Assert(t, !w.hosts[name].Hosts.IsGone(sleeper, 1), "the same process goes on")
		}
	}
}

func TestRestartedHostTakesTheNameOver(t *testing.T) {
	w := newTown(1, 6)
	w.run(5 * time.Second)
	const name = "d0-entry-002"
	w.add("d0", name, 9)
	w.start(name)
	w.run(5 * time.Second)
	h, _ := w.hosts["d0-entry-005"].Hosts.Get(name)
	assert.Equal(t, h.Incarnation, uint64(9))
	assert.Equal(t, h.State, board.HostLive)
	assert.Equal(t, len(w.hosts[name].Hosts.Live("d0")), 6)
}

func TestPartitionHealsWithBothSidesLive(t *testing.T) {
	w := newTown(1, 10)
	w.run(5 * time.Second)
	for i := range 5 {
		w.side[fmt.Sprintf("d0-entry-%03d", i)] = 1
	}
	w.run(30 * time.Second)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Hosts.Live("d0")), 5)
	assert.Equal(t, len(w.hosts["d0-entry-009"].Hosts.Live("d0")), 5)
	w.side = map[string]int{}
	w.run(60 * time.Second)
	for name, m := range w.hosts {
		assert.Equal(t, len(m.Hosts.Live("d0")), 10, name)
	}
}

func TestLeavingHostHoldsNoDuty(t *testing.T) {
	w := newTown(1, 6)
	w.run(5 * time.Second)
	const name = "d0-entry-001"
	w.send(name, w.hosts[name].Leave(w.loop.Now()))
	w.run(period)
	assert.Equal(t, w.state("d0-entry-000", name), board.HostLeaving)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Hosts.Live("d0")), 5)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Present()), 5)
	w.send(name, w.hosts[name].Left(w.loop.Now()))
	w.down[name] = true
	w.run(period)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Present()), 4)
}

func TestDomainsKnowContactsOfOthers(t *testing.T) {
	w := newTown(3, 30)
	w.run(20 * time.Second)
	for name, m := range w.hosts {
		for _, d := range []string{"d0", "d1", "d2"} {
			want := 8
			if d == m.Self.Domain {
				want = 30
			}
			assert.Equal(t, len(m.Hosts.Live(d)), want, "%s of %s", d, name)
		}
	}
}

func TestHeartbeatsOf340HostsStayWithinTheirBytes(t *testing.T) {
	w := newTown(6, 57)
	w.run(30 * time.Second)
	w.bytes = 0
	w.run(30 * time.Second)
	perHost := float64(w.bytes) / 342 / 30
	t.Logf("%.0f bytes a second a host", perHost)
	assert.Assert(t, perHost < 1000)
}
