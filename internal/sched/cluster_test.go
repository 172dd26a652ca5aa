package sched

import (
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// cluster simulates a few cores whose messages are delivered immediately unless drop returns true.
type cluster struct {
	cores   []*Core
	now     time.Time
	drop    func(to string) bool
	started map[string][]string
	refused map[string]*refuse.Error
	slots   map[string]int
}

// ownedSlots is a Capacity in which the backend server b-N belongs to the host h-N; slots are counted at the owner.
type ownedSlots struct {
	cluster *cluster
	host    string
}

func (p ownedSlots) Owner(backend string) (string, bool) { return "h" + backend[1:], true }

func (p ownedSlots) Headroom(backend string, _ time.Time) int {
	if owner, _ := p.Owner(backend); owner != p.host {
		return 0
	}
	return p.cluster.cores[0].view.Backends[backend].MaxRunning - p.cluster.slots[backend]
}

func (p ownedSlots) Started(backend, _ string, _ time.Time)          { p.cluster.slots[backend]++ }
func (p ownedSlots) Ended(backend, _ string, _ Outcome, _ time.Time) { p.cluster.slots[backend]-- }

const testService = "assay"

// testView returns a configuration with one backend server of two slots for each host.
func testView(hosts int, rows ...config.Row) *board.View {
	v := &board.View{
		Rows: make(map[board.RowKey]config.Row), Backends: make(map[string]config.Backend),
		ByService: make(map[string][]config.Backend), Domains: make(map[string]config.Domain),
	}
	for i := range hosts {
		b := config.Backend{Name: "b-" + strconv.Itoa(i), Service: testService, Domain: "trent", MaxRunning: 2}
		v.Table.Backends = append(v.Table.Backends, b)
		v.Backends[b.Name] = b
		v.ByService[testService] = append(v.ByService[testService], b)
	}
	v.Domains["trent"] = config.Domain{Name: "trent", Region: "east", State: config.DomainIn}
	for _, r := range rows {
		r.Service = testService
		v.Rows[board.RowKey{Workspace: r.Workspace, Service: testService}] = r
	}
	return v
}

func newCluster(hosts int, rows ...config.Row) *cluster {
	n := &cluster{
		now: time.Unix(1_800_000_000, 0), started: make(map[string][]string),
		refused: make(map[string]*refuse.Error), slots: make(map[string]int),
	}
	for i := range hosts {
		name := "h-" + strconv.Itoa(i)
		var others []string
		for j := range hosts {
			if j != i {
				others = append(others, "h-"+strconv.Itoa(j))
			}
		}
		c := &Core{Host: name, Domain: "trent", Region: "east", Capacity: ownedSlots{n, name}, Peers: func() []string { return others }}
		n.cores = append(n.cores, c)
	}
	n.configure(testView(hosts, rows...))
	return n
}

func (n *cluster) configure(v *board.View) {
	for i, c := range n.cores {
		c.Configure(v, n.now)
		n.performActions(i)
	}
}

func (n *cluster) submit(host int, id, workspace string) {
	n.cores[host].Submit(Request{
		ID: id, Workspace: workspace, Service: testService, PromptTokens: 10, MaxTokens: 100, Deadline: n.now.Add(time.Minute),
	}, n.now)
	n.performActions(host)
}

func (n *cluster) release(host int, id string, result Result) {
	n.cores[host].Release(id, Outcome{Result: result, Tokens: 50}, n.now)
	n.performActions(host)
}

func (n *cluster) performActions(host int) {
	var a Actions
	n.cores[host].TakeActions(&a)
	for _, s := range a.Starts {
		n.started[s.ID] = append(n.started[s.ID], s.Backend.Name)
	}
	for _, r := range a.Refusals {
		n.refused[r.ID] = r.Error
	}
	for _, m := range a.Sends {
		if n.drop != nil && n.drop(m.To) {
			continue
		}
		to, _ := strconv.Atoi(m.To[2:])
		n.cores[to].Receive(peer.Sender{Host: n.cores[host].Host, Incarnation: 1, Domain: "trent"}, m.Message, n.now)
		n.performActions(to)
	}
}

func (n *cluster) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(TickPeriod)
		for i, c := range n.cores {
			c.Tick(n.now)
			n.performActions(i)
		}
	}
}
