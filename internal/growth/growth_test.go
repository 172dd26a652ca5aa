package growth

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBuckets(t *testing.T) {
	for b := range buckets - 1 {
		assert.Equal(t, bucketOf(edge(b)), b)
		assert.Equal(t, bucketOf(edge(b+1)-1), b)
	}
}

// TestCensored checks that long outputs that are still running are counted: without them, the estimate is too short.
func TestCensored(t *testing.T) {
	tests := []struct {
		name     string
		censored bool
		low      float64
		high     float64
	}{
		{"unfinished outputs counted", true, 0.42, 0.58},
		{"finished outputs alone", false, 0, 0.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var c Curve
			const cut, median = 200, 256
			for range 1200 {
				length := int(math.Exp(math.Log(median) + rng.NormFloat64()))
				seen := min(length, cut)
				if length > cut && !test.censored {
					continue
				}
				c.AddExposure(0, seen)
				if length <= cut {
					c.AddEnd(length)
				}
			}
			c.Refresh()
			got := c.Survival(0, cut)
			if test.censored {
				want := 0.5 * math.Erfc(math.Log(float64(cut)/median)/math.Sqrt2)
				assert.Assert(t, math.Abs(got-want) < 0.05, "%v, want %v", got, want)
				return
			}
			assert.Assert(t, got < 0.25, "%v", got)
		})
	}
}

func TestRemainingGrowsWithLength(t *testing.T) {
	var c Curve
	assert.Assert(t, c.Remaining(2000, 32768) > c.Remaining(0, 32768))
	assert.Equal(t, c.Remaining(100, 100), 0.0)
}

// TestOverflowProbability compares the forecast's overflow probability with the frequency over many random draws.
func TestOverflowProbability(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var c Curve
	for range 1400 {
		length := int(rng.ExpFloat64()*400) + 1
		c.AddExposure(0, length)
		c.AddEnd(length)
	}
	c.Refresh()
	const running, prompt = 60, 300
	var f Forecast
	for range running {
		f.Add(Sequence{Curve: &c, Prompt: prompt, Limit: 4096})
	}
	one := Sequence{Curve: &c, Prompt: prompt, Limit: 4096}
	const quantile = 1.645
	memory := 0.0
	for !f.Fits(one, memory, 0, quantile) {
		memory += 50
	}
	const draws = 2000
	over := make([]int, horizons)
	for range draws {
		for i, used := range usage(rng, running+1, prompt) {
			if used > memory {
				over[i]++
			}
		}
	}
	worst := float64(slices.Max(over)) / draws
	assert.Assert(t, worst < 0.08, "overflow probability %v at memory %v", worst, memory)
	assert.Assert(t, worst > 0.02, "overflow probability %v at memory %v", worst, memory)
}

// usage returns the memory in tokens at each horizon in one random draw.
func usage(rng *rand.Rand, count, prompt int) []float64 {
	used := make([]float64, horizons)
	for range count {
		length := int(rng.ExpFloat64()*400) + 1
		for i := range horizons {
			if length >= horizon(i) {
				used[i] += float64(prompt + horizon(i))
			}
		}
	}
	return used
}
