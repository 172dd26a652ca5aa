package grant

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Tick takes what is known of the hosts, does the work of one period and returns the messages to send.
func (l *Ledger) Tick(v HostView, now time.Time) []peer.Outgoing {
	l.init()
	switch {
	case l.base.IsZero():
		l.base = now
		l.begun = now
	case l.isPaused(now), v.Unlisted && l.active:
		l.rejoin(now)
	}
	l.ticked = now
	l.look(v, now)
	l.join(now)
	l.handOver(now)
	if now.Sub(l.asked) >= l.span(askPeriods) {
		l.asked = now
		l.ask(now)
		l.tellFormer(now)
		l.tellSuccessors()
	}
	for _, s := range l.owned() {
		for _, name := range l.inSlot[s] {
			l.review(l.backends[name], now)
		}
	}
	return l.flush()
}

// Stop gives back all that this ledger is lent; it starts nothing any more, and lends its own parts until it ends.
func (l *Ledger) Stop(now time.Time) []peer.Outgoing {
	l.init()
	l.stopped = true
	l.giveBack(func(int) bool { return true }, now)
	return l.flush()
}

func (l *Ledger) flush() []peer.Outgoing {
	out := l.queue
	l.queue = nil
	return out
}

// rejoin makes a ledger that was paused hold nothing until all others know its new incarnation.
func (l *Ledger) rejoin(now time.Time) {
	l.Incarnation++
	l.begun = now
	l.active = false
	for s := range slots {
		if l.holds(s) {
			l.keepSlot(s, now)
		}
		for p := range parts {
			l.have[s][p].until = time.Time{}
		}
	}
	for _, h := range l.holders {
		h.known = false
	}
}

// look takes the hosts that are present; an absent one keeps its parts until it can't have started anything any more.
func (l *Ledger) look(v HostView, now time.Time) {
	l.view = v
	present := make(map[string]bool, len(v.Present))
	for _, h := range v.Present {
		present[h.Name] = true
		l.meet(h.Name, 0)
	}
	for name, h := range l.holders {
		switch {
		case present[name]:
			h.absent = time.Time{}
		case h.absent.IsZero():
			h.absent = now
		case now.Sub(h.absent) >= l.span(gonePeriods):
			delete(l.holders, name)
		}
	}
	l.arrange()
}

// meet counts a host as a holder from now on.
func (l *Ledger) meet(name string, incarnation uint64) *holder {
	h := l.holders[name]
	if h == nil {
		h = &holder{}
		l.holders[name] = h
	}
	if incarnation > h.incarnation {
		h.incarnation = incarnation
	}
	return h
}

func (l *Ledger) arrange() {
	names := append(slices.Collect(maps.Keys(l.holders)), l.Self)
	live := append(slices.Clone(l.view.Live), l.Self)
	if l.stopped {
		live = l.view.Live
	}
	slices.Sort(live)
	slices.Sort(names)
	live = slices.Compact(live)
	key := strings.Join(live, " ") + "/" + strings.Join(names, " ")
	if key == l.arranged {
		return
	}
	l.arranged = key
	l.layout = newLayout(live, names)
	for s := range slots {
		for p := range parts {
			if l.layout.holder[s][p] != l.Self {
				l.lent[s][p].lost = true
			}
		}
	}
}

// join asks the hosts that have not confirmed to know this ledger, and makes it active when all have.
func (l *Ledger) join(now time.Time) {
	if l.active || l.stopped {
		return
	}
	waiting := 0
	for _, name := range slices.Sorted(maps.Keys(l.holders)) {
		if !l.holders[name].known {
			waiting++
			l.send(name, &peerpb.Lend{Join: true, Stamp: l.stamp(now), Set: l.set()})
		}
	}
	old := now.Sub(l.begun) >= l.span(leasePeriods+marginPeriods)
	vouched := l.view.Listed || len(l.holders) > 0 && now.Sub(l.begun) >= l.span(aloneWaitPeriods)
	l.active = waiting == 0 && old && vouched
}

