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
	askWorkers = 32
	askTimeout = time.Second
	// domainTimeout leaves a host of another failure domain the time to ask the hosts there.
	domainTimeout = 2*askTimeout + askTimeout/2
)

// asked is the answer of one host.
type asked struct {
	host    board.Host
	answers []*peerpb.Message
	err     error
}

// near returns the other hosts of the own failure domain that are not known to be dead.
func (s *Survey) near() []board.Host {
	var list []board.Host
	for _, h := range s.Board.Hosts.All() {
		if h.Domain == s.Domain && h.Name != s.Self && h.State != board.HostDead {
			list = append(list, h)
		}
	}
	return list
}

// askEach sends one message to each host with a pool of workers.
func (s *Survey) askEach(ctx context.Context, hosts []board.Host, m *peerpb.Message) []asked {
	list := make([]asked, len(hosts))
	jobs := make(chan int)
	var pool sync.WaitGroup
	for range min(askWorkers, len(list)) {
		pool.Go(func() {
			for i := range jobs {
				list[i] = s.ask(ctx, hosts[i], m, askTimeout)
			}
		})
	}
	for i := range list {
		jobs <- i
	}
	close(jobs)
	pool.Wait()
	return list
}

// askDomains sends one message to a host of each other failure domain; where it does not answer, the
// next known one is asked.
func (s *Survey) askDomains(ctx context.Context, m *peerpb.Message) []asked {
	byDomain := make(map[string][]board.Host)
	for _, h := range s.Board.Hosts.All() {
		if h.Domain != s.Domain && h.State != board.HostDead {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	answers := make(chan []asked, len(byDomain))
	for _, hosts := range byDomain {
		go func() { answers <- s.askFirst(ctx, hosts, m) }()
	}
	var list []asked
	for range byDomain {
		list = append(list, <-answers...)
	}
	return list
}

// askFirst asks hosts in turn until one answers; a host that did not is reported only when none did.
func (s *Survey) askFirst(ctx context.Context, hosts []board.Host, m *peerpb.Message) []asked {
	var failed []asked
	for _, h := range hosts {
		a := s.ask(ctx, h, m, domainTimeout)
		if a.err == nil {
			return []asked{a}
		}
		failed = append(failed, a)
	}
	return failed
}

func (s *Survey) ask(ctx context.Context, h board.Host, m *peerpb.Message, limit time.Duration) asked {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers, err := s.Transport.Deliver(ctx, h.Address, []*peerpb.Message{m})
	if err == nil && len(answers) == 0 {
		err = peer.ErrUnreachable
	}
	return asked{host: h, answers: answers, err: err}
}
