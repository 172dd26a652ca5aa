package growth

import "math"

// horizons is the number of token counts ahead at which the memory is forecast.
const horizons = 8

// horizon returns the i-th number of tokens ahead: 0, 32, 64 and so on up to 2048.
func horizon(i int) int {
	if i == 0 {
		return 0
	}
	return 16 << i
}

// Sequence is a running or planned sequence of an engine.
type Sequence struct {
	Curve *Curve
	// Prompt and Tokens are the lengths of the prompt and of the output so far.
	Prompt int
	Tokens int
	// Limit is the maximum length of the output in tokens.
	Limit int
}

// Forecast holds the mean and the variance, at each horizon, of the memory in tokens that the sequences of one engine
// use. All sequences of an engine grow by one token per step, so a horizon in tokens is also one in time.
// The zero value is an idle engine.
type Forecast struct {
	mean     [horizons]float64
	variance [horizons]float64
}

// Add adds a sequence to the forecast.
func (f *Forecast) Add(s Sequence) { f.add(s, 1) }

// Remove removes a sequence that was added with the same lengths.
func (f *Forecast) Remove(s Sequence) { f.add(s, -1) }

func (f *Forecast) add(s Sequence, sign float64) {
	for i := range horizons {
		mean, variance := s.at(horizon(i))
		f.mean[i] += sign * mean
		f.variance[i] += sign * variance
	}
}

// at returns the mean and variance of the sequence's memory in tokens after horizon more tokens.
func (s Sequence) at(horizon int) (mean, variance float64) {
	if s.Tokens+horizon > s.Limit {
		return 0, 0
	}
	size := float64(s.Prompt + s.Tokens + horizon)
	survival := s.Curve.Survival(s.Tokens, horizon)
	return survival * size, survival * (1 - survival) * size * size
}

// Fits reports whether memory tokens suffice for one more sequence at every horizon. The quantile of the normal
// distribution sets the accepted probability of overflow at a horizon; offset is added to the forecast.
func (f *Forecast) Fits(s Sequence, memory, offset, quantile float64) bool {
	for i := range horizons {
		mean, variance := s.at(horizon(i))
		need := f.mean[i] + mean + offset + quantile*math.Sqrt(max(0, f.variance[i]+variance))
		if need > memory {
			return false
		}
	}
	return true
}

// Reset removes all sequences.
func (f *Forecast) Reset() { *f = Forecast{} }

// Used returns the expected memory in use, in tokens.
func (f *Forecast) Used() float64 { return f.mean[0] }