// set returns a hash of all holders that this ledger knows and of itself.
func (l *Ledger) set() uint64 {
	sum := xxhash.Sum64String(l.Self)
	for name := range l.holders {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// IsActive reports whether the ledger holds its parts.
func (l *Ledger) IsActive() bool { return l.active }

func (l *Ledger) owned() []int {
	var list []int
	for s, owner := range l.layout.owner {
		if owner == l.Self {
			list = append(list, s)
		}
	}
	return list
}

// ask renews the leases on all parts of the slots that this host owns.
func (l *Ledger) ask(now time.Time) {
	questions := make(map[string]*peerpb.Lend)
	for _, s := range l.owned() {
		l.was[s] = now
		for p := range parts {
			h := l.layout.holder[s][p]
			if h == l.Self {
				l.lendSelf(s, p, now)
				continue
			}
			q := questions[h]
			if q == nil {
				q = &peerpb.Lend{Stamp: l.stamp(now)}
				questions[h] = q
			}
			if n := len(q.Ask); n == 0 || q.Ask[n-1] != uint32(s) {
				q.Ask = append(q.Ask, uint32(s))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(questions)) {
		l.send(name, questions[name])
	}
}

// stamp returns a moment as a number that orders this ledger's messages.
func (l *Ledger) stamp(now time.Time) uint64 { return uint64(now.Sub(l.base)) + 2 }

func (l *Ledger) moment(stamp uint64) time.Time { return l.base.Add(time.Duration(stamp - 2)) }

func (l *Ledger) lendSelf(s, p int, now time.Time) {
	if loan := l.lend(l.Self, l.process, s, p, now); loan != nil {
		l.take(s, p, share{until: now.Add(l.span(leasePeriods)), id: loan.id, former: loan.former}, now)
	}
}

// lend lends a part to an owner if it is this host's to lend; otherwise it returns nil.
func (l *Ledger) lend(host string, process uint64, s, p int, now time.Time) *loan {
	if !l.active || l.layout.holder[s][p] != l.Self || l.layout.owner[s] != host {
		return nil
	}
	owner := newGrantor(host, process)
	var free loan
	loan := &l.lent[s][p]
	if loan.lost && !now.Before(loan.until) {
		l.lent[s][p] = free
	}
	if loan.owner != owner {
		if now.Before(loan.until) {
			return nil
		}
		loan.former = loan.id
		loan.owner = owner
		loan.id = l.newLoanID()
	}
	loan.until = now.Add(l.span(leasePeriods + marginPeriods))
	return loan
}

// newLoanID returns an identity that no other ledger uses.
func (l *Ledger) newLoanID() loanID {
	l.loans++
	key := string(newGrantor(l.Self, l.process)) + "/" + strconv.FormatUint(l.loans, 36)
	return loanID(max(1, xxhash.Sum64String(key)))
}

// take notes a part that was lent to this host.
func (l *Ledger) take(s, p int, lent share, now time.Time) {
	h := &l.have[s][p]
	if !now.Before(lent.until) || lent.until.Before(h.until) {
		return
	}
	if now.Before(h.until) && h.id == lent.id {
		h.until = lent.until
		return
	}
	if !h.until.IsZero() {
		l.keepSlot(s, now)
	}
	*h = lent
	h.since = now
}

// keepSlot notes what was never accounted for in a slot before shares of it are replaced.
func (l *Ledger) keepSlot(s int, now time.Time) {
	for _, name := range l.inSlot[s] {
		l.keepResidue(l.backends[name], now)
	}
}

// handOver gives back the slots that this host no longer sees as its own.
func (l *Ledger) handOver(now time.Time) {
	l.giveBack(func(s int) bool { return l.layout.owner[s] != l.Self }, now)
}

// giveBack returns the shares of some slots to their holders.
func (l *Ledger) giveBack(chosen func(slot int) bool, now time.Time) {
	back := make(map[string][]*peerpb.LentSlot)
	for s := range slots {
		if chosen(s) && l.holds(s) {
			l.dropSlot(s, now, back)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(back)) {
		// The stamp is older than that of a question of the same moment.
		l.send(to, &peerpb.Lend{Stamp: l.stamp(now) - 1, GiveBack: back[to]})
	}
}

// dropSlot ends the shares of a slot and lists by holder what to give back.
func (l *Ledger) dropSlot(s int, now time.Time, back map[string][]*peerpb.LentSlot) {
	l.keepSlot(s, now)
	mine := make(map[string]uint32)
	for p := range parts {
		h := &l.have[s][p]
		ended := !now.Before(h.until)
		if h.until.IsZero() {
			h.id = 0
		}
		h.until = time.Time{}
		if ended {
			continue
		}
		l.given[s] = now
		if to := l.layout.holder[s][p]; to != l.Self {
			mine[to] |= 1 << p
		} else if l.lent[s][p].owner == newGrantor(l.Self, l.process) {
			l.lent[s][p].until = now
		}
	}
	for to, set := range mine {
		back[to] = append(back[to], &peerpb.LentSlot{Slot: uint32(s), Parts: set})
	}
}

// holds reports whether a share of the slot was lent to this host since the slot last passed on.
func (l *Ledger) holds(s int) bool {
	return slices.ContainsFunc(l.have[s][:], func(h share) bool { return !h.until.IsZero() })
}

// tellFormer tells the owners of slots that were this host's what still runs by its grants.
func (l *Ledger) tellFormer(now time.Time) {
	for s, owner := range l.layout.owner {
		if owner == l.Self || owner == "" || l.was[s].IsZero() {
			continue
		}
		f := &peerpb.FormerSlot{Slot: uint32(s)}
		for p := range parts {
			if id := l.have[s][p].id; id != 0 {
				f.Loan = append(f.Loan, uint64(id))
			}
		}
		for _, name := range l.inSlot[s] {
			if n := l.backends[name].left(now, l.span(silentPeriods)); n > 0 {
				f.Running = append(f.Running, &peerpb.Running{Backend: name, Count: uint32(n)})
			}
		}
		if len(f.Running) > 0 || now.Sub(l.was[s]) < l.span(formerPeriods) {
			l.send(owner, &peerpb.Lend{Former: []*peerpb.FormerSlot{f}, Evidence: l.evidence(s)})
		}
	}
}

// tellSuccessors gives the evidence on owned backend servers to the hosts that would own them next.
func (l *Ledger) tellSuccessors() {
	for _, s := range l.owned() {
		if to := l.layout.successor[s]; to != "" {
			if e := l.evidence(s); len(e) > 0 {
				l.send(to, &peerpb.Lend{Evidence: e})
			}
		}
	}
}

func (l *Ledger) evidence(s int) []*peerpb.Evidence {
	var list []*peerpb.Evidence
	for _, name := range l.inSlot[s] {
		b := l.backends[name]
		boot, limit := b.ramp.Evidence()
		if b.Out || boot == "" || limit <= float64(b.Cold) {
			continue
		}
		list = append(list, &peerpb.Evidence{Backend: name, Boot: boot, Limit: limit})
	}
	return list
}
