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

// Tick updates the view of the hosts, does the work of one period and returns the messages to send.
func (l *Ledger) Tick(v HostView, now time.Time) []peer.Outgoing {
	l.init()
	switch {
	case l.stampBase.IsZero():
		l.stampBase = now
		l.incarnationStart = now
	case l.isPaused(now), v.Unlisted && l.active:
		l.rejoin(now)
	}
	l.lastTick = now
	l.updateHolders(v, now)
	l.join(now)
	l.giveBackUnowned(now)
	if now.Sub(l.lastRenewal) >= l.duration(renewPeriods) {
		l.lastRenewal = now
		l.renew(now)
		l.sendFormerReports(now)
		l.sendEvidence()
	}
	for _, s := range l.ownedSlots() {
		for _, name := range l.backendsInSlot[s] {
			l.updateBounds(l.backends[name], now)
		}
	}
	return l.flush()
}

// Stop gives back all shares and grants no more starts; the ledger still lends its own parts until the process ends.
func (l *Ledger) Stop(now time.Time) []peer.Outgoing {
	l.init()
	l.stopped = true
	l.giveBack(func(int) bool { return true }, now)
	return l.flush()
}

func (l *Ledger) flush() []peer.Outgoing {
	out := l.outgoing
	l.outgoing = nil
	return out
}

// rejoin gives a paused ledger a new incarnation and makes it hold nothing until all other hosts have confirmed it.
func (l *Ledger) rejoin(now time.Time) {
	l.Incarnation++
	l.incarnationStart = now
	l.active = false
	for s := range slots {
		if l.hasShares(s) {
			l.recordSlotFormerRunning(s, now)
		}
		for p := range parts {
			l.shares[s][p].until = time.Time{}
		}
	}
	for _, h := range l.holders {
		h.confirmed = false
	}
}

// updateHolders applies the view; an absent host keeps its parts until it can't be starting requests any more.
func (l *Ledger) updateHolders(v HostView, now time.Time) {
	l.view = v
	present := make(map[string]bool, len(v.Present))
	for _, h := range v.Present {
		present[h.Name] = true
		l.addHolder(h.Name, 0)
	}
	for name, h := range l.holders {
		switch {
		case present[name]:
			h.absentSince = time.Time{}
		case h.absentSince.IsZero():
			h.absentSince = now
		case now.Sub(h.absentSince) >= l.duration(holderExpiryPeriods):
			delete(l.holders, name)
		}
	}
	l.updateLayout()
}

