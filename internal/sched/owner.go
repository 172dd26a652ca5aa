package sched

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/admit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/growth"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// overflowQuantile is the quantile, in standard deviations, of the memory forecast that must fit.
	overflowQuantile = 2.2
	// claimExpiry is the time after which a claim that was not renewed is dropped.
	claimExpiry   = 3 * claimRefresh
	grantValidity = time.Second
	// maxPromisedTokens bounds the tokens of a running output that a row is charged for in advance.
	maxPromisedTokens = 128
)

// claim is a claim for a start on an owned backend server; entry is the host that made it.
type claim struct {
	id      string
	entry   string
	account *admit.Account
	key     board.RowKey
	prompt  int
	limit   int
	arrived time.Time
	renewed time.Time
}

// claimQueue is the queue of one row at one backend server, oldest first.
type claimQueue struct {
	account *admit.Account
	key     board.RowKey
	claims  []*claim
	running int
	// memory is the expected memory in tokens that the row's running sequences hold.
	memory float64
}

// grant is a start that this host has granted and that has not ended.
type grant struct {
	*claim
	queue   *claimQueue
	curve   *growth.Curve
	started time.Time
	// tokens is the estimated length of the output so far; reportedTokens is its length in the entry's last report.
	tokens         int
	reportedTokens int
	reportedAt     time.Time
	// exposed is the length up to which the output was added to the curves as exposure.
	exposed int
	// charged is the number of tokens that the row was charged for the start.
	charged float64
	// promised is the part of charged that is not yet generated.
	promised float64
}

func (g *grant) sequence() growth.Sequence {
	return growth.Sequence{Curve: g.curve, Prompt: g.prompt, Tokens: g.tokens, Limit: g.limit}
}

// ownerState is the state of a backend server at the host that grants its starts.
type ownerState struct {
	queues     []*claimQueue
	byID       map[string]*claim
	grants     map[string]*grant
	grantOrder []*grant
	waiting    int
	forecast   growth.Forecast
	estimate   engineEstimate
}

func (o *ownerState) init() {
	o.byID = make(map[string]*claim)
	o.grants = make(map[string]*grant)
}

func (o *ownerState) queue(account *admit.Account, key board.RowKey) *claimQueue {
	for _, q := range o.queues {
		if q.key == key {
			q.account = account
			return q
		}
	}
	q := &claimQueue{account: account, key: key}
	o.queues = append(o.queues, q)
	return q
}

func (c *Core) receiveClaim(from string, m *peerpb.Claim, now time.Time) {
	b := c.backends[m.GetBackend()]
	switch {
	case b == nil:
		return
	case m.GetWithdraw():
		c.handleWithdrawal(b, m.GetId(), now)
		return
	}
	key := board.RowKey{Workspace: m.GetWorkspace(), Service: m.GetService()}
	c.enqueue(b, claim{
		id: m.GetId(), entry: from, account: c.ledger.Account(key), key: key,
		prompt: int(m.GetPromptTokens()), limit: int(m.GetMaxTokens()),
		arrived: now.Add(-time.Duration(m.GetWaitedMs()) * time.Millisecond),
	}, now)
}

// enqueue queues a claim, or renews it. For a claim granted less than grantValidity ago, the grant is resent; an older
// one is not, since the lent capacity that it was granted from may belong to another host by now.
func (c *Core) enqueue(b *backend, k claim, now time.Time) {
	o := &b.owner
	if existing := o.byID[k.id]; existing != nil {
		existing.renewed = now
		existing.arrived, existing.prompt, existing.limit = k.arrived, k.prompt, k.limit
		q := o.queue(k.account, k.key)
		slices.SortStableFunc(q.claims, func(a, b *claim) int { return a.arrived.Compare(b.arrived) })
		return
	}
	if g := o.grants[k.id]; g != nil {
		if now.Sub(g.started) < grantValidity {
			c.sendGrant(b, g.claim, now)
		}
		return
	}
	k.renewed = now
	one := &k
	q := o.queue(k.account, k.key)
	at, _ := slices.BinarySearchFunc(q.claims, one, func(a, b *claim) int { return a.arrived.Compare(b.arrived) })
	q.claims = slices.Insert(q.claims, at, one)
	o.byID[k.id] = one
	o.waiting++
	if k.account != nil {
		if !k.account.IsWaiting() {
			k.account.RaiseCounter()
		}
		k.account.Waiting++
	}
	c.grantStarts(b, now)
}

