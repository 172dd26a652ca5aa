package sched

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

const (
	defaultTokenGap = 30 * time.Millisecond
	// startDelay is the time from a grant to the first token on an engine with room.
	startDelay = 100 * time.Millisecond
	// smoothing is the weight of a new report in the moving averages.
	smoothing = 0.25
	// endedRetention is the time for which ended grants are kept, as a lagging load report may still include them.
	endedRetention = 5 * time.Second
	// maxHold bounds the time for which one report of waiting sequences blocks all starts.
	maxHold = 2 * time.Second
)

// engineEstimate holds estimates from an engine's load reports: how fast its sequences grow and by how much its memory
// differs from the forecast.
type engineEstimate struct {
	tokenGap time.Duration
	// memoryOffset is the used memory in tokens minus the memory that the grants account for.
	memoryOffset float64
	ended        []endedGrant
	// heldUntil is the time until which sequences that wait inside the engine block further starts.
	heldUntil time.Time
	// wasWaiting is true when the last report showed waiting sequences. A new sequence doesn't wait in two successive
	// reports, but a preempted one does; further starts ahead of it would keep it waiting indefinitely.
	wasWaiting bool
}

// endedGrant is a grant that has ended; a load report from before its end still includes it.
type endedGrant struct {
	started time.Time
	ended   time.Time
	// size is the memory in tokens at the end.
	size int
}

// tokensIn returns the number of tokens by which a sequence grows in a duration.
func (p *engineEstimate) tokensIn(d time.Duration) int {
	gap := p.tokenGap
	if gap == 0 {
		gap = defaultTokenGap
	}
	return max(0, int(d/gap))
}

// outputTokens estimates the output length of a grant at a time, from the last length that its entry reported.
func (p *engineEstimate) outputTokens(g *grant, at time.Time) int {
	if g.reportedAt.IsZero() {
		return p.tokensIn(at.Sub(g.started) - startDelay)
	}
	if at.Before(g.reportedAt) {
		return max(0, g.reportedTokens-p.tokensIn(g.reportedAt.Sub(at)))
	}
	return g.reportedTokens + p.tokensIn(at.Sub(g.reportedAt))
}

func (p *engineEstimate) addEnded(g *grant, tokens int, now time.Time) {
	p.ended = append(p.ended, endedGrant{started: g.started, ended: now, size: g.prompt + tokens})
}

func (p *engineEstimate) isHeld(now time.Time) bool { return now.Before(p.heldUntil) }

// addReport updates the estimates with a load report, which shows the engine's state at a time in the past.
func (o *ownerState) addReport(l engine.Load, now time.Time) {
	p := &o.estimate
	if l.TokenGap > 0 && l.Running > 0 {
		if p.tokenGap == 0 {
			p.tokenGap = l.TokenGap
		}
		p.tokenGap += time.Duration(smoothing * float64(l.TokenGap-p.tokenGap))
	}
	for len(p.ended) > 0 && now.Sub(p.ended[0].ended) > endedRetention {
		p.ended = p.ended[1:]
	}
	waitedBefore := p.wasWaiting
	p.wasWaiting = l.Waiting > 0
	if p.wasWaiting && (waitedBefore || o.hasUnexplainedWaiting(l)) {
		p.heldUntil = now.Add(maxHold)
		return
	}
	p.heldUntil = time.Time{}
	p.memoryOffset += smoothing * (float64(l.UsedTokens) - o.explainedMemory(l.At) - p.memoryOffset)
}

// hasUnexplainedWaiting reports whether more sequences wait inside the engine than were granted within startDelay.
func (o *ownerState) hasUnexplainedWaiting(l engine.Load) bool {
	recent := 0
	for _, g := range o.grantOrder {
		if l.At.Sub(g.started) < startDelay {
			recent++
		}
	}
	return l.Waiting > recent
}

// explainedMemory estimates the memory in tokens that the grants used at a time.
func (o *ownerState) explainedMemory(at time.Time) float64 {
	sum := 0
	for _, g := range o.grantOrder {
		if g.started.Before(at) {
			sum += g.prompt + min(g.tokens, o.estimate.outputTokens(g, at))
		}
	}
	for _, d := range o.estimate.ended {
		if d.started.Before(at) && d.ended.After(at) {
			sum += d.size - min(d.size, o.estimate.tokensIn(d.ended.Sub(at)))
		}
	}
	return float64(sum)
}

// refresh recomputes the estimated output lengths of the grants and the memory forecast.
func (o *ownerState) refresh(now time.Time) {
	if len(o.grantOrder) == 0 && len(o.byID) == 0 {
		return
	}
	o.expireClaims(now)
	o.forecast.Reset()
	for _, q := range o.queues {
		q.memory = 0
	}
	for _, g := range o.grantOrder {
		g.advance(min(o.estimate.outputTokens(g, now), max(g.reportedTokens, g.limit-1)))
		o.forecast.Add(g.sequence())
		g.queue.memory += float64(g.prompt + g.tokens)
		if g.account != nil {
			g.charge(now)
		}
	}
}

// advance sets the estimated output length and adds the growth not counted before to the curves as exposure.
func (g *grant) advance(tokens int) {
	g.tokens = tokens
	if tokens > g.exposed {
		g.curve.AddExposure(g.exposed, tokens)
		g.curve.Prior.AddExposure(g.exposed, tokens)
		g.exposed = tokens
	}
}

// expireClaims drops claims that their entry has not renewed, and the queues without waiting claims or running grants.
func (o *ownerState) expireClaims(now time.Time) {
	o.queues = slices.DeleteFunc(o.queues, func(q *claimQueue) bool { return len(q.claims) == 0 && q.running == 0 })
	for _, q := range o.queues {
		for i := len(q.claims) - 1; i >= 0; i-- {
			k := q.claims[i]
			if now.Sub(k.renewed) < claimExpiry {
				continue
			}
			delete(o.byID, k.id)
			q.claims = append(q.claims[:i], q.claims[i+1:]...)
			o.waiting--
			if k.account != nil {
				k.account.Waiting--
			}
		}
	}
}
