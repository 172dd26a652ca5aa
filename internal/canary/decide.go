package canary

import (
	"cmp"
	"fmt"
	"time"
)

// The steps of the share that the target gets.
const (
	stepTrial = iota
	stepQuarter
	stepHalf
	stepAll
)

// stepShares are the parts of the requests that the target gets once it has been shown to be good.
func stepShare(step int) float64 {
	switch step {
	case stepQuarter:
		return 0.25
	case stepHalf:
		return 0.5
	case stepAll:
		return 1
	default:
		return 0
	}
}

// The parts of an order's duration. Until the end of half of all requests, a version that turns out to be bad has got 0.08 of the
// requests of the duration, which is below a share of 0.1.
const (
	// trialEndPart is how long the trial lasts at least: a version may turn bad some seconds after its start.
	trialEndPart = 0.45
	// quarterPart, halfPart and allPart are how long the larger shares last at least; minStepTime is the least time.
	quarterPart = 0.14
	halfPart    = 0.03
	allPart     = 0.05
	minStepTime = time.Second
	// loadEndPart is when answers under load are no longer waited for with a small share, which may be too few requests to load a server.
	loadEndPart = 0.58
	// decidePart is when a version that has not been shown to be good is given up. The rest of the duration is for the larger shares, and
	// for a store that may be away for 8 s.
	decidePart = 0.72
	// forcePart is when the share grows although the target seems to have too few servers.
	forcePart = 0.8
	// writePart and maxWriteTime bound the time at the end that is left for the status: the old version's last requests, which may be long
	// streams, are not waited for any more.
	writePart    = 0.08
	maxWriteTime = 2500 * time.Millisecond
)

const (
	// sureProbability is the probability of a difference by chance below which a version is given up at any time. It is tested many times
	// on several routes, so it is far below the wanted share of good versions that are given up.
	sureProbability = 1e-6
	// doubtProbability is the same at the end of the trial, and for a version with many bad answers.
	doubtProbability = 3e-4
	// sureDeviation is the number of standard deviations over all routes that corresponds to sureProbability.
	sureDeviation = 5.0
	// doubtDeviation is the same for doubtProbability.
	doubtDeviation = 3.4
	// minBad is the least number of bad answers that a decision rests on, minDoubtBad that of a doubt, minPooledBad that over all routes.
	minBad       = 5
	minDoubtBad  = 3
	minPooledBad = 10
	// minRatio is the least ratio between the versions' rates of bad answers.
	minRatio = 1.5
	// minBadServers is the least number of servers with bad answers, since one server may be at fault, up to maxExcess bad answers more
	// than the old version would have given.
	minBadServers = 2
	maxExcess     = 30.0
	// slowEpisode is how long a server without a fault may be slow.
	slowEpisode = 600 * time.Millisecond
	// minReference is the number of the old version's answers from which a stratum is compared with its like.
	minReference = 30
	// minBreakSeconds is the number of seconds in which streams broke at the target. A request that crashes whatever runs it breaks many
	// streams at a time, at up to three servers until it is quarantined.
	minBreakSeconds = 6
)

const (
	// enoughAnswers is the number of answers of the target on a route that show it to be good there, and enoughPart the part of a rare
	// route's requests that is enough.
	enoughAnswers = 40
	enoughPart    = 0.04
	// enoughLoaded is the same under load, where at least loadedPart of the old version's answers were given under load.
	enoughLoaded = 30
	loadedPart   = 0.05
)

// View is what a host knows of an order when it decides.
type View struct {
	Age, Duration time.Duration
	// Total is the evidence since the order, Recent that of the last seconds.
	Total, Recent Evidence
	// RecentTime is the span of Recent.
	RecentTime time.Duration
	// OldServers and NewServers are the numbers of servers that share the requests of each version.
	OldServers, NewServers int
	// OldBreakSeconds and NewBreakSeconds count the seconds in which requests broke at each version.
	OldBreakSeconds, NewBreakSeconds int
	// Step is the step in force, StepAge the time since it began.
	Step    int
	StepAge time.Duration
	// OldRuns is the number of requests at servers of the old version, HasCapacity whether the target's servers can take all.
	OldRuns     int
	HasCapacity bool
}

