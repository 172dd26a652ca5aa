package soak

import (
	"math/rand/v2"
	"strings"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
)

// brokenStream selects the random numbers of the broken answers.
const brokenStream = 1 << 35

// brokenAnswers lists the faults that break the heads of answers.
func brokenAnswers() []fault {
	return []fault{
		{"answers of a backend server broken", func(s *Soak, r *rand.Rand) func() {
			return breakAnswers(s.serverProxies[r.IntN(len(s.serverProxies))], r)
		}},
		{"answers of a backend server that streams broken", func(s *Soak, r *rand.Rand) func() {
			return breakAnswers(s.serverProxies[s.drawEngine(r)], r)
		}},
		{"answers of the store broken", func(s *Soak, r *rand.Rand) func() {
			h, end := s.disturbHost(r)
			undo := breakAnswers(s.storeProxies[h.index], r)
			return func() { undo(); end() }
		}},
	}
}

func breakAnswers(p *proxy, r *rand.Rand) func() {
	all := broken.Faults()
	p.setBroken(&all[r.IntN(len(all))])
	return func() { p.setBroken(nil) }
}

func (p *proxy) setBroken(f *broken.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brokenBy = f
}

// breakAnswer returns the start of an answer with the proxy's fault, if it has one.
func (p *proxy) breakAnswer(start []byte) []byte {
	p.mu.Lock()
	f := p.brokenBy
	p.mu.Unlock()
	if f == nil || !strings.HasPrefix(string(start), "HTTP/1.1 ") || len(start) < len("HTTP/1.1 200") {
		return start
	}
	return []byte(f.Apply(string(start)))
}
