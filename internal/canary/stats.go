package canary

import "math"

// tailProbability returns the probability of at least failed failures among total answers if both versions fail equally often, given
// the failures and answers of the old version (Fisher's exact test, one-sided).
func tailProbability(failed, total, oldFailed, oldTotal int) float64 {
	if failed <= 0 || total <= 0 {
		return 1
	}
	all, allFailed := total+oldTotal, failed+oldFailed
	sum := 0.0
	for k := failed; k <= min(total, allFailed); k++ {
		p := math.Exp(logChoose(total, k) + logChoose(oldTotal, allFailed-k) - logChoose(all, allFailed))
		sum += p
		if p < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

// logChoose returns the logarithm of a binomial coefficient; -Inf if it is zero.
func logChoose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}

// pooled adds up the comparisons of single strata (Mantel-Haenszel).
type pooled struct {
	observed, expected, variance float64
}

func (p *pooled) add(failed, total, oldFailed, oldTotal int) {
	n, f := float64(total+oldTotal), float64(failed+oldFailed)
	if total == 0 || oldTotal == 0 || n < 2 {
		return
	}
	part := float64(total) / n
	p.observed += float64(failed)
	p.expected += f * part
	p.variance += f * part * (1 - part) * (n - f) / (n - 1)
}

// deviation returns by how many standard deviations the new version fails more often than the old one.
func (p *pooled) deviation() float64 {
	if p.variance <= 0 {
		return 0
	}
	return (p.observed - p.expected - 0.5) / math.Sqrt(p.variance)
}
