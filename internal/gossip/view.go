package gossip

import (
	"slices"
	"time"
)

// view is whether this host sees the loads of the others, as it was logged last.
type view struct {
	isChecked bool
	isOK      bool
	changedAt time.Time
}

// View returns the age of what this host knows of the others' loads, and whether that is a view of them: false if it knows of
// others and has no recent loads of half of them, such as after its start or while its failure domain is cut off. Without a
// view the loads of the others are unknown, not zero. A host that knows of no others has a view.
//
// The age is that of the sum with the usual delay at its relays, or the median of the hosts' digests, but at most the
// interval in which they send changes.
func (g *Gossip) View(now time.Time) (age time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, live, known := g.seen(now)
	return age, isView(live, known)
}

// isView reports whether the loads of the live hosts are a view of all known ones. More than half of the hosts don't end
// together, but a failure domain that is cut off sees only its own.
func isView(live, known int) bool { return 2*live >= known }

// seen returns the age of the loads of the other hosts, how many have recent ones, and how many are known; the caller holds
// the lock.
func (g *Gossip) seen(now time.Time) (age time.Duration, live, known int) {
	if !g.hasSingles {
		age, known = now.Sub(g.summedAt)+relayDelay, g.others.Known
		if now.Sub(g.summedAt) <= unresponsiveAfter {
			live = g.others.Hosts
		}
		return age, live, known
	}
	var ages []time.Duration
	for _, p := range g.peers {
		silent := now.Sub(p.reportedAt)
		isLive := silent <= unresponsiveAfter
		// A host that was listed and stays silent has ended before this one started.
		if isLive || !p.leaving && silent < forgetAfter || now.Sub(p.firstSeen) < 2*unresponsiveAfter {
			known++
		}
		if isLive {
			ages = append(ages, silent)
		}
	}
	if len(ages) == 0 {
		if known > 0 {
			age = now.Sub(g.heardAt())
		}
		return age, 0, known
	}
	slices.Sort(ages)
	return min(ages[len(ages)/2], g.meshInterval()), len(ages), known
}

// heardAt returns when the last digest arrived, or when this host started; the caller holds the lock.
func (g *Gossip) heardAt() time.Time {
	at := g.startedAt
	for _, p := range g.peers {
		if p.reportedAt.After(at) {
			at = p.reportedAt
		}
	}
	return at
}

// checkView logs that the view of the other hosts is lost or regained. A host without a view places requests by its own loads.
func (g *Gossip) checkView(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, live, known := g.seen(now)
	ok := isView(live, known)
	if !g.view.isChecked {
		// The first view of a host counts as had since its start.
		g.view = view{isChecked: true, isOK: true, changedAt: g.startedAt}
	}
	if ok == g.view.isOK {
		return
	}
	text := "view of the other hosts lost"
	if ok {
		text = "view of the other hosts regained"
	}
	g.Log.Info(text, "live", live, "known", known, "age", age, "relayed", g.wasRelayed, "relay", g.followed.name, "after", now.Sub(g.view.changedAt))
	g.view = view{isChecked: true, isOK: ok, changedAt: now}
}
