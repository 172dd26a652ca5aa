package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// assumedViewAge is the age of the other hosts' loads where none is known: that of digests sent at their usual period.
	assumedViewAge = 100 * time.Millisecond
	// minSpreadClaims is the number of unseen claims below which the server with the lowest cost is chosen.
	minSpreadClaims = 0.05
	// minTurnShare is the share of its turns that a server keeps whose requests all fail.
	minTurnShare = 0.05
	// sizeWeight is the weight of the newest request in the mean size of a service's requests.
	sizeWeight = 0.05
	// streamDomainCost prefers this host's failure domain for streams, whose prompts and answers cost much between failure domains.
	streamDomainCost = 100.0
	// heldCost is the cost of using all of an engine's memory, in proportion. It is above memoryUseCost because the choice is spread
	// over servers that differ by a prompt's prefill, beside which long runs would not count.
	heldCost = 2500.0
)

// size is the mean size of the requests of a service.
type size struct{ prompt, tokens float64 }

// learnSize records the size of a request that is placed.
func (p *Pool) learnSize(a Requirements) {
	if p.sizes == nil {
		p.sizes = make(map[string]size)
	}
	s, known := p.sizes[a.Service.Name]
	if !known {
		s = size{prompt: float64(a.Prompt), tokens: float64(a.Tokens)}
	}
	s.prompt += sizeWeight * (float64(a.Prompt) - s.prompt)
	s.tokens += sizeWeight * (float64(a.Tokens) - s.tokens)
	p.sizes[a.Service.Name] = s
}

// option is a backend server that a choice considers.
type option struct {
	*entry

	// cost is the expected delay there, and step what one more request of the usual size adds to it, in milliseconds.
	cost, step float64
}

// view is what this host knows of the other hosts' claims.
type view struct {
	age time.Duration
	// isMissing says that there is no recent view: the loads don't include those of the other hosts.
	isMissing bool
	// claims is the number of claims that a choice is spread over: spreadPerUnseen times those by other hosts that their loads
	// are expected not to include yet, since claims that are spread over as many places as there are of them still collide.
	claims float64
}

// viewOf returns the age of the other hosts' loads and the claims that are expected since.
func (p *Pool) viewOf(service string) view {
	v := view{age: assumedViewAge}
	if p.View != nil {
		age, ok := p.View()
		if !ok {
			return view{isMissing: true}
		}
		v.age = age
	}
	if p.OtherStarts != nil {
		v.claims = spreadPerUnseen * p.OtherStarts(service) * v.age.Seconds()
	}
	return v
}

// Basis is what a choice of a backend server was based on.
type Basis struct {
	// ViewAge is the age of the other hosts' loads.
	ViewAge time.Duration
	// IsBlind says that there was no recent view of the other hosts' loads.
	IsBlind bool
	// Considered is the number of backend servers that the choice was spread over.
	Considered int
}

// Placements are figures of the choices by even load.
type Placements struct {
	// Last is what the last choice was based on.
	Last Basis
	// WithoutView is the number of choices without a view of the other hosts' loads.
	WithoutView int
}

// Placements returns figures of the choices so far.
func (p *Pool) Placements() Placements {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placements
}

// evenest returns the same as cheapest, chosen such that the load is even.
func (p *Pool) evenest(a Requirements, now time.Time) (best, fitting *entry, wait time.Duration, basis Basis) {
	v, s := p.viewOf(a.Service.Name), p.sizes[a.Service.Name]
	if s == (size{}) {
		s = size{prompt: float64(a.Prompt), tokens: float64(a.Tokens)}
	}
	basis.ViewAge, basis.IsBlind = v.age, v.isMissing
	lowest := math.Inf(1)
	options := make([]option, 0, len(p.order))
	trends := p.trends(a.Service, v, now)
	for _, e := range p.order {
		ready, w := p.isReady(e, a, now)
		if w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
		if !ready {
			continue
		}
		o := p.option(e, a, s, v, now)
		o.cost += trends[e.Domain]
		if c := o.cost + p.distance(e, a); c < lowest {
			best, lowest = e, c
		}
		if !e.isSuspect(now) && p.isWithinLimits(e, a) {
			options = append(options, o)
		}
	}
	if len(options) > 0 {
		p.learnSize(a)
		if v.isMissing {
			fitting, basis.Considered = p.pickWidely(options, now)
		} else {
			fitting, basis.Considered = p.pickEvenly(options, a, v.claims)
		}
	}
	if !a.hasLimits() && fitting != nil {
		best = fitting
	}
	if fitting != nil {
		p.placements.Last = basis
		if basis.IsBlind {
			p.placements.WithoutView++
		}
	}
	return best, fitting, wait, basis
}

