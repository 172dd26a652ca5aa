package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// readerSilence is when a reading host that is silent is passed over.
const readerSilence = 1500 * time.Millisecond

// Reader returns the host of this region that reads the store for the others; false if this host reads for itself.
// Of all hosts that can read, the one with the largest processor share is chosen, so that all hosts choose alike.
func (g *Gossip) Reader() (mirror.Host, bool) {
	isReading := g.IsReading()
	g.mu.Lock()
	defer g.mu.Unlock()
	best, bestCores := "", 0.0
	if isReading && !g.leaving {
		best, bestCores = g.Self, g.Cores
	}
	for name, p := range g.peers {
		if p.region != g.Region || !p.reading || p.leaving || time.Since(p.heard) > readerSilence {
			continue
		}
		if best == "" || p.cores > bestCores || p.cores == bestCores && xxhash.Sum64String(name) > xxhash.Sum64String(best) {
			best, bestCores = name, p.cores
		}
	}
	if best == "" || best == g.Self {
		return mirror.Host{}, false
	}
	return mirror.Host{Name: best, Address: g.peers[best].address}, true
}
