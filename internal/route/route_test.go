package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

func backend(name string, tier Tier, running int, gap time.Duration) *Backend {
	b := &Backend{Backend: config.Backend{Name: name, MaxRunning: 100}, Tier: tier}
	b.Report(engine.Load{Running: running, UsedTokens: running, TotalTokens: 1000, TokenGap: gap}, time.Unix(1, 0))
	return b
}

func TestChoose(t *testing.T) {
	const gap = 30 * time.Millisecond
	now := time.Unix(2, 0)
	tests := []struct {
		name     string
		backends []*Backend
		want     Criteria
		change   func(list []*Backend)
		first    string
	}{
		{"less load", []*Backend{backend("a", TierDomain, 50, gap), backend("b", TierDomain, 10, gap)}, Criteria{}, nil, "b"},
		{"nearer", []*Backend{backend("a", TierRegion, 10, gap), backend("b", TierDomain, 10, gap)}, Criteria{}, nil, "b"},
		{"other failure domain with much less load", []*Backend{backend("a", TierDomain, 60, gap), backend("b", TierRegion, 10, gap)}, Criteria{}, nil, "b"},
		{"link not allowed", []*Backend{backend("a", TierDomain, 90, gap), backend("b", TierLink, 0, gap)}, Criteria{}, nil, "a"},
		{"link allowed", []*Backend{backend("a", TierDomain, 90, gap), backend("b", TierLink, 0, gap)}, Criteria{LinkAllowed: true}, nil, "b"},
		{"excluded", []*Backend{backend("a", TierDomain, 10, gap), backend("b", TierDomain, 50, gap)}, Criteria{Exclude: []string{"a"}}, nil, "b"},
		{"slower than the median", []*Backend{backend("a", TierDomain, 10, 5*gap), backend("b", TierDomain, 50, gap), backend("c", TierDomain, 60, gap)}, Criteria{}, nil, "b"},
		{"whole pool slow", []*Backend{backend("a", TierDomain, 10, 5*gap), backend("b", TierDomain, 50, 5*gap)}, Criteria{}, nil, "a"},
		{"cached prefix", []*Backend{backend("a", TierDomain, 10, gap), backend("b", TierDomain, 20, gap)}, Criteria{Prefix: 7}, func(l []*Backend) {
			l[1].Cache.Apply([]engine.CacheEvent{{Sequence: 1, Prefix: 7}})
		}, "b"},
		{"cached prefix on a crowded backend server", []*Backend{backend("a", TierDomain, 10, gap), backend("b", TierDomain, 70, gap)}, Criteria{Prefix: 7}, func(l []*Backend) {
			l[1].Cache.Apply([]engine.CacheEvent{{Sequence: 1, Prefix: 7}})
		}, "a"},
		{"own starts since the report", []*Backend{backend("a", TierDomain, 10, gap), backend("b", TierDomain, 20, gap)}, Criteria{}, func(l []*Backend) {
			for range 30 {
				l[0].Start(10)
			}
		}, "b"},
		{"failed just now", []*Backend{backend("a", TierDomain, 10, gap), backend("b", TierDomain, 50, gap)}, Criteria{}, func(l []*Backend) {
			l[0].Start(10)
			l[0].End(true, now)
		}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p Pool
			for _, b := range test.backends {
				p.Add(b)
			}
			if test.change != nil {
				test.change(test.backends)
			}
			p.MarkOutliers()
			chosen := p.Choose(nil, 1, test.want, now)
			assert.Equal(t, chosen[0].Name, test.first)
		})
	}
}

func TestPrefixes(t *testing.T) {
	var p Prefixes
	p.Apply([]engine.CacheEvent{{Sequence: 1, Prefix: 7}, {Sequence: 2, Prefix: 8}, {Sequence: 3, Prefix: 7, Evicted: true}})
	assert.Assert(t, !p.Has(7))
	assert.Assert(t, p.Has(8))
	assert.Equal(t, p.After(), uint64(3))
	p.Apply([]engine.CacheEvent{{Sequence: 5, Prefix: 9}})
	assert.Assert(t, !p.Has(8) && !p.Has(9), "the cache view must be empty after a gap")
	assert.Equal(t, p.After(), uint64(0))
	p.Snapshot([]engine.CacheEvent{{Sequence: 4, Prefix: 8}, {Sequence: 5, Prefix: 9}})
	assert.Assert(t, p.Has(8) && p.Has(9))
	assert.Equal(t, p.After(), uint64(5))
}