// Decision is the next step and, unless it is Unset, the order's final state. Reason holds the evidence in words.
type Decision struct {
	Step    int
	Verdict State
	Reason  string
}

// Decide decides whether a version gets a larger share, replaces the old one or is given up. It addresses new versions of which a part
// of the answers are failures or slow, from the start or later, on one route or under load only, beside old versions that may fail as well.
func Decide(v View) Decision {
	d := Decision{Step: v.Step}
	if reason := findBad(v); reason != "" {
		d.Verdict, d.Reason = Reverted, reason
		return d
	}
	part := func(p float64) time.Duration { return time.Duration(p * float64(v.Duration)) }
	missing := findMissing(v)
	if v.Age < part(loadEndPart) || v.Step > stepTrial && v.Age < part(decidePart) {
		missing = cmp.Or(missing, findMissingLoad(v))
	}
	missing = cmp.Or(missing, findDoubt(v))
	atLeast := max(minStepTime, part(allPart))
	switch v.Step {
	case stepTrial:
		atLeast = part(trialEndPart) - v.Age + v.StepAge
	case stepQuarter:
		atLeast = max(minStepTime, part(quarterPart))
	case stepHalf:
		atLeast = max(minStepTime, part(halfPart))
	}
	switch isDue := v.StepAge >= atLeast; {
	case v.Step < stepAll && missing != "" && v.Age >= part(decidePart):
		d.Verdict, d.Reason = Reverted, "not shown to be good: "+missing
	case !isDue || v.Step < stepAll && missing != "":
	case v.Step == stepTrial:
		d.Step, d.Reason = stepQuarter, "shown to be good on all routes"
	case v.Step < stepAll && (v.HasCapacity || v.Age >= part(forcePart)):
		d.Step, d.Reason = v.Step+1, "good with the larger share"
	case v.Step == stepAll && (v.OldRuns == 0 || v.Age >= v.Duration-min(maxWriteTime, part(writePart))):
		d.Verdict, d.Reason = Completed, fmt.Sprintf("good with all requests, %d left at the old version", v.OldRuns)
	}
	return d
}

// findBad returns the evidence that a version is bad; empty if there is none.
func findBad(v View) string {
	if reason := v.findBad(v.Total, v.Age, sureTest); reason != "" {
		return reason + " since the order"
	}
	if reason := v.findBad(v.Recent, v.RecentTime, sureTest); reason != "" {
		return reason + " lately"
	}
	old, target := v.Total.version(false), v.Total.version(true)
	if v.NewBreakSeconds >= minBreakSeconds && isWorse(target.Breaks, target.Sent, old.Breaks, old.Sent) &&
		tailProbability(target.Breaks, target.Sent, old.Breaks, old.Sent) < sureProbability &&
		tailProbability(v.NewBreakSeconds, target.Sent, v.OldBreakSeconds, old.Sent) < sureProbability {
		return fmt.Sprintf("%d of %d requests broke in %d different seconds, %d of %d in %d at the old version",
			target.Breaks, target.Sent, v.NewBreakSeconds, old.Breaks, old.Sent, v.OldBreakSeconds)
	}
	return ""
}

// findDoubt returns a difference that may be chance, but is too large to give a version all requests; empty if there is none.
func findDoubt(v View) string { return v.findBad(v.Total, v.Age, doubtTest) }

// test is how sure a difference must be.
type test struct {
	probability, deviation float64
	minBad, minPooledBad   int
}

//nolint:gochecknoglobals // constants in all but name
var (
	sureTest  = test{sureProbability, sureDeviation, minBad, minPooledBad}
	doubtTest = test{doubtProbability, doubtDeviation, minDoubtBad, minDoubtBad}
)

func isWorse(bad, total, oldBad, oldTotal int) bool {
	return float64(bad)*float64(max(1, oldTotal)) > minRatio*float64(oldBad)*float64(max(1, total))
}

