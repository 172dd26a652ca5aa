package canary

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// recentTime is the span of the evidence that counts as recent, so that a version that turns bad is not judged by its good time.
	recentTime = 5 * time.Second
	// snapshotInterval is the interval of the states that recent evidence is computed from.
	snapshotInterval = time.Second
	// isolationTime is the time without news from the store and from other hosts after which a host sends nothing to a target: others may
	// have given it up. Hosts send digests each second.
	isolationTime = 3 * time.Second
)

// Rollout is one order as one host sees it. It is plain code: it takes the time as an argument and is not safe for concurrent use.
type Rollout struct {
	Config Config
	// Host, Domain and Incarnation identify this host's lifetime.
	Host, Domain string
	Incarnation  int64

	order Order
	// base are the versions that served before the order; nil until they are known.
	base  []string
	began time.Time
	own   Evidence
	ledger
	snapshots []snapshot
	// total is the evidence of all hosts as of the last Tick, ownAt that of this host at that time.
	total, ownAt Evidence
	// sentBefore is the number of requests sent to the target by all hosts as of the last Tick, sentSince that by this host since.
	sentBefore, sentSince int
	shares                map[uint32]float64
	otherShare            float64
	step                  int
	stepAt                time.Time
	// decided is the final state that this host has decided on, heard the one that others have reported. Only a state that the store
	// has confirmed is reported as Completed.
	decided, heard State
	reason         string
	// isWithdrawn is set once the order has disappeared before its end.
	isWithdrawn bool
	breaks      [2]breakCount
	// storeAt and heardAt are when the store last confirmed the order and when another host last reported.
	storeAt, heardAt time.Time
}

// snapshot is the evidence of all hosts at a time.
type snapshot struct {
	at time.Time
	Evidence
}

// breakCount counts the seconds in which requests broke.
type breakCount struct {
	seen, seconds int
	last          time.Time
}

func (b *breakCount) update(breaks int, now time.Time) {
	if breaks > b.seen && now.Sub(b.last) >= time.Second {
		b.seconds++
		b.last = now
	}
	b.seen = max(b.seen, breaks)
}

// Group is a set of versions that a request may be sent to.
type Group int

// The groups of versions.
const (
	// Old are the versions that served before the order.
	Old Group = iota
	// New is the order's target.
	New
)

// NewRollout returns the state of an order that a host has just learned of.
func NewRollout(c Config, host, domain string, incarnation int64, o Order, now time.Time) *Rollout {
	return &Rollout{Config: c, Host: host, Domain: domain, Incarnation: incarnation, order: o, began: now, stepAt: now, storeAt: now}
}

// State returns the state of the order: the store's if that is final, otherwise what this host has heard or decided. A version that
// has been given up is out of use before the store knows.
func (r *Rollout) State() State {
	switch {
	case r.order.State().IsFinal():
		return r.order.State()
	case r.heard == Completed:
		return Completed
	case r.heard == Reverted || r.decided == Reverted:
		return Reverted
	default:
		return InProgress
	}
}

// Wanted returns the state that is to be written to the store; Unset for none.
func (r *Rollout) Wanted() State {
	switch {
	case r.isWithdrawn || r.order.State().IsFinal() || r.order.Revision == 0:
		return Unset
	case r.State().IsFinal():
		return r.State()
	case r.decided != Unset:
		return r.decided
	case r.order.State() == Unset:
		// The operator sees that the order is followed.
		return InProgress
	default:
		return Unset
	}
}

// Update takes the order as the store has it.
func (r *Rollout) Update(o Order, now time.Time) {
	if o.Revision >= r.order.Revision {
		r.order = o
	}
	r.storeAt = now
}

// Confirm records that the store has confirmed the order as known.
func (r *Rollout) Confirm(now time.Time) { r.storeAt = now }

// Withdraw records that the order has disappeared. Before its end, the target gets nothing any more.
func (r *Rollout) Withdraw() { r.isWithdrawn = true }

// SetBase sets the versions that served before the order unless they are known.
func (r *Rollout) SetBase(versions []string) {
	if r.base == nil && len(versions) > 0 {
		r.base = slices.Clone(versions)
	}
}

// isIsolated reports whether the host may have missed that the target has been given up.
func (r *Rollout) isIsolated(now time.Time) bool {
	return !r.heardAt.IsZero() && now.Sub(r.heardAt) > isolationTime && now.Sub(r.storeAt) > isolationTime
}

// Assign returns the group of versions that runs a request. isRepeat says that the target has received the request before: it is
// repeated at the old version.
func (r *Rollout) Assign(request, route string, isRepeat bool, now time.Time) Group {
	switch r.State() {
	case Completed:
		return New
	case Reverted:
		return Old
	}
	if r.isWithdrawn || r.isIsolated(now) || isRepeat && r.step < stepAll {
		return Old
	}
	at := position(r.order.Name+"\n"+r.order.Target, request)
	if r.step > stepTrial {
		if at < stepShare(r.step) {
			return New
		}
		return Old
	}
	share, found := r.shares[RouteHash(route)]
	if !found {
		share = r.trialShare()
	}
	if at < share && r.mayTry() {
		return New
	}
	return Old
}

func (r *Rollout) trialShare() float64 {
	if r.otherShare > 0 {
		return r.otherShare
	}
	return trialPart * r.Config.Share
}

// mayTry reports whether the trial may take one more request by the counts of all hosts, with those that this host has added since
// the last Tick.
func (r *Rollout) mayTry() bool {
	arrivals := r.total.Arrivals + r.own.Arrivals - r.ownAt.Arrivals
	return mayTry(r.Config, arrivals, r.sentBefore+r.sentSince)
}