// pickEvenly returns one of the options and the number of those that were considered.
//
// It addresses many hosts that choose at once from views that are tens to hundreds of milliseconds old, and would all choose the
// server that was the best in them. The claims of the other hosts since their reports are expected where they would lead to an
// even cost, and the host chooses among the servers with such claims, in proportion to them: a recent view leads to the best
// servers, an old one to all that are close in cost.
func (p *Pool) pickEvenly(options []option, a Requirements, claims float64) (*entry, int) {
	own, others := make([]option, 0, len(options)), make([]option, 0, len(options))
	for _, o := range options {
		if o.Domain == p.Domain {
			own = append(own, o)
		} else {
			others = append(others, o)
		}
	}
	byCost := func(one, other option) int { return cmp.Compare(one.cost, other.cost) }
	// Hosts of other failure domains fill their own servers first.
	ownClaims := claims * float64(len(own)) / float64(len(options))
	if len(own) == 0 {
		ownClaims = claims
	}
	slices.SortStableFunc(others, byCost)
	level := fill(others, claims-ownClaims)
	for i := range others {
		others[i].cost = max(others[i].cost, level) + p.distance(others[i].entry, a)
	}
	options = append(own, others...)
	slices.SortStableFunc(options, byCost)
	return p.pick(options, ownClaims)
}

// pickWidely returns one of the options and the number of those that were considered.
//
// It addresses hosts that lack the other hosts' loads, as after a start or while relays change: to them all servers look empty
// but for their own claims. All options of this host's region, or all if it has none, take turns from a random start, in proportion
// to their slots and less often while this host has runs there or has seen failures or slowness.
func (p *Pool) pickWidely(options []option, now time.Time) (*entry, int) {
	if near := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.Region != p.Region }); len(near) > 0 {
		options = near
	}
	var best *entry
	lowest, step := math.Inf(1), 0.0
	for _, o := range options {
		e := o.entry
		weight := max(minTurnShare, 1-e.failureRateAt(now)) * float64(max(1, e.Slots)) / (e.slowdown(now) * float64(1+e.local.Runs))
		if !e.hasTurn {
			e.turn, e.hasTurn = p.lastTurn+p.jitter()/weight, true
		}
		if turn := max(e.turn, p.lastTurn); turn < lowest {
			best, lowest, step = e, turn, 1/weight
		}
	}
	best.turn, p.lastTurn = lowest+step, lowest
	return best, len(options)
}

// distance returns the cost of a backend server that is not in this host's failure domain or region.
func (p *Pool) distance(e *entry, a Requirements) float64 {
	cost := 0.0
	if e.Region != p.Region {
		cost += regionCost
	}
	switch {
	case e.Domain == p.Domain:
	case a.Service.Engine != nil:
		cost += streamDomainCost
	default:
		cost += domainCost
	}
	return cost
}

// fill returns the cost that options sorted by cost have in common after a number of claims at the cheapest of them.
func fill(options []option, claims float64) float64 {
	if len(options) == 0 {
		return 0
	}
	// With n options filled to a level, the claims are the sum of (level-cost)/step over them.
	perCost, filled := 0.0, 0.0
	level := options[0].cost
	for i, o := range options {
		perCost += 1 / o.step
		filled += o.cost / o.step
		level = (claims + filled) / perCost
		if i+1 == len(options) || level <= options[i+1].cost {
			break
		}
	}
	return level
}

// pick chooses among options sorted by cost, each in proportion to the claims that lead to an even cost.
func (p *Pool) pick(options []option, claims float64) (*entry, int) {
	if claims < minSpreadClaims {
		return options[0].entry, 1
	}
	level := fill(options, claims)
	considered := 1
	for considered < len(options) && options[considered].cost < level {
		considered++
	}
	return p.draw(options[:considered], level, claims), considered
}

// draw returns one of the options with costs below a level, each in proportion to the claims that lead to the level.
func (p *Pool) draw(options []option, level, claims float64) *entry {
	at := p.jitter() * claims
	for _, o := range options {
		if at -= (level - o.cost) / o.step; at < 0 {
			return o.entry
		}
	}
	return options[0].entry
}

// option returns the costs of a backend server by the view's age.
func (p *Pool) option(e *entry, a Requirements, s size, v view, now time.Time) option {
	o := option{entry: e, cost: p.conditionCost(e, now)}
	l := e.load()
	engine := a.Service.Engine
	if engine == nil {
		o.step = queueCost / float64(max(1, e.Slots))
		o.cost += o.step * float64(l.Runs)
		return o
	}
	memory := float64(engine.MemoryTokens)
	slowdown := e.slowdown(now)
	perToken := slowdown / p.speed(a.Service.Name)
	// The prompts that other hosts reported go on being prefilled.
	pending := float64(e.local.PendingPromptTokens) + max(0, float64(e.remote.PendingPromptTokens)-milliseconds(v.age)/perToken)
	o.cost += pending*perToken + (slowdown-1)*(float64(a.Prompt)/p.speed(a.Service.Name)+slowRunCost) + runCost*float64(l.Runs) + heldCost*float64(l.Tokens)/memory
	if over := float64(l.Tokens+a.Tokens)/memory - preemptionThreshold; over > 0 {
		o.cost += overcommitCost * over
	}
	o.step = max(1, s.prompt*perToken+runCost+heldCost*s.tokens/memory)
	return o
}

// conditionCost returns the cost of a backend server's failures and of its being cold or suspect.
func (p *Pool) conditionCost(e *entry, now time.Time) float64 {
	c := e.failureRateAt(now) * failureCost
	if e.isCold(now) {
		c += coldCost
	}
	if e.isSuspect(now) {
		c += suspectCost
	}
	return c
}