// findBad compares failures and slow answers of the target with those of the old version on the same route and, where the old version
// has enough answers there, under the same load. The evidence is that of a span of time.
func (v View) findBad(e Evidence, span time.Duration, t test) string {
	return cmp.Or(e.findDifference("failed", t, func(k Stratum, c Counts) (bad, total int) { return c.Failures, c.Answers }),
		e.findDifference("were slow", t, func(k Stratum, c Counts) (bad, total int) {
			servers := v.OldServers
			if k.IsNew {
				servers = v.NewServers
			}
			return spread(c.Slow, c.Timed, servers, span)
		}))
}

// spread returns the counts of slow answers that count as independent: servers are slow for a moment, so that the answers of one server
// within slowEpisode count as one.
func spread(slow, timed, servers int, span time.Duration) (bad, total int) {
	episodes := max(1, float64(max(1, servers))*float64(span)/float64(slowEpisode))
	if float64(timed) <= episodes {
		return slow, timed
	}
	return int(float64(slow) * episodes / float64(timed)), int(episodes)
}

// findDifference returns how the target is worse by one kind of bad answers; empty if it is not.
func (e Evidence) findDifference(name string, t test, count func(Stratum, Counts) (bad, total int)) string {
	var all pooled
	var bad, total, oldBad, oldTotal int
	for k, c := range e.Strata {
		if !k.IsNew {
			continue
		}
		b, n := count(k, c)
		oldB, oldN := count(Stratum{}, e.reference(k))
		all.add(b, n, oldB, oldN)
		bad, total, oldBad, oldTotal = bad+b, total+n, oldBad+oldB, oldTotal+oldN
		excess := float64(b) - float64(oldB)*float64(n)/float64(max(1, oldN))
		limit := t.probability
		if excess >= maxExcess {
			limit = doubtProbability
		}
		if b >= t.minBad && oldN > 0 && isWorse(b, n, oldB, oldN) && tailProbability(b, n, oldB, oldN) < limit && e.isSpread(excess) {
			return fmt.Sprintf("%d of %d answers %s on route %08x, %d of %d of the old version", b, n, name, k.Route, oldB, oldN)
		}
	}
	if bad >= t.minPooledBad && isWorse(bad, total, oldBad, oldTotal) && all.deviation() >= t.deviation && e.isSpread(all.observed-all.expected) {
		return fmt.Sprintf("%d of %d answers %s, %d of %d of the old version", bad, total, name, oldBad, oldTotal)
	}
	return ""
}

// isSpread reports whether bad answers are not the fault of a single server, or too many to wait for others.
func (e Evidence) isSpread(excess float64) bool {
	return e.badServers() >= minBadServers || excess >= maxExcess
}

// reference returns the old version's counts that a stratum of the target is compared with.
func (e Evidence) reference(k Stratum) Counts {
	k.IsNew = false
	old := e.Strata[k]
	if old.Answers >= minReference {
		return old
	}
	k.IsLoaded = !k.IsLoaded
	old.add(e.Strata[k])
	return old
}

// findMissing returns what has not been seen of the target yet; empty if enough has been.
func findMissing(v View) string {
	for route, c := range v.Total.routes() {
		old, target := c[0], c[1]
		need := min(enoughAnswers, max(1, int(enoughPart*float64(old.Answers+target.Answers))))
		if target.Answers < need {
			return fmt.Sprintf("%d of %d answers needed on route %08x", target.Answers, need, route)
		}
	}
	if v.Total.version(true).Answers == 0 {
		return "no answers"
	}
	return ""
}

// findMissingLoad returns what has not been seen of the target under load, as far as the old version's servers are loaded.
func findMissingLoad(v View) string {
	var loaded [2]int
	answers := 0
	for k, c := range v.Total.Strata {
		switch {
		case k.IsNew && k.IsLoaded:
			loaded[1] += c.Answers
		case k.IsLoaded:
			loaded[0] += c.Answers
		}
		if !k.IsNew {
			answers += c.Answers
		}
	}
	if need := min(enoughLoaded, int(enoughPart*float64(answers))); float64(loaded[0]) >= loadedPart*float64(answers) && loaded[1] < need {
		return fmt.Sprintf("%d of %d answers needed under load", loaded[1], need)
	}
	return ""
}
