package sched

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// progressPeriod is the time between two reports of one running request to its owner.
	progressPeriod = 5 * time.Second
	// progressCheckPeriod is the time between two searches for reports that are due.
	progressCheckPeriod = time.Second
	// grantExpiry is the time after which a grant without progress reports is abandoned.
	grantExpiry = 6 * progressPeriod
)

// progressQueue orders this host's running requests by the time of their last report.
type progressQueue struct {
	byReportTime []*runningRequest
	checked      time.Time
}

// add inserts a request that has just started first, so that the next check reports it with its actual prompt length.
func (p *progressQueue) add(a *runningRequest) { p.byReportTime = slices.Insert(p.byReportTime, 0, a) }

// Progress records the number of output tokens of a running request.
func (c *Core) Progress(id string, tokens int, _ time.Time) {
	if a := c.running[id]; a != nil {
		a.tokens = tokens
	}
}

// sendProgress reports to the owners the progress of the requests whose last report is progressPeriod old.
// A report also renews the grant: an owner abandons a grant without reports.
func (c *Core) sendProgress(now time.Time) {
	p := &c.progress
	if now.Sub(p.checked) < progressCheckPeriod {
		return
	}
	p.checked = now
	due := 0
	for due < len(p.byReportTime) && now.Sub(p.byReportTime[due].reportedAt) >= progressPeriod {
		due++
	}
	batch := slices.Clone(p.byReportTime[:due])
	p.byReportTime = slices.Delete(p.byReportTime, 0, due)
	batch = slices.DeleteFunc(batch, func(a *runningRequest) bool { return c.byGrant[a.grant] != a })
	for _, a := range batch {
		a.reportedAt = now
		p.byReportTime = append(p.byReportTime, a)
	}
	slices.SortStableFunc(batch, byBackend)
	for len(batch) > 0 {
		n := 1
		for n < len(batch) && byBackend(batch[0], batch[n]) == 0 {
			n++
		}
		c.sendReport(batch[:n], now)
		batch = batch[n:]
	}
}

func byBackend(a, b *runningRequest) int {
	if a.backend.Name != b.backend.Name {
		if a.backend.Name < b.backend.Name {
			return -1
		}
		return 1
	}
	if a.owner < b.owner {
		return -1
	}
	if a.owner > b.owner {
		return 1
	}
	return 0
}

// sendReport sends one owner the progress of requests on one backend server.
func (c *Core) sendReport(list []*runningRequest, now time.Time) {
	m := &peerpb.Progress{Backend: list[0].backend.Name}
	for _, a := range list {
		m.Ids = append(m.Ids, a.grant)
		m.Prompts = append(m.Prompts, uint32(a.request.PromptTokens))
		m.Tokens = append(m.Tokens, uint32(a.tokens))
	}
	if list[0].owner == c.Host {
		c.receiveProgress(m, now)
		return
	}
	c.send(list[0].owner, &peerpb.Message{Body: &peerpb.Message_Progress{Progress: m}})
}

// receiveProgress records the reported prompt and output lengths of grants.
func (c *Core) receiveProgress(m *peerpb.Progress, now time.Time) {
	b := c.backends[m.GetBackend()]
	if b == nil || len(m.GetIds()) != len(m.GetTokens()) || len(m.GetIds()) != len(m.GetPrompts()) {
		return
	}
	for i, id := range m.GetIds() {
		if g := b.owner.grants[id]; g != nil {
			g.reportedTokens, g.reportedAt = int(m.GetTokens()[i]), now
			g.prompt = int(m.GetPrompts()[i])
		}
	}
}

// expireGrant ends one grant without a report for grantExpiry, if any: its release or the grant itself was lost.
func (c *Core) expireGrant(b *backend, now time.Time) {
	for _, g := range b.owner.grantOrder {
		last := g.reportedAt
		if last.IsZero() {
			last = g.started
		}
		if now.Sub(last) > grantExpiry {
			c.endGrant(b, g.id, Outcome{Result: ResultCancelled, Tokens: g.reportedTokens}, now)
			return
		}
	}
}
