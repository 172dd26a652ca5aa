package grant

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// reportPeriod is how often the board is polled for new load reports.
const reportPeriod = 100 * time.Millisecond

// Members is the view of which hosts may still run.
type Members interface {
	// Present returns the other hosts of the failure domain that may still run.
	Present() []board.Host
	// IsListed reports whether a platform list from that time or later names this host.
	IsListed(at time.Time) bool
	// IsUnlisted reports whether a platform list from after that time does not name this host.
	IsUnlisted(at time.Time) bool
}

// Sender queues messages for other hosts.
type Sender interface {
	Send(messages ...peer.Outgoing)
}

// Control drives a Ledger by the clock, the board and the messages of other hosts.
type Control struct {
	Ledger  *Ledger
	Board   *board.Board
	Members Members
	Out     Sender

	mu          sync.Mutex
	started     time.Time
	table       *board.View
	lastReports map[string]time.Time
}

// Name names the controller.
func (c *Control) Name() string { return "grant" }

// Run renews leases and applies load reports and configuration changes until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	c.started = time.Now()
	tick := time.NewTicker(c.Ledger.Period)
	defer tick.Stop()
	reports := time.NewTicker(min(reportPeriod, c.Ledger.Period))
	defer reports.Stop()
	for {
		select {
		case <-tick.C:
			c.Out.Send(c.step()...)
		case <-reports.C:
			c.applyLoadReports()
		case <-c.Board.Config.Changed():
			c.applyTable()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) step() []peer.Outgoing {
	v := c.hostView()
	c.applyTable()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Ledger.Tick(v, time.Now())
}

func (c *Control) hostView() HostView {
	v := NewHostView(c.Members.Present(), c.Board.Hosts.All(), c.Ledger.Domain)
	v.Listed = c.Members.IsListed(c.started)
	v.Unlisted = c.Members.IsUnlisted(c.started)
	return v
}

// NewHostView returns the view of a ledger of a failure domain, given the hosts that may still run and all known hosts.
func NewHostView(present, known []board.Host, domain string) HostView {
	v := HostView{Remote: make(map[string][]string)}
	for _, h := range present {
		v.Present = append(v.Present, Host{Name: h.Name, Incarnation: h.Incarnation})
	}
	for _, h := range known {
		switch {
		case h.State != board.HostLive && h.State != board.HostSuspect:
		case h.Domain == domain:
			v.Live = append(v.Live, h.Name)
		default:
			v.Remote[h.Domain] = append(v.Remote[h.Domain], h.Name)
		}
	}
	return v
}

func (c *Control) applyTable() {
	view := c.Board.Config.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if view == c.table {
		return
	}
	c.table = view
	c.Ledger.SetBackends(Backends(view))
}

// Backends returns the backend servers of a configuration in the form that a ledger needs.
func Backends(v *board.View) []Backend {
	list := make([]Backend, 0, len(v.Backends))
	for _, b := range v.Backends {
		list = append(list, Backend{
			Name: b.Name, Domain: b.Domain, Max: b.MaxRunning, Cold: b.ColdLimit(), Out: b.Draining || v.IsOut(b.Domain),
		})
	}
	return list
}

func (c *Control) applyLoadReports() {
	now := time.Now()
	for _, b := range c.Board.Config.View().Backends {
		if b.Domain != c.Ledger.Domain {
			continue
		}
		c.applyLoadReport(b.Name, c.Board.Backends.Get(b.Name), now)
	}
}

func (c *Control) applyLoadReport(name string, s board.BackendState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Reported.IsZero() || !s.Reported.After(c.lastReports[name]) {
		return
	}
	if c.lastReports == nil {
		c.lastReports = make(map[string]time.Time)
	}
	c.lastReports[name] = s.Reported
	c.Ledger.Report(name, s.Load, now)
}

// Receive handles a message of a peer and returns the replies to it.
func (c *Control) Receive(_ context.Context, from peer.Sender, m *peerpb.Message) []*peerpb.Message {
	lend := m.GetLend()
	if lend == nil || from.Domain != c.Ledger.Domain {
		return nil
	}
	c.mu.Lock()
	out := c.Ledger.Receive(from.Host, lend, time.Now())
	c.mu.Unlock()
	var replies []*peerpb.Message
	for _, o := range out {
		if o.To == from.Host {
			replies = append(replies, o.Message)
			continue
		}
		c.Out.Send(o)
	}
	return replies
}

// Owner returns the host that grants starts on a backend server.
func (c *Control) Owner(backend string) (host string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Ledger.Owner(backend)
}

// Headroom returns the number of requests that may be started on a backend server now.
func (c *Control) Headroom(backend string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Ledger.Headroom(backend, now)
}

// Started records a start; the caller has checked Headroom at the same time.
func (c *Control) Started(backend, request string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Ledger.Started(backend, request, now)
}

// Ended records the end of a start and updates the warm-up evidence on the backend server.
func (c *Control) Ended(backend, request string, o sched.Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Ledger.Ended(backend, request, o, now)
}

// Stop gives back all shares of the ledger, which grants no more starts.
func (c *Control) Stop() {
	c.mu.Lock()
	out := c.Ledger.Stop(time.Now())
	c.mu.Unlock()
	c.Out.Send(out...)
}
