package canary

import (
	"slices"
	"time"
)

const (
	// references is the number of the old version's latest answers that a speed is compared with, minReferences the least.
	references    = 33
	minReferences = 8
	// slowFactor is the ratio from which an answer is slow, slowSlack is added for very short ones.
	slowFactor = 2.0
	slowSlack  = 20 * time.Millisecond
	// loadFactor is the slowdown by load that a good version may show where the old one has no answers under the same load.
	loadFactor = 1.5
)

// Speed is how fast an answer came; a zero value of a field means that it is not known.
type Speed struct {
	// First is the time to the first event or the whole answer, Gap the mean time between two events.
	First, Gap time.Duration
}

// speeds keeps the latest speeds of the old version's answers. Each host judges by its own, since the old version answers most of its
// requests.
type speeds struct {
	latest map[Stratum]*[2]window
}

type window struct {
	values []time.Duration
	next   int
}

func (w *window) add(v time.Duration) {
	switch {
	case v <= 0:
	case len(w.values) < references:
		w.values = append(w.values, v)
	default:
		w.values[w.next%references] = v
		w.next++
	}
}

func (w *window) median() (time.Duration, bool) {
	if len(w.values) < minReferences {
		return 0, false
	}
	sorted := slices.Clone(w.values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

// judge reports whether an answer was slow compared with the old version's at the same time; false if there are too few. Answers of
// the old version are compared too, and remembered.
func (s *speeds) judge(k Stratum, v Speed) (isSlow, isKnown bool) {
	isNew := k.IsNew
	k.IsNew = false
	own, factor := s.at(k), slowFactor
	if _, first := own[0].median(); !first {
		other := k
		other.IsLoaded = !k.IsLoaded
		if k.IsLoaded {
			factor *= loadFactor
		}
		own = s.at(other)
	}
	for i, value := range []time.Duration{v.First, v.Gap} {
		if reference, known := own[i].median(); known && value > 0 {
			isKnown = true
			isSlow = isSlow || value > time.Duration(factor*float64(reference))+slowSlack/time.Duration(1+3*i)
		}
	}
	if !isNew {
		w := s.at(k)
		w[0].add(v.First)
		w[1].add(v.Gap)
	}
	return isSlow, isKnown
}

func (s *speeds) at(k Stratum) *[2]window {
	if s.latest == nil {
		s.latest = make(map[Stratum]*[2]window)
	}
	w := s.latest[k]
	if w == nil {
		w = &[2]window{}
		s.latest[k] = w
	}
	return w
}
