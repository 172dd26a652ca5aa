// Package settle decides whether the table in the store counts. A store that has come back from a copy may hold an older table than the
// operators have written, and nothing in its answers shows it: a host that has just started, or that was paused or cut off meanwhile,
// takes withdrawn keys and routes for valid. The table of an era of the store counts once it is settled that it is the newest one.
package settle

import "time"

// Reasons for which the table of an era counts.
const (
	// reasonWritten: the operators have written it in this era.
	reasonWritten = "written in this era"
	// reasonOtherHost: it counts at another host.
	reasonOtherHost = "counts at another host"
	// reasonMark: a host has recorded in the store that it counts.
	reasonMark = "marked in the store"
	// reasonKnown: the host knew the newest table until shortly before the return, and no other host knows a newer one.
	reasonKnown = "known before the return"
	// reasonFirst: no host has ever run.
	reasonFirst = "first start"
	// reasonAge: the operators have had the time to write again.
	reasonAge = "not written again"
)

const (
	// rewriteTime is how long the operators may take to write again. It bounds the wait of hosts none of which knows more than the copy;
	// it is the same as for their orders for failure domains.
	rewriteTime = 5 * time.Second
	// defaultMaxGap is the default of core.maxGap.
	defaultMaxGap = 4 * time.Second
)

// Reading is what the store holds in one of its eras.
type Reading struct {
	Era int64
	// Version is that of the store's table; 0 if there is none.
	Version int64
	// IsWritten is set if the table has been written since an earlier reading of this era.
	IsWritten bool
}

// Mark is the record in the store that the table of an era counts.
type Mark struct {
	Era int64
	// Version is that of the table when the era was settled.
	Version int64
}

// known is the table that a host has in force.
type known struct {
	version     int64
	confirmedAt time.Duration
}

// core is the decision. It has no clock; times are readings of ticks.Now. The zero value is a host that has started.
type core struct {
	// maxGap is the age of the last confirmation up to which a host has known the newest table until the store went away; 0 means 4 s.
	maxGap time.Duration

	era   int64
	since time.Duration
	// stored is the version in the store, reason why it counts, empty while it does not.
	stored int64
	reason string
	// isWritten is set once the table has been written in this era.
	isWritten bool
	// wasCurrent is set if the host's table was young when it learned of the era.
	wasCurrent bool
	// hasAsked is set once the other hosts have been asked in this era, hasAnswer if one of them answered or there is none.
	hasAsked, hasAnswer bool
	// newest is the highest version that another host has in force; it outlasts the era.
	newest int64
	// elsewhere is a version of this era that counts at another host; 0 for none.
	elsewhere int64
	// mark is the record in the store, once it has been looked up.
	mark       Mark
	isLookedUp bool
}

// read takes what the store holds, and reports whether the host has learned of a new era.
func (c *core) read(r Reading, inForce known, now time.Duration) (isNew bool) {
	if r.Era < c.era {
		return false
	}
	if isNew = r.Era > c.era; isNew {
		gap := c.maxGap
		if gap == 0 {
			gap = defaultMaxGap
		}
		*c = core{maxGap: c.maxGap, newest: c.newest, era: r.Era, since: now, wasCurrent: inForce.version > 0 && now-inForce.confirmedAt <= gap}
	}
	// Versions rise, so that a later list of the same era with a higher one shows a write too.
	c.isWritten = c.isWritten || !isNew && (r.IsWritten || r.Version > c.stored)
	c.stored = r.Version
	return isNew
}

// answer is what another host knows.
type answer struct {
	// version is that of the table in force; 0 for none.
	version int64
	// settledEra is the newest era whose table counts there.
	settledEra int64
}

// heard takes the answers of a round of questions to a number of hosts.
func (c *core) heard(era int64, asked int, answers []answer) {
	for _, a := range answers {
		c.newest = max(c.newest, a.version)
		if a.settledEra == era && era == c.era && a.version > 0 {
			c.elsewhere = a.version
		}
	}
	if era == c.era {
		c.hasAsked, c.hasAnswer = true, c.hasAnswer || len(answers) > 0 || asked == 0
	}
}

// lookedUp takes the record in the store; the zero value if there is none.
func (c *core) lookedUp(era int64, m Mark) {
	if era == c.era {
		c.mark, c.isLookedUp = m, true
	}
}

// settled returns the reason for which the store's table counts, empty if it does not. Once it counts, it does until the next return.
func (c *core) settled(inForce known, now time.Duration) string {
	if c.stored == 0 || c.stored < max(inForce.version, c.newest) {
		return ""
	}
	if c.reason == "" {
		c.reason = c.settle(now)
	}
	return c.reason
}

func (c *core) settle(now time.Duration) string {
	switch {
	case c.isWritten:
		return reasonWritten
	case c.elsewhere > 0 && c.stored >= c.elsewhere:
		return reasonOtherHost
	case c.isLookedUp && c.mark.Era == c.era && c.stored >= c.mark.Version:
		return reasonMark
	case c.wasCurrent && c.hasAnswer:
		return reasonKnown
	case c.isLookedUp && c.mark == Mark{} && c.newest == 0 && c.hasAsked && !c.wasCurrent:
		return reasonFirst
	case c.hasAsked && now-c.since > rewriteTime:
		return reasonAge
	default:
		return ""
	}
}
