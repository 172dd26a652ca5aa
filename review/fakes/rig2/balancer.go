package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer stands in for the platform's entry of one zone: it asks each host once a second whether it is ready, takes a host out of
// rotation after two misses, and uses all hosts of the zone while fewer than half are in rotation.
type balancer struct {
	hosts []*host
	rec   *record

	mu     sync.Mutex
	misses []int
	// wasOut holds the hosts that were out of rotation at the last question.
	wasOut []bool
}

func startBalancer(hosts []*host, rec *record) *balancer {
	b := &balancer{hosts: hosts, rec: rec, misses: make([]int, len(hosts)), wasOut: make([]bool, len(hosts))}
	for i := range hosts {
		go func() {
			for {
				ready := hosts[i].isReady()
				b.heard(i, ready)
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

func (b *balancer) heard(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
	if out := b.misses[i] >= 2; out != b.wasOut[i] {
		b.wasOut[i] = out
		b.rec.line("platform: %s is out of rotation: %t", b.hosts[i].name, out)
	}
}

// choose returns the host of a new channel.
func (b *balancer) choose() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*host
	for i, h := range b.hosts {
		if b.misses[i] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(b.hosts) {
		in = b.hosts
	}
	return in[rand.IntN(len(in))]
}