// handleWithdrawal drops a claim, or ends a grant that its entry did not use.
func (c *Core) handleWithdrawal(b *backend, id string, now time.Time) {
	o := &b.owner
	if k := o.byID[id]; k != nil {
		c.dequeue(o, k)
		return
	}
	if o.grants[id] != nil {
		c.endGrant(b, id, Outcome{Result: ResultCancelled}, now)
	}
}

func (c *Core) dequeue(o *ownerState, k *claim) {
	delete(o.byID, k.id)
	q := o.queue(k.account, k.key)
	i := slices.Index(q.claims, k)
	q.claims = slices.Delete(q.claims, i, i+1)
	o.waiting--
	if k.account != nil {
		k.account.Waiting--
	}
}

// grantStarts grants starts on an owned backend server while it has capacity.
func (c *Core) grantStarts(b *backend, now time.Time) {
	o := &b.owner
	if o.waiting == 0 || c.takesNoNewRequests(b) || o.estimate.isHeld(now) {
		return
	}
	// A grant to this host itself may call grantStarts recursively, so Headroom is read again for each grant.
	for o.waiting > 0 && c.Capacity.Headroom(b.Name, now) > 0 {
		q := c.nextQueue(b, now)
		if q == nil || !c.fits(b, q) {
			return
		}
		c.grantClaim(b, q.claims[0], now)
	}
}

// nextQueue returns the queue to serve next, or nil: among the rows with the least service, within a small band, the
// one whose request has waited longest.
func (c *Core) nextQueue(b *backend, now time.Time) *claimQueue {
	var least *claimQueue
	hosts := c.hosts()
	for _, q := range b.owner.queues {
		if !q.canStart(now, hosts) {
			continue
		}
		if least == nil || q.virtualCounter() < least.virtualCounter() {
			least = q
		}
	}
	if least == nil || least.account == nil {
		return least
	}
	best, bound := least, least.virtualCounter()+least.account.CounterBand()
	for _, q := range b.owner.queues {
		if len(q.claims) > 0 && q.virtualCounter() < bound && q.claims[0].arrived.Before(best.claims[0].arrived) && q.canStart(now, hosts) {
			best = q
		}
	}
	return best
}

func (q *claimQueue) canStart(now time.Time, hosts int) bool {
	return len(q.claims) > 0 && (q.account == nil || q.account.CanStart(now, hosts))
}

// virtualCounter returns the virtual token counter of the queue's row; zero, so served first, for a row that was removed
// from the table.
func (q *claimQueue) virtualCounter() float64 {
	if q.account == nil {
		return 0
	}
	return q.account.VirtualCounter()
}

// fits reports whether slots and memory, without the reserved ones, suffice for the queue's first claim.
func (c *Core) fits(b *backend, q *claimQueue) bool {
	o := &b.owner
	slots, memory := o.reserved(c.ledger.Rows(b.Service), q, b)
	if len(o.grantOrder)+1 > b.MaxRunning-slots {
		return false
	}
	if b.MemoryTokens == 0 {
		return true
	}
	first := q.claims[0]
	s := growth.Sequence{Curve: c.lengthEstimate(first.key), Prompt: first.prompt, Limit: first.limit}
	return o.forecast.Fits(s, float64(b.MemoryTokens)-memory, o.estimate.memoryOffset, overflowQuantile)
}

// reserved returns the unused slots and memory tokens in the shares of other rows that do not lend.
func (o *ownerState) reserved(rows []*admit.Account, requester *claimQueue, b *backend) (slots int, memory float64) {
	for _, a := range rows {
		if a.Row.Lend || a == requester.account {
			continue
		}
		q := o.findQueue(a.Key)
		slots += max(0, int(a.Share*float64(b.MaxRunning))-q.running)
		memory += max(0, a.Share*float64(b.MemoryTokens)-q.memory)
	}
	return slots, memory
}

func (o *ownerState) findQueue(key board.RowKey) claimQueue {
	for _, q := range o.queues {
		if q.key == key {
			return *q
		}
	}
	return claimQueue{}
}

func (c *Core) grantClaim(b *backend, k *claim, now time.Time) {
	o := &b.owner
	c.dequeue(o, k)
	q := o.queue(k.account, k.key)
	g := &grant{claim: k, queue: q, curve: c.lengthEstimate(k.key), started: now}
	o.grants[k.id] = g
	o.grantOrder = append(o.grantOrder, g)
	q.running++
	b.SetGranted(len(o.grantOrder))
	if k.account != nil {
		k.account.RecordGrant(now)
		g.charge(now)
	}
	if b.MemoryTokens > 0 {
		o.forecast.Add(g.sequence())
		q.memory += float64(g.prompt)
	}
	c.Capacity.Started(b.Name, k.id, now)
	c.sendGrant(b, k, now)
}

