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
	// listEvery is the number of periods between two reads of the platform's list.
	listEvery = 10
)

// cluster connects members by a network with delay and partitions.
type cluster struct {
	loop  *vtime.Loop
	hosts map[string]*member.Member
	// down hosts neither tick nor receive.
	down      map[string]bool
	partition map[string]int
	list      object.HostList
	bytes     int
}

func newCluster(domains, each int) *cluster {
	t := &cluster{
		loop:      vtime.New(time.Unix(1_000_000, 0)),
		hosts:     make(map[string]*member.Member),
		down:      make(map[string]bool),
		partition: make(map[string]int),
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

func (t *cluster) add(domain, name string, incarnation uint64) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	self := board.Host{Name: name, Domain: domain, Region: "r", Address: address, Incarnation: incarnation}
	t.hosts[name] = &member.Member{Self: self, Period: period, Hosts: &board.Hosts{}, Seed: 7}
	t.list.AsOf = t.loop.Now()
	t.list.Hosts = append(t.list.Hosts, object.Host{Name: name, Domain: domain, Region: "r", Address: address})
}

func (t *cluster) start(name string) {
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

func (t *cluster) send(from string, out []peer.Outgoing) {
	for _, o := range out {
		t.bytes += proto.Size(o.Message)
		t.loop.After(delay, func() {
			to := t.hosts[o.To]
			if to == nil || t.down[o.To] || t.partition[from] != t.partition[o.To] {
				return
			}
			sender := peer.Sender{Host: from, Incarnation: 1, Domain: t.hosts[from].Self.Domain}
			t.send(o.To, to.Receive(sender, o.Message, t.loop.Now()))
		})
	}
}

// unlist removes a host from the platform's list.
func (t *cluster) unlist(name string) {
	t.list.AsOf = t.loop.Now()
	t.list.Hosts = slices.DeleteFunc(slices.Clone(t.list.Hosts), func(h object.Host) bool { return h.Name == name })
}

func (t *cluster) run(d time.Duration) { t.loop.RunUntil(t.loop.Now().Add(d)) }

// state returns the state of a host in the local view of another one.
func (t *cluster) state(at, of string) board.HostState {
	h, _ := t.hosts[at].Hosts.Get(of)
	return h.State
}

func TestDeadHostIsSuspectedThenDeadEverywhere(t *testing.T) {
	w := newCluster(1, 20)
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
	w := newCluster(1, 10)
	w.run(10 * time.Second)
	const paused = "d0-entry-004"
	w.down[paused] = true
	w.run(20 * time.Second)
	assert.Equal(t, w.state("d0-entry-000", paused), board.HostLost)
	assert.Assert(t, w.hosts[paused].IsPaused(w.loop.Now()))
	w.down[paused] = false
	w.run(5 * time.Second)
	assert.Equal(t, w.hosts[paused].PauseCount, 1)
	for name := range w.hosts {
		if name != paused {
			assert.Equal(t, w.state(name, paused), board.HostLive, name)
			assert.Assert(t, !w.hosts[name].Hosts.IsGone(paused, 1), "the same process still runs")
		}
	}
}

func TestRestartedHostTakesTheNameOver(t *testing.T) {
	w := newCluster(1, 6)
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
	w := newCluster(1, 10)
	w.run(5 * time.Second)
	for i := range 5 {
		w.partition[fmt.Sprintf("d0-entry-%03d", i)] = 1
	}
	w.run(30 * time.Second)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Hosts.Live("d0")), 5)
	assert.Equal(t, len(w.hosts["d0-entry-009"].Hosts.Live("d0")), 5)
	w.partition = map[string]int{}
	w.run(60 * time.Second)
	for name, m := range w.hosts {
		assert.Equal(t, len(m.Hosts.Live("d0")), 10, name)
	}
}

func TestLeavingHostOwnsNothing(t *testing.T) {
	w := newCluster(1, 6)
	w.run(5 * time.Second)
	const name = "d0-entry-001"
	w.send(name, w.hosts[name].AnnounceLeaving(w.loop.Now()))
	w.run(period)
	assert.Equal(t, w.state("d0-entry-000", name), board.HostLeaving)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Hosts.Live("d0")), 5)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Present()), 5)
	w.send(name, w.hosts[name].AnnounceStopped(w.loop.Now()))
	w.down[name] = true
	w.run(period)
	assert.Equal(t, len(w.hosts["d0-entry-000"].Present()), 4)
}

func TestDomainsKnowContactsOfOthers(t *testing.T) {
	w := newCluster(3, 30)
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

func TestHeartbeatTrafficOf342Hosts(t *testing.T) {
	w := newCluster(6, 57)
	w.run(30 * time.Second)
	w.bytes = 0
	w.run(30 * time.Second)
	perHost := float64(w.bytes) / 342 / 30
	t.Logf("%.0f bytes a second a host", perHost)
	assert.Assert(t, perHost < 1000)
}
