package sched

import (
	"slices"
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/route"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// firstClaims is the number of backend servers at which a lane claims a start for each new request, furtherClaims
	// the number added every claimPeriod, up to maxClaims. A single first claim is granted immediately unless the fleet
	// is crowded, and saves the messages for more claims and their withdrawal; crowdedClaims are made at once where
	// even the best backend server is crowded.
	firstClaims   = 1
	crowdedClaims = 3
	furtherClaims = 2
	maxClaims     = 12
	claimPeriod   = 20 * time.Millisecond
	// claimRefresh is the time after which a claim is resent, in case a message was lost.
	claimRefresh = 5 * time.Second
	// priorityClasses is the number of engine priorities within one priority of the table.
	priorityClasses = 4
)

// runningRequest is a started request at its entry, the host where it arrived.
type runningRequest struct {
	request Request
	// grant is the ID of the claim that was granted.
	grant   string
	backend *backend
	owner   string
	tokens  int
	// reportedAt is the time of the last progress report to the owner.
	reportedAt time.Time
}

// Submit queues a request; a start or a refusal follows in the actions of this call or a later one.
func (c *Core) Submit(r Request, now time.Time) {
	c.init()
	l := c.lane(board.RowKey{Workspace: r.Workspace, Service: r.Service})
	if refusal := c.checkAdmission(l, r, now); refusal != nil {
		c.refuse(r.ID, refusal)
		return
	}
	p := &pendingRequest{request: r, lane: l, arrived: now}
	l.queue = append(l.queue, p)
	c.waiting[r.ID] = p
	if !l.isActive {
		l.isActive = true
		c.activeLanes = append(c.activeLanes, l)
	}
	if len(l.claims) < firstClaims*len(l.queue) {
		c.addClaims(l, p, firstClaims, now)
	}
}

// checkAdmission returns the error with which a request is refused, or nil if it can be queued.
func (c *Core) checkAdmission(l *lane, r Request, now time.Time) *refuse.Error {
	if c.pools[r.Service].Size() == 0 {
		return unavailable("no backend server takes work", time.Second)
	}
	limit := config.DefaultMaxWaiting
	if l.account != nil && l.account.Row.MaxWaiting > 0 {
		limit = l.account.Row.MaxWaiting
	}
	wait := l.expectedWait(now)
	switch {
	case len(l.queue) >= limit:
		return overloaded("too many requests of the workspace wait", l.startInterval(now))
	case !r.Deadline.IsZero() && wait > r.Deadline.Sub(now):
		return overloaded("the request can't start in time", wait-r.Deadline.Sub(now))
	}
	return nil
}

func unavailable(reason string, retry time.Duration) *refuse.Error {
	return &refuse.Error{Code: refuse.CodeNoBackend, Message: reason, Run: refuse.NotRun, RetryAfter: retry}
}

func overloaded(reason string, retry time.Duration) *refuse.Error {
	retry = min(maxRetryAfter, max(minRetryAfter, retry))
	return &refuse.Error{Code: refuse.CodeOverloaded, Message: reason, Run: refuse.NotRun, RetryAfter: retry}
}

func (c *Core) refuse(id string, e *refuse.Error) {
	c.actions.Refusals = append(c.actions.Refusals, Refusal{ID: id, Error: e})
}

func (c *Core) lane(key board.RowKey) *lane {
	l := c.lanes[key]
	if l == nil {
		l = &lane{key: key, account: c.ledger.Account(key)}
		c.lanes[key] = l
		c.laneList = append(c.laneList, l)
	}
	return l
}

// updateLane expires the requests of a lane, renews its claims and adds further ones while requests wait.
func (c *Core) updateLane(l *lane, now time.Time) {
	for i := 0; i < len(l.queue); {
		p := l.queue[i]
		if p.request.Deadline.IsZero() || !now.After(p.request.Deadline) {
			i++
			continue
		}
		wait := l.expectedWait(now)
		c.removePending(p, now)
		c.refuse(p.request.ID, overloaded("the request did not start in time", wait))
	}
	for i := 0; i < len(l.claims); i++ {
		if now.Sub(l.claims[i].renewed) >= claimRefresh {
			c.renew(l, i, now)
		}
	}
	if len(l.queue) > 0 && !now.Before(l.nextClaims) {
		c.addClaims(l, l.queue[0], furtherClaims, now)
	}
}