// charge raises the row's charge for the grant to the prompt, the output so far and the expected rest of the output.
func (g *grant) charge(now time.Time) {
	remaining := g.curve.Remaining(g.tokens, min(g.limit, g.tokens+maxPromisedTokens))
	g.account.AddPromised(remaining - g.promised)
	g.promised = remaining
	total := float64(g.prompt+g.tokens) + remaining
	if more := total - g.charged; more > 0 {
		g.charged = total
		g.account.Charge(more, now)
	}
}

// sendGrant sends the grant of a claim to its entry.
func (c *Core) sendGrant(b *backend, k *claim, now time.Time) {
	if k.entry == c.Host {
		c.handleGrant(k.id, k.key, b.Name, c.Host, now)
		return
	}
	o := &b.owner
	c.send(k.entry, &peerpb.Message{Body: &peerpb.Message_Grant{Grant: &peerpb.Grant{
		Id: k.id, Backend: b.Name, Service: k.key.Service, Workspace: k.key.Workspace,
		Granted: true, ValidMs: uint32(grantValidity.Milliseconds()),
		Running: uint32(len(o.grantOrder)), Used: uint32(max(0, o.forecast.Used()+o.estimate.memoryOffset)),
	}}})
}

func (c *Core) receiveGrant(from string, m *peerpb.Grant, now time.Time) {
	if b := c.backends[m.GetBackend()]; b != nil {
		b.Hint(int(m.GetRunning()), int(m.GetUsed()), now)
	}
	if m.GetGranted() {
		key := board.RowKey{Workspace: m.GetWorkspace(), Service: m.GetService()}
		c.handleGrant(m.GetId(), key, m.GetBackend(), from, now)
	}
}

func (c *Core) receiveRelease(m *peerpb.Release, now time.Time) {
	b := c.backends[m.GetBackend()]
	if b == nil {
		return
	}
	o := Outcome{Result: ResultOK, Tokens: int(m.GetTokens())}
	if m.GetFailed() {
		o.Result = ResultFailed
	}
	c.endGrant(b, m.GetId(), o, now)
}

// endGrant removes a grant, corrects the row's charge and updates the estimates with the output's length.
func (c *Core) endGrant(b *backend, id string, out Outcome, now time.Time) {
	o := &b.owner
	g := o.grants[id]
	if g == nil {
		return
	}
	delete(o.grants, id)
	i := slices.Index(o.grantOrder, g)
	o.grantOrder = slices.Delete(o.grantOrder, i, i+1)
	b.SetGranted(len(o.grantOrder))
	g.queue.running--
	if b.MemoryTokens > 0 {
		o.forecast.Remove(g.sequence())
		g.queue.memory -= float64(g.prompt + g.tokens)
	}
	o.estimate.addEnded(g, out.Tokens, now)
	if g.account != nil {
		g.account.Running--
		g.account.AddPromised(-g.promised)
		g.account.Charge(float64(g.used(out))-g.charged, now)
	}
	g.recordLength(out)
	c.Capacity.Ended(b.Name, id, out, now)
	c.grantStarts(b, now)
}

// used returns the tokens that an ended grant has cost; one that was never used costs nothing.
func (g *grant) used(out Outcome) int {
	if out.Result == ResultCancelled && out.Tokens == 0 {
		return 0
	}
	return g.prompt + out.Tokens
}

// recordLength adds the length of an output to the estimates; one that was cut off counts as censored.
func (g *grant) recordLength(out Outcome) {
	for _, curve := range [...]*growth.Curve{g.curve, g.curve.Prior} {
		if out.Tokens > g.exposed {
			curve.AddExposure(g.exposed, out.Tokens)
		}
		if out.Result == ResultOK && out.Tokens < g.limit {
			curve.AddEnd(out.Tokens)
		}
	}
}

// dropClaimsOf drops the claims of a host that has left. Its grants stay until they expire: a host that is only
// partitioned may still run them.
func (c *Core) dropClaimsOf(b *backend, host string) {
	for _, k := range b.owner.byID {
		if k.entry == host {
			c.dequeue(&b.owner, k)
		}
	}
}
