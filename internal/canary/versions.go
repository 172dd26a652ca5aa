package canary

import (
	"slices"
	"time"
)

const (
	// holdTime is how long a version that appears beside another one waits for an order before it is served without one.
	holdTime = 3 * time.Second
	// forgetTime is the time without servers after which a version counts as new again.
	forgetTime = 10 * time.Second
)

// presence is what a host sees of a version's servers.
type presence struct {
	// servers and slots count those that may take requests, runs are the requests there.
	servers, slots, runs int
	// oldest is the earliest start of a server in Unix milliseconds.
	oldest int64
}

// versions decides which versions of a service are served without an order. It addresses servers of a new version that are started just
// before the order for them, and services whose servers are replaced one after the other without one.
type versions struct {
	// firstSeen is when each version appeared, lastSeen when it last had servers.
	firstSeen, lastSeen map[string]time.Time
	admitted            map[string]bool
}

// update takes the versions that have servers now. isBarred reports which ones orders exclude; isKnown says that the store's orders
// have been read, hasOrder that one of them is in force for the service.
func (v *versions) update(present map[string]presence, isBarred func(string) bool, isKnown, hasOrder bool, now time.Time) {
	if v.admitted == nil {
		v.admitted = make(map[string]bool)
		v.firstSeen, v.lastSeen = make(map[string]time.Time), make(map[string]time.Time)
	}
	isNew := len(v.admitted) == 0
	for name := range present {
		if _, seen := v.firstSeen[name]; !seen {
			v.firstSeen[name] = now
		}
		v.lastSeen[name] = now
	}
	for name, last := range v.lastSeen {
		if now.Sub(last) > forgetTime && len(present) > 0 {
			delete(v.firstSeen, name)
			delete(v.lastSeen, name)
			delete(v.admitted, name)
		}
	}
	var candidates []string
	hasAdmitted := false
	for name := range present {
		if isBarred(name) {
			delete(v.admitted, name)
			continue
		}
		hasAdmitted = hasAdmitted || v.admitted[name]
		candidates = append(candidates, name)
	}
	slices.Sort(candidates)
	switch {
	case hasAdmitted || len(candidates) == 0:
	case isNew && !hasOrder && (isKnown || len(candidates) == 1):
		// A host that starts serves the version that has run longest; the others may be the target of an order.
		v.admitted[slices.MinFunc(candidates, func(a, b string) int {
			return int(min(1, max(-1, present[a].oldest-present[b].oldest)))
		})] = true
	case !isNew || hasOrder:
		for _, name := range candidates {
			v.admitted[name] = true
		}
	}
	for _, name := range candidates {
		if now.Sub(v.firstSeen[name]) >= holdTime {
			v.admitted[name] = true
		}
	}
}

// served returns the admitted versions, sorted.
func (v *versions) served() []string {
	all := make([]string, 0, len(v.admitted))
	for name := range v.admitted {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
