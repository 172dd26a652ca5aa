// Package growth estimates the length of outputs and the memory that running sequences will need.
package growth

import (
	"math"
	"math/bits"
)

const (
	linearBuckets = 8
	octaveBits    = 2
	buckets       = 64

	// priorSequences is the weight of the prior in sequences.
	priorSequences = 12
	// defaultScale is the scale in tokens of the Lomax distribution assumed before any observation.
	defaultScale = 384
	// maxWeight bounds the weight of the observed ends; above it all observations are halved, so old ones fade.
	maxWeight = 1500
	minHazard = 1e-6
)

// Curve is an online estimate of output lengths: a cumulative hazard over log-spaced buckets of tokens (the
// Nelson–Aalen estimator with piecewise constant hazard). Outputs that are still running, or that were cut at their
// limit, count as censored: they add exposure but no end. The zero value starts from a default distribution.
// It is not safe for concurrent use.
type Curve struct {
	// Prior is the curve used where this one has few observations; nil means the default distribution.
	Prior *Curve

	exposure [buckets]float64
	ends     [buckets]float64
	weight   float64

	hazard       [buckets]float64
	hazardBefore [buckets + 1]float64
	remaining    [buckets + 1]float64
	ready        bool
	// changed is true when there are observations since the last refresh.
	changed bool
}

// bucketOf returns the index of the bucket that contains a position in tokens.
func bucketOf(position int) int {
	if position < linearBuckets {
		return max(0, position)
	}
	octave := bits.Len(uint(position)) - 1
	part := (position >> (octave - octaveBits)) & (1<<octaveBits - 1)
	return min(buckets-1, linearBuckets+(octave-3)<<octaveBits+part)
}

// edge returns the lowest position in tokens of a bucket.
func edge(bucket int) int {
	if bucket < linearBuckets {
		return bucket
	}
	octave := (bucket-linearBuckets)>>octaveBits + 3
	part := (bucket - linearBuckets) & (1<<octaveBits - 1)
	return 1<<octave + part<<(octave-octaveBits)
}

// AddExposure adds the exposure of a sequence that grew from one position in tokens to another.
func (c *Curve) AddExposure(from, to int) {
	c.changed = true
	for b := bucketOf(from); from < to; b++ {
		end := to
		if b < buckets-1 {
			end = min(to, edge(b+1))
		}
		c.exposure[b] += float64(end - from)
		from = end
	}
}

// AddEnd records that a sequence ended by itself, not at its limit, after a number of tokens.
func (c *Curve) AddEnd(tokens int) {
	c.changed = true
	c.ends[bucketOf(max(0, tokens-1))]++
	c.weight++
	if c.weight > maxWeight {
		c.halve()
	}
}

func (c *Curve) halve() {
	const half = 0.5
	c.weight *= half
	for b := range buckets {
		c.ends[b] *= half
		c.exposure[b] *= half
	}
}

// Refresh updates the estimate with the observations since the last call; the prior must be refreshed first.
func (c *Curve) Refresh() {
	if c.ready && !c.changed {
		return
	}
	c.changed = false
	for b := range buckets {
		width := float64(edge(b+1) - edge(b))
		pseudo := priorSequences * width
		c.hazard[b] = max(minHazard, (c.ends[b]+pseudo*c.priorHazard(b))/(c.exposure[b]+pseudo))
		c.hazardBefore[b+1] = c.hazardBefore[b] + c.hazard[b]*width
	}
	c.remaining[buckets] = float64(edge(buckets))
	for b := buckets - 1; b >= 0; b-- {
		survive := math.Exp(c.hazardBefore[b] - c.hazardBefore[b+1])
		c.remaining[b] = (1-survive)/c.hazard[b] + survive*c.remaining[b+1]
	}
	c.ready = true
}

func (c *Curve) priorHazard(bucket int) float64 {
	if c.Prior == nil {
		return 1 / float64(edge(bucket)+defaultScale)
	}
	c.Prior.init()
	return c.Prior.hazard[bucket]
}

func (c *Curve) init() {
	if !c.ready {
		c.Refresh()
	}
}

// cumulativeHazard returns the sum of the hazard up to a position in tokens.
func (c *Curve) cumulativeHazard(position int) float64 {
	b := bucketOf(position)
	return c.hazardBefore[b] + c.hazard[b]*float64(position-edge(b))
}

// Survival returns the probability that a sequence that has reached tokens grows by at least more tokens.
func (c *Curve) Survival(tokens, more int) float64 {
	c.init()
	return math.Exp(c.cumulativeHazard(tokens) - c.cumulativeHazard(tokens+more))
}

// Remaining returns the expected number of further tokens of a sequence that has reached tokens, up to a limit.
func (c *Curve) Remaining(tokens, limit int) float64 {
	c.init()
	left := limit - tokens
	if left <= 0 {
		return 0
	}
	expected := c.remaining[bucketOf(tokens)]
	beyond := c.Survival(tokens, left) * c.remaining[bucketOf(limit)]
	return min(float64(left), max(1, expected-beyond))
}