// addHolder adds a host to the holders if it is not among them, and raises its incarnation.
func (l *Ledger) addHolder(name string, incarnation uint64) *holder {
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

func (l *Ledger) updateLayout() {
	names := append(slices.Collect(maps.Keys(l.holders)), l.Self)
	live := append(slices.Clone(l.view.Live), l.Self)
	if l.stopped {
		live = l.view.Live
	}
	slices.Sort(live)
	slices.Sort(names)
	live = slices.Compact(live)
	key := strings.Join(live, " ") + "/" + strings.Join(names, " ")
	if key == l.layoutKey {
		return
	}
	l.layoutKey = key
	l.layout = newLayout(live, names)
	for s := range slots {
		for p := range parts {
			if l.layout.holder[s][p] != l.Self {
				l.lent[s][p].lost = true
			}
		}
	}
}

// join asks the hosts that have not confirmed this ledger for a confirmation. The ledger becomes active once all have,
// leases from before this incarnation have expired, and the platform lists this host or unlistedJoinPeriods are over.
func (l *Ledger) join(now time.Time) {
	if l.active || l.stopped {
		return
	}
	unconfirmed := 0
	for _, name := range slices.Sorted(maps.Keys(l.holders)) {
		if !l.holders[name].confirmed {
			unconfirmed++
			l.send(name, &peerpb.Lend{Join: true, Stamp: l.stamp(now), Set: l.holderSetHash()})
		}
	}
	leasesExpired := now.Sub(l.incarnationStart) >= l.duration(leasePeriods+leaseMarginPeriods)
	admitted := l.view.Listed || len(l.holders) > 0 && now.Sub(l.incarnationStart) >= l.duration(unlistedJoinPeriods)
	l.active = unconfirmed == 0 && leasesExpired && admitted
}

// holderSetHash returns a hash of the names of all holders, this host included.
func (l *Ledger) holderSetHash() uint64 {
	sum := xxhash.Sum64String(l.Self)
	for name := range l.holders {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// IsActive reports whether the ledger has joined and lends the parts that it holds.
func (l *Ledger) IsActive() bool { return l.active }

func (l *Ledger) ownedSlots() []int {
	var list []int
	for s, owner := range l.layout.owner {
		if owner == l.Self {
			list = append(list, s)
		}
	}
	return list
}

// renew requests new leases on all parts of the slots that this host owns.
func (l *Ledger) renew(now time.Time) {
	requests := make(map[string]*peerpb.Lend)
	for _, s := range l.ownedSlots() {
		l.lastOwnedAt[s] = now
		for p := range parts {
			h := l.layout.holder[s][p]
			if h == l.Self {
				l.lendSelf(s, p, now)
				continue
			}
			q := requests[h]
			if q == nil {
				q = &peerpb.Lend{Stamp: l.stamp(now)}
				requests[h] = q
			}
			if n := len(q.Ask); n == 0 || q.Ask[n-1] != uint32(s) {
				q.Ask = append(q.Ask, uint32(s))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		l.send(name, requests[name])
	}
}

// stamp returns a time as a number that orders this ledger's messages.
func (l *Ledger) stamp(now time.Time) uint64 { return uint64(now.Sub(l.stampBase)) + 2 }

func (l *Ledger) stampTime(stamp uint64) time.Time { return l.stampBase.Add(time.Duration(stamp - 2)) }

func (l *Ledger) lendSelf(s, p int, now time.Time) {
	if loan := l.lend(l.Self, l.process, s, p, now); loan != nil {
		l.acceptShare(s, p, share{until: now.Add(l.duration(leasePeriods)), id: loan.id, former: loan.former}, now)
	}
}

// lend lends a part to an owner; it returns nil if this host does not hold the part or may not lend it now.
func (l *Ledger) lend(host string, process uint64, s, p int, now time.Time) *loan {
	if !l.active || l.layout.holder[s][p] != l.Self || l.layout.owner[s] != host {
		return nil
	}
	owner := newOwnerProcess(host, process)
	var unlent loan
	loan := &l.lent[s][p]
	if loan.lost && !now.Before(loan.until) {
		l.lent[s][p] = unlent
	}
	if loan.owner != owner {
		if now.Before(loan.until) {
			return nil
		}
		loan.former = loan.id
		loan.owner = owner
		loan.id = l.newLoanID()
	}
	loan.until = now.Add(l.duration(leasePeriods + leaseMarginPeriods))
	return loan
}

// newLoanID returns an ID that is unique among all ledgers.
func (l *Ledger) newLoanID() loanID {
	l.loanCount++
	key := string(newOwnerProcess(l.Self, l.process)) + "/" + strconv.FormatUint(l.loanCount, 36)
	return loanID(max(1, xxhash.Sum64String(key)))
}

// acceptShare records a part that was lent to this host.
func (l *Ledger) acceptShare(s, p int, lent share, now time.Time) {
	h := &l.shares[s][p]
	if !now.Before(lent.until) || lent.until.Before(h.until) {
		return
	}
	if now.Before(h.until) && h.id == lent.id {
		h.until = lent.until
		return
	}
	if !h.until.IsZero() {
		l.recordSlotFormerRunning(s, now)
	}
	*h = lent
	h.since = now
}

// recordSlotFormerRunning calls recordFormerRunning for a slot's backend servers before its shares are replaced.
func (l *Ledger) recordSlotFormerRunning(s int, now time.Time) {
	for _, name := range l.backendsInSlot[s] {
		l.recordFormerRunning(l.backends[name], now)
	}
}

// giveBackUnowned gives back the shares of the slots that this host no longer owns in its local view.
func (l *Ledger) giveBackUnowned(now time.Time) {
	l.giveBack(func(s int) bool { return l.layout.owner[s] != l.Self }, now)
}

// giveBack returns the shares of some slots to their holders.
func (l *Ledger) giveBack(chosen func(slot int) bool, now time.Time) {
	back := make(map[string][]*peerpb.LentSlot)
	for s := range slots {
		if chosen(s) && l.hasShares(s) {
			l.dropSlot(s, now, back)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(back)) {
		// The stamp is lower than that of a lease request sent at the same time.
		l.send(to, &peerpb.Lend{Stamp: l.stamp(now) - 1, GiveBack: back[to]})
	}
}

// dropSlot ends the shares of a slot and adds the parts to give back to the map, by holder.
func (l *Ledger) dropSlot(s int, now time.Time, back map[string][]*peerpb.LentSlot) {
	l.recordSlotFormerRunning(s, now)
	partsByHolder := make(map[string]uint32)
	for p := range parts {
		h := &l.shares[s][p]
		ended := !now.Before(h.until)
		if h.until.IsZero() {
			h.id = 0
		}
		h.until = time.Time{}
		if ended {
			continue
		}
		l.givenBackAt[s] = now
		if to := l.layout.holder[s][p]; to != l.Self {
			partsByHolder[to] |= 1 << p
		} else if l.lent[s][p].owner == newOwnerProcess(l.Self, l.process) {
			l.lent[s][p].until = now
		}
	}
	for to, set := range partsByHolder {
		back[to] = append(back[to], &peerpb.LentSlot{Slot: uint32(s), Parts: set})
	}
}

// hasShares reports whether a share of the slot was lent to this host since the slot last changed owner.
func (l *Ledger) hasShares(s int) bool {
	return slices.ContainsFunc(l.shares[s][:], func(h share) bool { return !h.until.IsZero() })
}

// sendFormerReports reports to the owners of this host's former slots what still runs by its grants.
func (l *Ledger) sendFormerReports(now time.Time) {
	for s, owner := range l.layout.owner {
		if owner == l.Self || owner == "" || l.lastOwnedAt[s].IsZero() {
			continue
		}
		f := &peerpb.FormerSlot{Slot: uint32(s)}
		for p := range parts {
			if id := l.shares[s][p].id; id != 0 {
				f.Loan = append(f.Loan, uint64(id))
			}
		}
		for _, name := range l.backendsInSlot[s] {
			if n := l.backends[name].stillRunning(now, l.duration(unreportedPeriods)); n > 0 {
				f.Running = append(f.Running, &peerpb.Running{Backend: name, Count: uint32(n)})
			}
		}
		if len(f.Running) > 0 || now.Sub(l.lastOwnedAt[s]) < l.duration(formerReportPeriods) {
			l.send(owner, &peerpb.Lend{Former: []*peerpb.FormerSlot{f}, Evidence: l.evidence(s)})
		}
	}
}

// sendEvidence sends the warm-up evidence on owned backend servers to the hosts that would own them next.
func (l *Ledger) sendEvidence() {
	for _, s := range l.ownedSlots() {
		if to := l.layout.successor[s]; to != "" {
			if e := l.evidence(s); len(e) > 0 {
				l.send(to, &peerpb.Lend{Evidence: e})
			}
		}
	}
}

func (l *Ledger) evidence(s int) []*peerpb.Evidence {
	var list []*peerpb.Evidence
	for _, name := range l.backendsInSlot[s] {
		b := l.backends[name]
		boot, limit := b.ramp.Evidence()
		if b.Out || boot == "" || limit <= float64(b.Cold) {
			continue
		}
		list = append(list, &peerpb.Evidence{Backend: name, Boot: boot, Limit: limit})
	}
	return list
}
