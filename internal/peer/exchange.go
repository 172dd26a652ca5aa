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
	// acknowledgeDelay is the time after which a batch without replies is acknowledged.
	acknowledgeDelay = 500 * time.Millisecond
	// answerTimeout is the time without any answer after which a stream counts as unresponsive.
	answerTimeout = 3 * time.Second
)

// Exchange passes the batches of one stream to all receivers and sends their replies back.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Batch]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := secure.CheckSender(stream.Context(), first.GetFrom()); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	from := Sender{Host: first.GetFrom(), Incarnation: first.GetIncarnation(), Domain: first.GetDomain()}
	a := &responder{stream: stream, self: s.Self}
	defer a.stop()
	for in := first; ; {
		if err := a.answer(s.dispatch(stream.Context(), from, in.GetMessages())); err != nil {
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

// dispatch passes messages to all receivers and returns their replies.
func (s *Server) dispatch(ctx context.Context, from Sender, messages []*peerpb.Message) []*peerpb.Message {
	var out []*peerpb.Message
	for _, m := range messages {
		for _, r := range s.Receivers {
			out = append(out, r.Receive(ctx, from, m)...)
		}
	}
	return out
}

// responder sends replies at once, and acknowledges batches without replies later by one empty batch.
type responder struct {
	stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Batch]
	self   Sender

	mu sync.Mutex
	// selfSent means that a batch with this host's name was sent.
	selfSent bool
	ended    bool
	// timer is set while an acknowledgement is pending.
	timer *time.Timer
}

// answer sends messages, or schedules an acknowledgement if there are none.
func (a *responder) answer(messages []*peerpb.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(messages) == 0 {
		if a.timer == nil {
			a.timer = time.AfterFunc(acknowledgeDelay, a.acknowledge)
		}
		return nil
	}
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	return a.send(messages)
}

func (a *responder) acknowledge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil || a.ended {
		return
	}
	a.timer = nil
	// If the stream can't be written to, its next read returns the error.
	_ = a.send(nil)
}

// send sends one batch; the caller holds the lock.
func (a *responder) send(messages []*peerpb.Message) error {
	b := &peerpb.Batch{Messages: messages}
	if !a.selfSent {
		b = a.self.batch(messages)
		a.selfSent = true
	}
	return a.stream.Send(b)
}

func (a *responder) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// outStream is the open stream to one peer.
type outStream struct {
	stream grpc.BidiStreamingClient[peerpb.Batch, peerpb.Batch]
	cancel context.CancelFunc

	mu sync.Mutex
	// unansweredSince is the time of the first batch since the last answer; zero means that all batches are answered.
	unansweredSince time.Time
}

// isUnresponsive reports whether the peer has not answered for answerTimeout.
func (l *outStream) isUnresponsive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) > answerTimeout
}

func (l *outStream) sent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
}

func (l *outStream) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince = time.Time{}
}

// Send puts messages on the stream to the peer at addr and opens the stream if there is none.
// Replies go to OnReplies. An unresponsive stream is replaced by one on a new connection.
// The error is marked as ErrUnreachable if the stream can't be opened or written to.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) error {
	l, isNew, err := c.streamTo(addr)
	if err != nil {
		return err
	}
	batch := &peerpb.Batch{Messages: messages}
	if isNew {
		batch = c.Self.batch(messages)
	}
	l.sent(time.Now())
	// A peer that does not read blocks the stream; cancelling the stream unblocks Send.
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	if err := l.stream.Send(batch); err != nil {
		c.closeStream(addr, l, false)
		return errors.Mark(errors.Wrapf(err, "send to %s", addr), ErrUnreachable)
	}
	return nil
}

// streamTo returns the open stream to a peer, and true if it had to be opened.
func (c *Client) streamTo(addr netip.AddrPort) (*outStream, bool, error) {
	c.mu.Lock()
	l := c.streams[addr]
	c.mu.Unlock()
	if l != nil && !l.isUnresponsive(time.Now()) {
		return l, false, nil
	}
	if l != nil {
		c.closeStream(addr, l, true)
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
	l = &outStream{stream: stream, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == nil {
		c.streams = make(map[netip.AddrPort]*outStream)
	}
	c.streams[addr] = l
	c.readers.Go(func() { c.read(ctx, addr, l) })
	return l, true, nil
}

// read passes the replies on one stream to OnReplies until the stream ends.
func (c *Client) read(ctx context.Context, addr netip.AddrPort, l *outStream) {
	defer l.cancel()
	var from Sender
	for {
		in, err := l.stream.Recv()
		if err != nil {
			c.closeStream(addr, l, false)
			return
		}
		l.answered()
		if from.Host == "" {
			from = Sender{Host: in.GetFrom(), Incarnation: in.GetIncarnation(), Domain: in.GetDomain()}
			if secure.CheckSender(l.stream.Context(), from.Host) != nil {
				c.closeStream(addr, l, true)
				return
			}
		}
		if len(in.GetMessages()) > 0 && c.OnReplies != nil {
			c.OnReplies(ctx, from, in.GetMessages())
		}
	}
}

// closeStream cancels and removes a stream; closeConn closes its connection too.
func (c *Client) closeStream(addr netip.AddrPort, l *outStream, closeConn bool) {
	l.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[addr] != l {
		return
	}
	delete(c.streams, addr)
	if conn := c.conns[addr]; closeConn && conn != nil {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}
