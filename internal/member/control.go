package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	listPeriod  = 5 * time.Second
	listTimeout = 2 * time.Second
)

// Platform reads the platform's list of hosts.
type Platform interface {
	Hosts(ctx context.Context) (object.HostList, error)
}

// Sender queues messages for other hosts.
type Sender interface {
	Send(messages ...peer.Outgoing)
}

// Control drives a Member by the clock, the platform's list and the messages of other hosts.
type Control struct {
	Member   *Member
	Platform Platform
	Out      Sender
	Log      *slog.Logger

	mu sync.Mutex
}

// Name names the controller.
func (c *Control) Name() string { return "member" }

// Run sends heartbeats and reads the platform's list until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	var reader sync.WaitGroup
	reader.Go(func() { c.readLists(ctx) })
	defer reader.Wait()
	tick := time.NewTicker(c.Member.Period)
	defer tick.Stop()
	for {
		c.Out.Send(c.step()...)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) step() []peer.Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Member.Tick(time.Now())
}

func (c *Control) readLists(ctx context.Context) {
	tick := time.NewTicker(listPeriod)
	defer tick.Stop()
	for {
		c.readList(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Control) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.Platform.Hosts(ctx)
	if err != nil {
		c.Log.Debug("host list not read", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Member.ApplyHostList(list, time.Now())
}

// Receive handles a message of a peer and returns the replies to it.
func (c *Control) Receive(_ context.Context, from peer.Sender, m *peerpb.Message) []*peerpb.Message {
	c.mu.Lock()
	out := c.Member.Receive(from, m, time.Now())
	c.mu.Unlock()
	return c.splitReplies(from.Host, out)
}

// splitReplies returns the messages to one host and queues those to others.
func (c *Control) splitReplies(to string, out []peer.Outgoing) []*peerpb.Message {
	var replies []*peerpb.Message
	for _, o := range out {
		if o.To == to {
			replies = append(replies, o.Message)
			continue
		}
		c.Out.Send(o)
	}
	return replies
}

// AnnounceLeaving announces to the other hosts that this one is leaving.
func (c *Control) AnnounceLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Out.Send(c.Member.AnnounceLeaving(time.Now())...)
}

// AnnounceStopped announces to the other hosts that this one starts nothing any more.
func (c *Control) AnnounceStopped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Out.Send(c.Member.AnnounceStopped(time.Now())...)
}

// Present returns the other hosts of the failure domain that may still run.
func (c *Control) Present() []board.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Member.Present()
}

// IsUnlisted reports whether the last platform list is from after that time and does not name this host.
func (c *Control) IsUnlisted(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Member.IsUnlisted(at)
}

// IsListed reports whether the last platform list is from that time or later and names this host.
func (c *Control) IsListed(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Member.IsListed(at)
}
