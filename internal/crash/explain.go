package crash

import (
	"slices"
	"time"
)

// wholeBit is set in keys of whole requests and unset in keys of parts.
const wholeBit = 1 << 63

// isExplained reports whether all crashes under a quarantined key can be those of another quarantined part, which the request
// does not hold. Parts that were sent together have their crashes in common, and at most one is the cause: a request without
// it is sound, and its answer exonerates the others.
func (t *Table) isExplained(e *evidence, keys Keys, now time.Duration) bool {
	for _, other := range t.keys {
		if other.key&wholeBit == 0 && !keys.has(other.key) && other.isQuarantined(now) && other.covers(e) {
			return true
		}
	}
	return false
}

// has reports whether the keys contain one.
func (k Keys) has(key uint64) bool { return k.Whole == key || slices.Contains(k.Parts, key) }

// covers reports whether all crashes of other evidence since its last answer are crashes of this one too.
func (e *evidence) covers(o *evidence) bool {
	for _, c := range o.crashes {
		if c.at > o.answeredAt && !slices.ContainsFunc(e.crashes, c.isSame) {
			return false
		}
	}
	return true
}
