package peer

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/secure"
)

const (
	// acknowledgeAfter is the longest time for which a batch stays without an answer.
	acknowledgeAfter = 500 * time.Millisecond
	// silenceLimit is the time without any answer after which a stream counts as silent.
	silenceLimit = 3 * time.Second
)

// Exchange hands the batches of one stream to all receivers and sends their answers back.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Batch]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := secure.CheckSender(stream.Context(), first.GetFrom()); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	from := Sender{Host: first.GetFrom(), Incarnation: first.GetIncarnation(), Domain: first.GetDomain()}
	a := &answerer{stream: stream, self: s.Self}
	defer a.stop()
	for in := first; ; {
		if err := a.answer(s.hand(stream.Context(), from, in.GetMessages())); err != nil {
			return err
		}
		if in, err = stream.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// hand gives messages to all receivers and returns their answers.
func (s *Server) hand(ctx context.Context, from Sender, messages []*peerpb.Message) []*peerpb.Message {
	var out []*peerpb.Message
	for _, m := range messages {
		for _, r := range s.Receivers {
			out = append(out, r.Receive(ctx, from, m)...)
		}
	}
	return out
}

// answerer sends answers at once and acknowledges batches without answers later, all in one.
type answerer struct {
	stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Batch]
	self   Sender

	mu    sync.Mutex
	named bool
	ended bool
	// timer is set while an acknowledgement is owed.
	timer *time.Timer
}

// answer sends messages, or notes that an acknowledgement is owed if there are none.
func (a *answerer) answer(messages []*peerpb.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(messages) == 0 {
		if a.timer == nil {
			a.timer = time.AfterFunc(acknowledgeAfter, a.acknowledge)
		}
		return nil
	}
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	return a.send(messages)
}

func (a *answerer) acknowledge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil || a.ended {
		return
	}
	a.timer = nil
	// A stream that can't be written to ends at its next read.
	_ = a.send(nil)
}

// send writes one batch; the caller holds the lock.
func (a *answerer) send(messages []*peerpb.Message) error {
	b := &peerpb.Batch{Messages: messages}
	if !a.named {
		b = a.self.batch(messages)
		a.named = true
	}
	return a.stream.Send(b)
}

func (a *answerer) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// lane is the open stream to one peer.
type lane struct {
	stream grpc.BidiStreamingClient[peerpb.Batch, peerpb.Batch]
	cancel context.CancelFunc

	mu sync.Mutex
	// owed is the time of the first batch since the last answer; zero means that nothing is owed.
	owed time.Time
}

// isSilent reports whether the peer has left batches without an answer for too long.
func (l *lane) isSilent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.owed.IsZero() && now.Sub(l.owed) > silenceLimit
}

func (l *lane) sent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owed.IsZero() {
		l.owed = now
	}
}

func (l *lane) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owed = time.Time{}
}

// Send puts messages on the stream to the peer at addr and opens the stream if there is none.
// Answers go to the client's receivers. A stream that has gone silent is replaced by one on a new connection.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) error {
	l, isNew, err := c.lane(addr)
	if err != nil {
		return err
	}
	batch := &peerpb.Batch{Messages: messages}
	if isNew {
		batch = c.Self.batch(messages)
	}
	l.sent(time.Now())
	// A peer that takes nothing blocks the stream; ending it frees the sender.
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	if err := l.stream.Send(batch); err != nil {
		c.drop(addr, l, false)
		return errors.Mark(errors.Wrapf(err, "send to %s", addr), ErrUnreachable)
	}
	return nil
}

// lane returns the open stream to a peer and whether it was opened just now.
func (c *Client) lane(addr netip.AddrPort) (*lane, bool, error) {
	c.mu.Lock()
	l := c.lanes[addr]
	c.mu.Unlock()
	if l != nil && !l.isSilent(time.Now()) {
		return l, false, nil
	}
	if l != nil {
		c.drop(addr, l, true)
	}
	conn, err := c.conn(addr)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := peerpb.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		cancel()
		return nil, false, errors.Mark(errors.Wrapf(err, "open stream to %s", addr), ErrUnreachable)
	}
	l = &lane{stream: stream, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lanes == nil {
		c.lanes = make(map[netip.AddrPort]*lane)
	}
	c.lanes[addr] = l
	c.readers.Go(func() { c.read(ctx, addr, l) })
	return l, true, nil
}

// read hands the answers of one stream to the receivers until the stream ends.
func (c *Client) read(ctx context.Context, addr netip.AddrPort, l *lane) {
	defer l.cancel()
	var from Sender
	for {
		in, err := l.stream.Recv()
		if err != nil {
			c.drop(addr, l, false)
			return
		}
		l.heard()
		if from.Host == "" {
			from = Sender{Host: in.GetFrom(), Incarnation: in.GetIncarnation(), Domain: in.GetDomain()}
			if secure.CheckSender(l.stream.Context(), from.Host) != nil {
				c.drop(addr, l, true)
				return
			}
		}
		if len(in.GetMessages()) > 0 && c.OnReplies != nil {
			c.OnReplies(ctx, from, in.GetMessages())
		}
	}
}

// drop forgets a stream, and its connection too where that has gone silent.
func (c *Client) drop(addr netip.AddrPort, l *lane, isSilent bool) {
	l.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lanes[addr] != l {
		return
	}
	delete(c.lanes, addr)
	if conn := c.conns[addr]; isSilent && conn != nil {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}
