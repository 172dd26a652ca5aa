package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Ledger holds the accounts of all rows of the table. It is not safe for concurrent use.
type Ledger struct {
	accounts map[board.RowKey]*Account
	services map[string]*service
	// list holds the accounts by their index.
	list []*Account
	// sent is the last usage sent to each peer, by the account's index.
	sent    map[string][]peerUsage
	changes []change
}

// change is a row whose usage differs from what was last sent to a peer.
type change struct {
	account *Account
	usage   peerUsage
	weight  float64
}

// NewLedger returns a ledger without rows.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[board.RowKey]*Account), sent: make(map[string][]peerUsage)}
}

// Configure replaces the rows; the counters of rows that stay are kept.
func (l *Ledger) Configure(rows map[board.RowKey]config.Row) {
	l.services = make(map[string]*service)
	removed := 0
	for key, a := range l.accounts {
		if _, ok := rows[key]; !ok {
			delete(l.accounts, key)
			removed++
		}
		a.Share = 0
	}
	if removed > 0 {
		l.renumber()
	}
	for key, row := range rows {
		a := l.accounts[key]
		if a == nil {
			a = &Account{Key: key, peers: make(map[string]peerUsage), index: len(l.list)}
			l.accounts[key] = a
			l.list = append(l.list, a)
		}
		l.setRow(a, row)
	}
	for _, s := range l.services {
		slices.SortFunc(s.accounts, func(a, b *Account) int { return cmp.Compare(a.Key.Workspace, b.Key.Workspace) })
		for _, a := range s.accounts {
			a.Share = a.Row.Weight / s.weights
		}
	}
}

// renumber removes deleted rows from the list and assigns new indexes; the next digests carry all rows again.
func (l *Ledger) renumber() {
	l.list = slices.DeleteFunc(l.list, func(a *Account) bool { return l.accounts[a.Key] != a })
	for i, a := range l.list {
		a.index = i
	}
	clear(l.sent)
}

func (l *Ledger) setRow(a *Account, row config.Row) {
	s := l.services[row.Service]
	if s == nil {
		s = &service{}
		if a.service != nil {
			s.rate = a.service.rate
		}
		l.services[row.Service] = s
	}
	a.Row = row
	a.service = s
	s.accounts = append(s.accounts, a)
	s.weights += row.Weight
}

// Account returns the account of a row, or nil.
func (l *Ledger) Account(key board.RowKey) *Account { return l.accounts[key] }

// Rows returns the accounts of a service, sorted by workspace.
func (l *Ledger) Rows(name string) []*Account {
	if s := l.services[name]; s != nil {
		return s.accounts
	}
	return nil
}

// Merge adds the usage in another host's digest to the accounts; rows that are not in the table are skipped.
func (l *Ledger) Merge(from string, d *peerpb.UsageDigest, now time.Time) {
	for _, u := range d.GetUsages() {
		a := l.accounts[board.RowKey{Workspace: u.GetWorkspace(), Service: u.GetService()}]
		if a == nil {
			continue
		}
		next := peerUsage{tokens: u.GetTokens(), promised: int(u.GetPromised()), waiting: int(u.GetWaiting()), running: int(u.GetRunning())}
		last := a.peers[from]
		wasWaiting := a.IsWaiting()
		if !wasWaiting && next.waiting > 0 {
			a.RaiseCounter()
		}
		a.peers[from] = next
		a.peerPromised += next.promised - last.promised
		a.peerRunning += next.running - last.running
		a.peerWaiting += next.waiting - last.waiting
		a.addUsage(float64(int64(next.tokens-last.tokens)), now)
	}
}

// Forget drops the running and waiting requests of a host that has left; the tokens that it served stay counted.
func (l *Ledger) Forget(host string) {
	delete(l.sent, host)
	for _, a := range l.accounts {
		last := a.peers[host]
		a.peerPromised -= last.promised
		a.peerRunning -= last.running
		a.peerWaiting -= last.waiting
		delete(a.peers, host)
	}
}

// Digest returns the rows that changed since the last digest to a peer, largest change first, at most limit of them.
// It returns nil when nothing changed.
func (l *Ledger) Digest(to string, limit int) *peerpb.UsageDigest {
	lastSent := l.sent[to]
	if len(lastSent) < len(l.list) {
		lastSent = append(lastSent, make([]peerUsage, len(l.list)-len(lastSent))...)
		l.sent[to] = lastSent
	}
	l.changes = l.changes[:0]
	for i, a := range l.list {
		u := peerUsage{tokens: uint64(max(0, a.ownTokens)), promised: int(max(0, a.promised)), waiting: a.Waiting, running: a.Running}
		last := lastSent[i]
		if u != last {
			l.changes = append(l.changes, change{a, u, u.weight(last)})
		}
	}
	if len(l.changes) == 0 {
		return nil
	}
	slices.SortFunc(l.changes, byWeight)
	d := &peerpb.UsageDigest{}
	for _, c := range l.changes[:min(limit, len(l.changes))] {
		lastSent[c.account.index] = c.usage
		d.Usages = append(d.Usages, &peerpb.Usage{
			Service:   c.account.Key.Service,
			Workspace: c.account.Key.Workspace,
			Tokens:    c.usage.tokens,
			Waiting:   uint32(c.usage.waiting),
			Running:   uint32(c.usage.running),
			Promised:  uint32(c.usage.promised),
		})
	}
	return d
}

// weight returns the size of a change in tokens, +Inf for a row that became active or idle.
func (u peerUsage) weight(last peerUsage) float64 {
	if (u.waiting+u.running > 0) != (last.waiting+last.running > 0) {
		return math.Inf(1)
	}
	return math.Abs(float64(int64(u.tokens - last.tokens)))
}

func byWeight(a, b change) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	if c := cmp.Compare(a.account.Key.Service, b.account.Key.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.account.Key.Workspace, b.account.Key.Workspace)
}
