package grant

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/warm"
)

// maxDeliveryTime is the time within which a granted start reaches its backend server.
const maxDeliveryTime = 50 * time.Millisecond

// backend counts the starts on one backend server.
type backend struct {
	Backend
	slot       int
	partOffset uint64
	ramp       warm.Ramp
	// running holds the granted starts by request.
	running map[string]start
	// takenUnits marks the units that running starts use; takenByPart counts them by part.
	takenUnits  []bool
	takenByPart [parts]int
	// cleared holds for each part the since time of the share on which no other owner has running requests any more.
	cleared [parts]time.Time
	// maxOthers is an upper bound on the running starts of other owners on the parts that are not cleared.
	maxOthers int
	// lastReport is the time of the last load report; zero if there was none.
	lastReport     time.Time
	pendingReports []loadReport
	// reportedOthers is the upper bound on the starts of other owners at reportedOthersAt according to load reports.
	// It only decreases until a part is newly lent.
	reportedOthers   int
	reportedOthersAt time.Time
	// formerRunning is the upper bound on the starts of former owners at formerRunningAt, when the slot changed owner.
	formerRunning   int
	formerRunningAt time.Time
}

// start is one granted start; unit is -1 if no unit was free.
type start struct {
	unit int
	at   time.Time
}

// loadReport is a load report that is evaluated once the requests that had ended by its time are known.
type loadReport struct {
	at      time.Time
	running int
}

func newBackend(b Backend) *backend {
	return &backend{
		slot:       slotOf(b.Name),
		partOffset: partOffsetOf(b.Name),
		running:    make(map[string]start),
	}
}

// set applies the configuration of the backend server.
func (b *backend) set(row Backend) {
	if b.Out && !row.Out {
		b.ramp.Reset()
	}
	b.Backend = row
	b.ramp.ColdLimit = row.Cold
	b.ramp.WarmLimit = row.Max
}

func (b *backend) isTaken(unit int) bool { return unit < len(b.takenUnits) && b.takenUnits[unit] }

// freeIn returns the number of units of a part below a limit that no running start uses.
func (b *backend) freeIn(part, limit int) int {
	first := (part - int(b.partOffset) + parts) % parts
	units := (limit - first + parts - 1) / parts
	return max(0, units-b.takenByPart[part])
}

func (b *backend) start(request string, unit int, now time.Time) {
	if _, exists := b.running[request]; exists {
		return
	}
	b.running[request] = start{unit: unit, at: now}
	if unit < 0 {
		return
	}
	for len(b.takenUnits) <= unit {
		b.takenUnits = append(b.takenUnits, false)
	}
	b.takenUnits[unit] = true
	b.takenByPart[partOf(b.partOffset, unit)]++
}

func (b *backend) end(request string) {
	s, ok := b.running[request]
	if !ok {
		return
	}
	delete(b.running, request)
	if s.unit < 0 {
		return
	}
	b.takenUnits[s.unit] = false
	b.takenByPart[partOf(b.partOffset, s.unit)]--
}

// latestReportTime returns the latest time at which a load report that arrives now can have been made. One that shows fewer
// requests than this ledger has running was made before the first start that it lacks reached the backend server. The
// clocks of backend servers don't count, since a wrong one would make fresh reports look old.
func (b *backend) latestReportTime(l engine.Load, now time.Time) time.Time {
	shown := l.Running + l.Waiting
	if shown >= len(b.running) {
		return now
	}
	starts := make([]time.Time, 0, len(b.running))
	for _, s := range b.running {
		starts = append(starts, s.at)
	}
	slices.SortFunc(starts, time.Time.Compare)
	if madeBy := starts[shown].Add(maxDeliveryTime); madeBy.Before(now) {
		return madeBy
	}
	return now
}

// unknownFormerRunning is the formerRunning of a backend server if no load report or former owner's report bounds it.
const unknownFormerRunning = 1 << 20

// stillRunning returns the number of starts of this ledger and of former owners that may still run.
func (b *backend) stillRunning(now time.Time, unreportedFor time.Duration) int {
	if b.lastReport.IsZero() && now.Sub(b.formerRunningAt) >= unreportedFor {
		b.formerRunning = 0
	}
	return len(b.running) + b.formerRunning
}

// recordFormerRunning records the starts of former owners that may still run when the slot changes owner.
func (l *Ledger) recordFormerRunning(b *backend, now time.Time) {
	bound, held := 0, false
	for p := range parts {
		h := &l.shares[b.slot][p]
		if h.until.IsZero() {
			continue
		}
		held = true
		switch {
		case b.cleared[p].Equal(h.since):
		case now.Before(h.until) && l.isBounded(b, p, now):
			bound = max(bound, b.maxOthers)
		default:
			bound = unknownFormerRunning
		}
	}
	if held {
		b.formerRunning = bound
		b.formerRunningAt = now
	}
}

// updateBounds recomputes the upper bound on what other owners run on a backend server, and clears the parts on which
// they can't run anything.
func (l *Ledger) updateBounds(b *backend, now time.Time) {
	l.applyPendingReports(b, now)
	var uncleared []int
	formerCounts := make(map[ownerProcess]int)
	withoutFormerReport, withoutLoadReport := false, false
	for p := range parts {
		h := &l.shares[b.slot][p]
		if !now.Before(h.until) || b.cleared[p].Equal(h.since) || !l.isBounded(b, p, now) {
			continue
		}
		uncleared = append(uncleared, p)
		s, ok := l.formerReportFor(b.slot, h)
		if ok {
			formerCounts[s.from] = s.count[b.Name]
			if b.lastReport.IsZero() && now.Sub(s.at) >= l.duration(unreportedPeriods) {
				formerCounts[s.from] = 0
			}
		}
		withoutFormerReport = withoutFormerReport || !ok
		withoutLoadReport = withoutLoadReport || !l.hasLoadReport(b, h, now)
	}
	b.maxOthers = 0
	for _, n := range formerCounts {
		b.maxOthers += n
	}
	if withoutFormerReport {
		b.maxOthers += b.reportedOthers
	}
	if !withoutLoadReport {
		b.maxOthers = min(b.maxOthers, b.reportedOthers)
	}
	if b.maxOthers > 0 {
		return
	}
	for _, p := range uncleared {
		b.cleared[p] = l.shares[b.slot][p].since
	}
}

// applyPendingReports evaluates the load reports that are old enough: running requests beyond the starts that this
// ledger certainly had running count as starts of other owners.
func (l *Ledger) applyPendingReports(b *backend, now time.Time) {
	startLag := l.duration(startLagPeriods)
	newest := time.Time{}
	for p := range parts {
		if h := &l.shares[b.slot][p]; now.Before(h.until) && h.since.After(newest) && b.cleared[p] != h.since {
			newest = h.since
		}
	}
	for len(b.pendingReports) > 0 && now.Sub(b.pendingReports[0].at) >= l.duration(endLagPeriods) {
		r := b.pendingReports[0]
		b.pendingReports = b.pendingReports[1:]
		own := 0
		for _, s := range b.running {
			if r.at.Sub(s.at) >= startLag {
				own++
			}
		}
		others := max(0, r.running-own)
		since := newest.Add(startLag)
		if !b.reportedOthersAt.Before(since) && !r.at.Before(since) {
			others = min(others, b.reportedOthers)
		}
		b.reportedOthers = others
		b.reportedOthersAt = r.at
	}
}