// addClaims claims a start for the lane at up to n more backend servers, those that suit request p best.
func (c *Core) addClaims(l *lane, p *pendingRequest, n int, now time.Time) {
	l.nextClaims = now.Add(claimPeriod)
	n = min(n, maxClaims-len(l.claims))
	if n <= 0 {
		return
	}
	want := route.Criteria{
		Prefix:      p.request.PrefixHash,
		Exclude:     p.request.Exclude,
		Claimed:     l.claimed,
		LinkAllowed: c.link.allows(c.hosts(), now),
		Random:      c.random.Uint64(),
	}
	c.routeChoices = c.pools[l.key.Service].Choose(c.routeChoices[:0], crowdedClaims, want, now)
	if len(c.routeChoices) > 0 && c.routeChoices[0].IsCrowded() {
		n = min(crowdedClaims, maxClaims-len(l.claims))
	}
	var chosen [crowdedClaims]*route.Backend
	for _, b := range chosen[:min(n, copy(chosen[:], c.routeChoices))] {
		if len(l.queue) > 0 {
			c.claim(l, b, now)
		}
	}
}

// ownerOf returns the owner of a backend server; when none is reachable, it returns this host, which then grants from its
// own share of the capacity.
func (c *Core) ownerOf(name string) string {
	if host, ok := c.Capacity.Owner(name); ok {
		return host
	}
	return c.Host
}

// claim asks the owner of a backend server for a start on behalf of the lane's first request.
func (c *Core) claim(l *lane, b *route.Backend, now time.Time) {
	c.claimSerial++
	lc := laneClaim{id: c.Host + "/" + strconv.FormatUint(c.claimSerial, 36), owner: c.ownerOf(b.Name), renewed: now}
	l.claims = append(l.claims, lc)
	l.claimed = append(l.claimed, b)
	c.sendClaim(l, lc, b.Name, now)
}

func (c *Core) sendClaim(l *lane, lc laneClaim, name string, now time.Time) {
	first := l.queue[0]
	r := &first.request
	if lc.owner == c.Host {
		c.enqueue(c.backends[name], claim{
			id: lc.id, entry: c.Host, account: l.account, key: l.key,
			prompt: r.PromptTokens, limit: r.MaxTokens, arrived: first.arrived,
		}, now)
		return
	}
	c.send(lc.owner, &peerpb.Message{Body: &peerpb.Message_Claim{Claim: &peerpb.Claim{
		Id: lc.id, Backend: name, Service: l.key.Service, Workspace: l.key.Workspace,
		PromptTokens: uint32(r.PromptTokens), MaxTokens: uint32(r.MaxTokens),
		WaitedMs: uint32(now.Sub(first.arrived).Milliseconds()),
	}}})
}

// renew resends a claim; if the backend server's owner has changed, it replaces it by a new claim at the new owner.
func (c *Core) renew(l *lane, i int, now time.Time) {
	b := l.claimed[i]
	if c.ownerOf(b.Name) == l.claims[i].owner {
		l.claims[i].renewed = now
		c.sendClaim(l, l.claims[i], b.Name, now)
		return
	}
	c.removeClaim(l, i, now)
	if len(l.queue) > 0 && !slices.Contains(l.claimed, b) {
		c.claim(l, b, now)
	}
}

// dropIneligibleClaims drops the claims at backend servers that were removed, are draining or are out.
func (c *Core) dropIneligibleClaims(now time.Time) {
	for _, l := range c.laneList {
		for i := len(l.claims) - 1; i >= 0; i = min(i, len(l.claims)) - 1 {
			b := c.backends[l.claimed[i].Name]
			if b == nil || c.takesNoNewRequests(b) {
				c.removeClaim(l, i, now)
			}
		}
	}
}

// removeClaim removes one claim from a lane and withdraws it at its owner.
func (c *Core) removeClaim(l *lane, i int, now time.Time) {
	lc, name := l.claims[i], l.claimed[i].Name
	l.claims = slices.Delete(l.claims, i, i+1)
	l.claimed = slices.Delete(l.claimed, i, i+1)
	c.withdraw(lc.id, name, lc.owner, now)
}

