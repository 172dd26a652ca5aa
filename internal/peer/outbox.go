package peer

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	outboxWorkers  = 64
	outboxCapacity = 4096
	sendTimeout    = time.Second
)

// Outgoing is one message for one host.
type Outgoing struct {
	// To is the name of the receiving host.
	To      string
	Message *peerpb.Message
}

// Transport sends messages to the peer at an address.
type Transport interface {
	Send(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) error
}

// Outbox sends messages to hosts by name, batched for each host; replies go to the receivers.
// Messages to one host keep their order; a message is dropped if its host can't be reached.
type Outbox struct {
	Transport Transport
	// Address returns a host's address, and false if it is unknown.
	Address func(host string) (netip.AddrPort, bool)
	// Receivers all get each reply, in order.
	Receivers []Receiver
	Log       *slog.Logger

	mu     sync.Mutex
	queues map[string]*outQueue
	ready  chan string
}

type outQueue struct {
	messages []*peerpb.Message
	// claimed means that a worker delivers to this host or is about to.
	claimed bool
}

// Name names the controller.
func (o *Outbox) Name() string { return "outbox" }

// Send queues messages and never blocks. If the queue of a host is full, its oldest message is dropped.
func (o *Outbox) Send(messages ...Outgoing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.init()
	for _, m := range messages {
		q := o.queues[m.To]
		if q == nil {
			q = &outQueue{}
			o.queues[m.To] = q
		}
		if len(q.messages) == outboxCapacity {
			q.messages = q.messages[1:]
		}
		q.messages = append(q.messages, m.Message)
		o.offer(m.To, q)
	}
}

// offer queues a host for the workers, unless one has claimed it; the caller holds the lock.
func (o *Outbox) offer(host string, q *outQueue) {
	if q.claimed {
		return
	}
	select {
	case o.ready <- host:
		q.claimed = true
	default:
	}
}

func (o *Outbox) init() {
	if o.ready == nil {
		o.ready = make(chan string, outboxCapacity)
		o.queues = make(map[string]*outQueue)
	}
}

// Run delivers with a pool of workers until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	o.mu.Lock()
	o.init()
	o.mu.Unlock()
	var pool sync.WaitGroup
	for range outboxWorkers {
		pool.Go(func() { o.work(ctx) })
	}
	pool.Wait()
	return nil
}

func (o *Outbox) work(ctx context.Context) {
	for {
		select {
		case host := <-o.ready:
			o.deliver(ctx, host)
		case <-ctx.Done():
			return
		}
	}
}

func (o *Outbox) deliver(ctx context.Context, host string) {
	o.mu.Lock()
	q := o.queues[host]
	messages := q.messages
	q.messages = nil
	o.mu.Unlock()
	o.sendBatch(ctx, host, messages)
	o.mu.Lock()
	defer o.mu.Unlock()
	q.claimed = false
	if len(q.messages) > 0 {
		o.offer(host, q)
		return
	}
	delete(o.queues, host)
}

func (o *Outbox) sendBatch(ctx context.Context, host string, messages []*peerpb.Message) {
	addr, ok := o.Address(host)
	if !ok || len(messages) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := o.Transport.Send(ctx, addr, messages); err != nil {
		o.Log.Debug("messages lost", "to", host, "count", len(messages), "error", err)
	}
}

// HandleReplies passes the replies of a host to the receivers and sends what they return to the host.
func (o *Outbox) HandleReplies(ctx context.Context, from Sender, messages []*peerpb.Message) {
	for _, m := range messages {
		for _, r := range o.Receivers {
			o.Send(addressTo(from.Host, r.Receive(ctx, from, m))...)
		}
	}
}

func addressTo(host string, messages []*peerpb.Message) []Outgoing {
	out := make([]Outgoing, 0, len(messages))
	for _, m := range messages {
		out = append(out, Outgoing{To: host, Message: m})
	}
	return out
}
