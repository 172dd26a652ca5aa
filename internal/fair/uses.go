package fair

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time over which the use of a service is averaged. It bounds what a party that has paused gets before others, and
	// what one pays for a burst: long enough to compare parties that send once in some seconds, short enough to end with a surge.
	Window = 3 * time.Second
	// outputWeight is the cost of an output token relative to a prompt token.
	outputWeight = 2
	// overFactor is the multiple of the mean use of the waiting parties above which a party is over its share. Serving the lowest use
	// first keeps parties of one urgency closer together than this.
	overFactor = 2
)

// PlainCost is the cost of a request of a service that counts no tokens; uses are told to other hosts in whole tokens a second.
const PlainCost = 100

// Cost returns the cost of a request in tokens.
func Cost(prompt, output int) float64 { return float64(prompt) + outputWeight*float64(output) }

// Key identifies a party in few bytes. A collision lets two parties share one share.
type Key uint32

// KeyOf returns the key of a party's name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Use is what one party takes of a service, at one host or several.
type Use struct {
	// Rate is the cost of the requests that started, in tokens a second averaged over Window.
	Rate float64
	// Waiting is the number of requests that wait.
	Waiting int
}

// Uses are the uses of a service by party.
type Uses map[Key]Use

// Plus returns the sum with other uses; neither operand is changed.
func (u Uses) Plus(o Uses) Uses {
	if len(o) == 0 {
		return u
	}
	sum := make(Uses, len(u)+len(o))
	maps.Copy(sum, u)
	for key, use := range o {
		s := sum[key]
		s.Rate += use.Rate
		s.Waiting += use.Waiting
		sum[key] = s
	}
	return sum
}

// Minus returns the uses without a part of them; neither operand is changed. Uses that are not in the sum, because only the highest
// are passed on, are left out.
func (u Uses) Minus(part Uses) Uses {
	if len(part) == 0 {
		return u
	}
	rest := make(Uses, len(u))
	for key, use := range u {
		use.Rate, use.Waiting = max(0, use.Rate-part[key].Rate), max(0, use.Waiting-part[key].Waiting)
		if use != (Use{}) {
			rest[key] = use
		}
	}
	return rest
}

// Level returns the mean use of the parties that wait, and their number.
func (u Uses) Level() (level float64, waiting int) {
	for _, use := range u {
		if use.Waiting > 0 {
			level += use.Rate
			waiting++
		}
	}
	return level / float64(max(1, waiting)), waiting
}

// Over returns the parties that use more than their share while others wait. Load pattern: one party that sends several times as much
// as each of the others.
func (u Uses) Over() map[Key]bool {
	over := make(map[Key]bool)
	level, waiting := u.Level()
	if waiting < 2 {
		return over
	}
	for key, use := range u {
		if use.Rate > overFactor*level {
			over[key] = true
		}
	}
	return over
}

// Without returns the uses without those of parties that don't wait and take less than a part of all.
func (u Uses) Without(part float64) Uses {
	total := 0.0
	for _, use := range u {
		total += use.Rate
	}
	rest := make(Uses, len(u))
	for key, use := range u {
		if use.Waiting > 0 || use.Rate >= part*total {
			rest[key] = use
		}
	}
	return rest
}

// Busiest returns the n parties with the highest use; those that wait come first.
func (u Uses) Busiest(n int) Uses {
	if len(u) <= n {
		return u
	}
	keys := slices.SortedFunc(maps.Keys(u), func(a, b Key) int {
		x, y := u[a], u[b]
		if (x.Waiting > 0) != (y.Waiting > 0) {
			if x.Waiting > 0 {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(a, b))
	})
	busiest := make(Uses, n)
	for _, key := range keys[:n] {
		busiest[key] = u[key]
	}
	return busiest
}