func (c *Core) withdraw(id, name, owner string, now time.Time) {
	if owner == c.Host {
		if b := c.backends[name]; b != nil {
			c.handleWithdrawal(b, id, now)
		}
		return
	}
	c.send(owner, &peerpb.Message{Body: &peerpb.Message_Claim{Claim: &peerpb.Claim{Id: id, Backend: name, Withdraw: true}}})
}

// removePending removes a request from its lane; a lane without requests withdraws its claims.
func (c *Core) removePending(p *pendingRequest, now time.Time) {
	delete(c.waiting, p.request.ID)
	l := p.lane
	i := slices.Index(l.queue, p)
	l.queue = slices.Delete(l.queue, i, i+1)
	for len(l.queue) == 0 && len(l.claims) > 0 {
		c.removeClaim(l, len(l.claims)-1, now)
	}
}

// Cancel removes a waiting request whose caller has disconnected.
func (c *Core) Cancel(id string, now time.Time) {
	if p := c.waiting[id]; p != nil {
		c.removePending(p, now)
	}
}

// handleGrant starts the first request of the claim's lane that may run there, or gives the grant back if there is none.
func (c *Core) handleGrant(id string, key board.RowKey, name, owner string, now time.Time) {
	b := c.backends[name]
	l := c.lanes[key]
	if a := c.byGrant[id]; a != nil {
		return
	}
	if l == nil || b == nil {
		c.withdraw(id, name, owner, now)
		return
	}
	if i := slices.Index(l.claimed, &b.Backend); i >= 0 && l.claims[i].id == id {
		l.claims = slices.Delete(l.claims, i, i+1)
		l.claimed = slices.Delete(l.claimed, i, i+1)
	}
	p := l.firstAllowed(name)
	if p == nil || c.takesNoNewRequests(b) {
		c.withdraw(id, name, owner, now)
		return
	}
	c.start(p, b, id, owner, now)
	if len(l.queue) > 0 && !slices.Contains(l.claimed, &b.Backend) {
		c.claim(l, &b.Backend, now)
	}
}

func (c *Core) start(p *pendingRequest, b *backend, grant, owner string, now time.Time) {
	a := &runningRequest{request: p.request, grant: grant, backend: b, owner: owner}
	c.running[p.request.ID] = a
	c.byGrant[grant] = a
	c.progress.add(a)
	p.lane.recordStart(now)
	b.Start(p.request.PromptTokens)
	if b.Tier == route.TierLink {
		c.link.spend(p.request.PromptTokens, c.lengthEstimate(p.lane.key).Remaining(0, p.request.MaxTokens))
	}
	c.actions.Starts = append(c.actions.Starts, Start{ID: p.request.ID, Backend: b.Backend.Backend, Priority: c.priority(p)})
	c.removePending(p, now)
}

// priority returns the priority to pass to the engine: the row's, and within it one of a few classes at random.
// An engine preempts the lowest priority and, among equals, the latest arrival. With the classes, it preempts older
// sequences: each frees more memory, so fewer are preempted, and none is preempted again right away.
func (c *Core) priority(p *pendingRequest) int {
	if p.lane.account == nil {
		return 0
	}
	return p.lane.account.Row.Priority*priorityClasses + c.random.IntN(priorityClasses)
}

// Release records that a running request has ended and returns its grant to the owner.
func (c *Core) Release(id string, o Outcome, now time.Time) {
	a := c.running[id]
	if a == nil {
		return
	}
	delete(c.running, id)
	delete(c.byGrant, a.grant)
	a.backend.End(o.Result == ResultFailed, now)
	if a.owner == c.Host {
		c.endGrant(a.backend, a.grant, o, now)
		return
	}
	c.send(a.owner, &peerpb.Message{Body: &peerpb.Message_Release{Release: &peerpb.Release{
		Id: a.grant, Backend: a.backend.Name, Tokens: uint32(o.Tokens), Failed: o.Result == ResultFailed,
	}}})
}