// Arrived counts a request that reached the service.
func (r *Rollout) Arrived() { r.own.Arrivals++ }

// Count adds outcomes to a stratum of this host; a bad one is the fault of the server with the given hash.
func (r *Rollout) Count(k Stratum, c Counts, server uint64) {
	sum := r.own.stratum(k)
	sum.add(c)
	r.own.Strata[k] = sum
	if k.IsNew {
		r.sentSince += c.Sent
	}
	if k.IsNew && c.Failures+c.Slow+c.Breaks > 0 {
		r.own.BadServers |= 1 << (server % 64)
	}
}

// Report returns what is sent to other hosts: this host's evidence and, with isRelay, the sums over failure domains.
func (r *Rollout) Report(isRelay bool, now time.Time) Report {
	report := Report{
		Name: r.order.Name, Service: r.order.Service, Target: r.order.Target, DurationMS: r.order.Duration.Milliseconds(),
		Base: r.base, AgeMS: now.Sub(r.began).Milliseconds(), Step: r.step,
	}
	if state := r.State(); state.IsFinal() {
		report.Verdict = state
	}
	report.Sources = []Source{r.own.source(r.Domain, r.Host, r.Incarnation)}
	if !isRelay {
		return report
	}
	// The other relays of the failure domain learn this host's own evidence from its report only.
	r.raise(r.ownKey(), r.own)
	for domain, e := range r.domains() {
		report.Sources = append(report.Sources, e.source(domain, "", 0))
	}
	slices.SortFunc(report.Sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(b.Host, a.Host), cmp.Compare(a.Domain, b.Domain))
	})
	return report
}

func (r *Rollout) ownKey() sourceKey {
	return sourceKey{domain: r.Domain, host: r.Host, incarnation: r.Incarnation}
}

// Merge adds another host's report.
func (r *Rollout) Merge(report Report, now time.Time) {
	r.heardAt = now
	if began := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); began.Before(r.began) && report.AgeMS >= 0 {
		r.began = began
	}
	r.SetBase(report.Base)
	if r.heard != Completed && report.Verdict.IsFinal() {
		r.heard = report.Verdict
	}
	if report.Step > r.step && report.Step <= stepAll {
		r.step, r.stepAt = report.Step, now
	}
	for _, s := range report.Sources {
		k := sourceKey{domain: s.Domain, host: s.Host, incarnation: s.Incarnation}
		if k != r.ownKey() {
			r.raise(k, s.evidence())
		}
	}
}

// Inputs are the facts beside the evidence that a decision rests on.
type Inputs struct {
	// OldServers and NewServers are the numbers of servers that share the requests of each version.
	OldServers, NewServers int
	// OldRuns is the number of requests at servers of the old versions.
	OldRuns int
	// HasCapacity reports whether the target's servers can take all requests.
	HasCapacity bool
}

// Tick sums up the evidence and decides; it returns a decision with a reason if something has changed.
func (r *Rollout) Tick(in Inputs, now time.Time) (Decision, bool) {
	r.sum(now)
	if r.State().IsFinal() || r.isWithdrawn {
		return Decision{}, false
	}
	d := Decide(r.view(in, now))
	switch {
	case d.Verdict != Unset && d.Verdict != r.decided:
		r.decided, r.reason = d.Verdict, d.Reason
		return d, true
	case d.Step != r.step:
		r.step, r.stepAt, r.reason = d.Step, now, d.Reason
		return d, true
	default:
		return d, false
	}
}

func (r *Rollout) sum(now time.Time) {
	r.raise(r.ownKey(), r.own)
	r.total, r.ownAt = r.ledger.total(), r.own.clone()
	r.sentBefore, r.sentSince = r.total.version(true).Sent, 0
	r.shares, r.otherShare = trialShares(r.Config.Share, r.total)
	for i, isNew := range []bool{false, true} {
		r.breaks[i].update(r.total.version(isNew).Breaks, now)
	}
	if n := len(r.snapshots); n == 0 || now.Sub(r.snapshots[n-1].at) >= snapshotInterval {
		r.snapshots = append(r.snapshots, snapshot{at: now, Evidence: r.total})
	}
	for len(r.snapshots) > 1 && now.Sub(r.snapshots[1].at) >= recentTime {
		r.snapshots = r.snapshots[1:]
	}
}

func (r *Rollout) view(in Inputs, now time.Time) View {
	return View{
		Age: now.Sub(r.began), Duration: r.order.Duration, Total: r.total,
		Recent: r.total.since(r.snapshots[0].Evidence), RecentTime: now.Sub(r.snapshots[0].at),
		OldServers: in.OldServers, NewServers: in.NewServers,
		OldBreakSeconds: r.breaks[0].seconds, NewBreakSeconds: r.breaks[1].seconds,
		Step: r.step, StepAge: now.Sub(r.stepAt), OldRuns: in.OldRuns, HasCapacity: in.HasCapacity,
	}
}

// Summary describes the evidence in words.
func (r *Rollout) Summary() string {
	old, target := r.total.version(false), r.total.version(true)
	return fmt.Sprintf("arrivals %d, target sent %d answers %d failures %d breaks %d slow %d/%d, old sent %d answers %d failures %d breaks %d slow %d/%d",
		r.total.Arrivals, target.Sent, target.Answers, target.Failures, target.Breaks, target.Slow, target.Timed,
		old.Sent, old.Answers, old.Failures, old.Breaks, old.Slow, old.Timed)
}
