// Package route chooses the backend servers at which a request claims a start.
package route

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// crowdedLoad is the load from which on a backend server ranks after all those with less.
	crowdedLoad = 0.55
	// slotsWeight is the weight of the running requests in the load; the rest goes to the fuller of slots and memory.
	slotsWeight = 0.5
	// prefixBonus is subtracted from the load of a backend server that has the request's prefix cached.
	prefixBonus = 0.1
	// outlierFactor is the multiple of the pool's median token gap above which a backend server is slow.
	outlierFactor   = 2
	slowPenalty     = 1
	crowdedPenalty  = 1
	regionPenalty   = 0.02
	linkPenalty     = 0.04
	minFailurePause = time.Second
	maxFailurePause = 30 * time.Second
	jitter          = 0.01
	// maxHintAge is the time after which the load in an owner's grant is outdated.
	maxHintAge = 5 * time.Second
)

// Tier is the distance of a backend server from the host.
type Tier int

// The tiers, nearest first.
const (
	TierDomain Tier = iota
	TierRegion
	TierLink
	tiers
)

// Backend is one host's local view of a backend server.
type Backend struct {
	config.Backend
	Tier Tier
	// Load is the last load report; Reported is the time at which it arrived, zero if none has.
	Load     engine.Load
	Reported time.Time
	// Running counts this host's running requests, StartedSince its starts since the last report and TokensSince the
	// prompt tokens of these.
	Running      int
	StartedSince int
	TokensSince  int
	failures     int
	failedAt     time.Time
	// granted counts the running starts that this host granted as the owner.
	granted int
	// currentLoad is the result of computeLoad at the last change.
	currentLoad float64
	Cache       Prefixes
	slow        bool
	// firstHint is the time at which the first hint arrived.
	firstHint time.Time
	// isHinted is true when Load comes from an owner's grant and not from a report.
	isHinted bool
	// assumed is the mean load of the backend server's failure domain, used while there is no report.
	assumed float64
}

// Report records a load report; a new boot identity means that the engine restarted with an empty cache.
func (b *Backend) Report(l engine.Load, now time.Time) {
	if l.Boot != b.Load.Boot {
		b.Cache = Prefixes{}
	}
	b.Load, b.Reported, b.StartedSince, b.TokensSince = l, now, 0, 0
	b.isHinted = false
	b.currentLoad = b.computeLoad()
}

// Hint records the load that an owner sent with a grant; it replaces load reports where none arrives. For other failure
// domains it is ignored: they use the mean load from digests, since a grant from there says little about the rest.
func (b *Backend) Hint(running, used int, now time.Time) {
	if b.Tier != TierDomain {
		return
	}
	if b.firstHint.IsZero() {
		b.firstHint = now
	}
	last := b.Reported
	if last.IsZero() {
		last = b.firstHint
	}
	if !b.isHinted && now.Sub(last) < maxHintAge {
		return
	}
	b.isHinted = true
	b.Load.Running, b.Load.Waiting = running, 0
	b.Load.UsedTokens, b.Load.TotalTokens = used, b.MemoryTokens
	b.Reported, b.StartedSince, b.TokensSince = now, 0, 0
	b.currentLoad = b.computeLoad()
}

// Expire drops a hint that is older than maxHintAge.
func (b *Backend) Expire(now time.Time) {
	if b.isHinted && now.Sub(b.Reported) > maxHintAge {
		b.isHinted = false
		b.Reported = time.Time{}
		b.currentLoad = b.computeLoad()
	}
}

// Start records that this host started a request with a prompt of that many tokens.
func (b *Backend) Start(prompt int) {
	b.Running++
	b.StartedSince++
	b.TokensSince += prompt
	b.currentLoad = b.computeLoad()
}

// End records the end of one of this host's requests.
func (b *Backend) End(failed bool, now time.Time) {
	b.Running--
	b.currentLoad = b.computeLoad()
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	b.failedAt = now
}

// SetGranted sets the number of running starts that this host granted as the owner.
func (b *Backend) SetGranted(n int) {
	b.granted = n
	b.currentLoad = b.computeLoad()
}

// IsCrowded reports whether the backend server is close to running out of slots or memory.
func (b *Backend) IsCrowded() bool { return b.currentLoad >= crowdedLoad }

// IsUsable reports whether the pause after the last failures is over.
func (b *Backend) IsUsable(now time.Time) bool {
	if b.failures == 0 {
		return true
	}
	pause := min(maxFailurePause, minFailurePause<<min(b.failures-1, 8))
	return now.Sub(b.failedAt) > pause
}

// computeLoad returns how busy the backend server is, from 0 to 1, including this host's starts since the report. The
// number of running requests determines an engine's speed and dominates while there is room; the fuller of slots and
// memory dominates when it is nearly used up.
func (b *Backend) computeLoad() float64 {
	if b.Reported.IsZero() {
		return max(b.assumed, slotsWeight*float64(b.Running)/float64(b.MaxRunning))
	}
	running := max(b.Running, b.granted, b.Load.Running+b.Load.Waiting+b.StartedSince)
	slots := float64(running) / float64(b.MaxRunning)
	fullness := slots
	if b.Load.TotalTokens > 0 {
		fullness = max(fullness, float64(b.Load.UsedTokens+b.TokensSince)/float64(b.Load.TotalTokens))
	}
	return slotsWeight*slots + (1-slotsWeight)*fullness*fullness*fullness*fullness
}

