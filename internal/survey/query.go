package survey

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// maxWorkers is the maximum number of concurrent queries to hosts of the own failure domain.
	maxWorkers = 32
	// hostTimeout is the timeout of a query for the state of one host.
	hostTimeout = time.Second
	// domainTimeout is the timeout of a query for a whole failure domain; the queried host has time to query the others
	// there.
	domainTimeout = 2*hostTimeout + hostTimeout/2
)

// reply is the response of one host.
type reply struct {
	host     board.Host
	messages []*peerpb.Message
	err      error
}

// domainPeers returns the other hosts of the own failure domain, except the dead ones.
func (s *Survey) domainPeers() []board.Host {
	var peers []board.Host
	for _, h := range s.Board.Hosts.All() {
		if h.Domain == s.Domain && h.Name != s.Self && h.State != board.HostDead {
			peers = append(peers, h)
		}
	}
	return peers
}

// queryHosts sends one message to each host, with up to maxWorkers at the same time.
func (s *Survey) queryHosts(ctx context.Context, hosts []board.Host, m *peerpb.Message) []reply {
	replies := make([]reply, len(hosts))
	jobs := make(chan int)
	var pool sync.WaitGroup
	for range min(maxWorkers, len(replies)) {
		pool.Go(func() {
			for i := range jobs {
				replies[i] = s.query(ctx, hosts[i], m, hostTimeout)
			}
		})
	}
	for i := range replies {
		jobs <- i
	}
	close(jobs)
	pool.Wait()
	return replies
}

// queryDomains sends one message to a host of each other failure domain, and to the next host there if it does not
// answer.
func (s *Survey) queryDomains(ctx context.Context, m *peerpb.Message) []reply {
	byDomain := make(map[string][]board.Host)
	for _, h := range s.Board.Hosts.All() {
		if h.Domain != s.Domain && h.State != board.HostDead {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	replies := make(chan []reply, len(byDomain))
	for _, hosts := range byDomain {
		go func() { replies <- s.queryFirst(ctx, hosts, m) }()
	}
	var list []reply
	for range byDomain {
		list = append(list, <-replies...)
	}
	return list
}

// queryFirst queries the hosts in turn until one answers; it returns that reply, or all failed ones if none did.
func (s *Survey) queryFirst(ctx context.Context, hosts []board.Host, m *peerpb.Message) []reply {
	var failed []reply
	for _, h := range hosts {
		a := s.query(ctx, h, m, domainTimeout)
		if a.err == nil {
			return []reply{a}
		}
		failed = append(failed, a)
	}
	return failed
}

// query sends one message to a host; an empty response is an error.
func (s *Survey) query(ctx context.Context, h board.Host, m *peerpb.Message, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	messages, err := s.Transport.Deliver(ctx, h.Address, []*peerpb.Message{m})
	if err == nil && len(messages) == 0 {
		err = peer.ErrUnreachable
	}
	return reply{host: h, messages: messages, err: err}
}