// Criteria is what a request requires of a backend server.
type Criteria struct {
	Prefix  uint64
	Exclude []string
	// Claimed are the backend servers that already have a claim; they are skipped.
	Claimed []*Backend
	// LinkAllowed permits backend servers on the other side of the paid link.
	LinkAllowed bool
	// Random breaks ties.
	Random uint64
}

// Pool is the set of backend servers of one service, grouped by tier.
type Pool struct {
	byTier [tiers][]*Backend
}

// Add adds a backend server to the pool.
func (p *Pool) Add(b *Backend) { p.byTier[b.Tier] = append(p.byTier[b.Tier], b) }

// Size returns the number of backend servers; a nil pool has none.
func (p *Pool) Size() int {
	if p == nil {
		return 0
	}
	size := 0
	for _, list := range p.byTier {
		size += len(list)
	}
	return size
}

// MarkOutliers marks the backend servers that are slow compared with the median token gap of those that report.
// When the whole pool slows down, so does the median and none is marked.
func (p *Pool) MarkOutliers() {
	var gaps []time.Duration
	p.forEach(func(b *Backend) {
		if b.Load.TokenGap > 0 {
			gaps = append(gaps, b.Load.TokenGap)
		}
	})
	if len(gaps) == 0 {
		return
	}
	slices.Sort(gaps)
	bound := outlierFactor * gaps[len(gaps)/2]
	p.forEach(func(b *Backend) { b.slow = b.Load.TokenGap > bound })
}

// MeanLoad returns the mean load of the backend servers in this host's failure domain.
func (p *Pool) MeanLoad() float64 {
	sum := 0.0
	for _, b := range p.byTier[TierDomain] {
		sum += b.currentLoad
	}
	return sum / float64(max(1, len(p.byTier[TierDomain])))
}

// SetAssumedLoad sets the load to use for the backend servers of a failure domain while they have no report.
func (p *Pool) SetAssumedLoad(domain string, load float64) {
	p.forEach(func(b *Backend) {
		if b.Domain == domain {
			b.assumed = load
			b.currentLoad = b.computeLoad()
		}
	})
}

func (p *Pool) forEach(f func(*Backend)) {
	for _, list := range p.byTier {
		for _, b := range list {
			f(b)
		}
	}
}

// MaxChoices is the maximum number of backend servers that Choose returns.
const MaxChoices = 4

// Choose appends up to n backend servers to list, best first: those with the lowest load plus a penalty for their tier,
// crowded ones last. It looks at each backend server once.
func (p *Pool) Choose(list []*Backend, n int, w Criteria, now time.Time) []*Backend {
	if p == nil {
		return list
	}
	n = min(n, MaxChoices)
	var scores [MaxChoices]float64
	start := len(list)
	for tier, backends := range p.byTier {
		if Tier(tier) == TierLink && !w.LinkAllowed {
			continue
		}
		penalty := Tier(tier).penalty()
		for i, b := range backends {
			score := w.score(b, i) + penalty
			kept := len(list) - start
			if kept == n && (n == 0 || score >= scores[kept-1]) || !w.allows(b, now) {
				continue
			}
			if kept < n {
				list = append(list, b)
				kept++
			}
			insert(list[start:], scores[:kept], b, score)
		}
	}
	return list
}

// insert inserts a backend server into a list sorted by score, replacing the last one.
func insert(list []*Backend, scores []float64, b *Backend, score float64) {
	i := len(scores) - 1
	for i > 0 && scores[i-1] > score {
		list[i], scores[i] = list[i-1], scores[i-1]
		i--
	}
	list[i], scores[i] = b, score
}

// score returns the load after penalties. It must be cheap: each choice computes it for all backend servers.
func (w *Criteria) score(b *Backend, index int) float64 {
	score := b.currentLoad
	switch {
	case score >= crowdedLoad:
		score += crowdedPenalty
	case w.Prefix != 0 && b.Cache.Has(w.Prefix):
		score -= prefixBonus
	}
	if b.slow {
		score += slowPenalty
	}
	return score + w.tieBreak(index)
}

// tieBreak returns a small pseudo-random number, so that hosts with the same reports choose different backend servers.
func (w *Criteria) tieBreak(index int) float64 {
	const mix, bits = 0x9e3779b97f4a7c15, 11
	h := (w.Random + uint64(index)) * mix
	h ^= h >> 32
	h *= mix
	return jitter / (1 << (64 - bits)) * float64(h>>bits)
}

// penalty returns the load by which a backend server of this tier must be better than one in the own failure domain.
func (t Tier) penalty() float64 {
	switch t {
	case TierDomain:
		return 0
	case TierRegion:
		return regionPenalty
	default:
		return linkPenalty
	}
}

func (w *Criteria) allows(b *Backend, now time.Time) bool {
	return b.IsUsable(now) && !slices.Contains(w.Claimed, b) && !slices.Contains(w.Exclude, b.Name)
}
