package grant

import (
	"math/bits"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Receive handles a message of another ledger of the failure domain and returns the messages to send.
func (l *Ledger) Receive(from string, m *peerpb.Lend, now time.Time) []peer.Outgoing {
	l.init()
	if l.isPaused(now) || from == l.Self {
		return nil
	}
	if h := l.holders[from]; h != nil && m.GetIncarnation() < h.incarnation {
		return nil
	}
	l.noteIncarnation(from, m.GetIncarnation())
	switch {
	case m.GetJoin():
		l.handleJoin(from, m, now)
	case m.GetKnown() > 0:
		l.handleConfirmation(from, m)
	case len(m.GetAsk()) > 0:
		l.handleAsk(from, m, now)
	case len(m.GetLent()) > 0:
		l.handleLent(m, now)
	case len(m.GetGiveBack()) > 0:
		l.handleGiveBack(from, m, now)
	default:
		l.handleReports(from, m, now)
	}
	return l.flush()
}

// noteIncarnation records the sender's incarnation. A new one voids the sender's stamps, and its confirmation unless
// this ledger is active.
func (l *Ledger) noteIncarnation(from string, incarnation uint64) {
	old, exists := l.holders[from]
	if exists && old.incarnation == incarnation {
		return
	}
	h := l.addHolder(from, incarnation)
	h.absentSince = time.Time{}
	if exists && old.incarnation != incarnation {
		h.confirmed = h.confirmed && l.active
	}
	delete(l.lastStamps, from)
	l.updateLayout()
}

// handleJoin confirms a joining ledger once the leases on the parts that pass to it have expired.
func (l *Ledger) handleJoin(from string, m *peerpb.Lend, now time.Time) {
	for s := range slots {
		for p := range parts {
			if l.layout.holder[s][p] != l.Self && now.Before(l.lent[s][p].until) {
				return
			}
		}
	}
	answer := &peerpb.Lend{Known: m.GetIncarnation(), Stamp: m.GetStamp()}
	if m.GetSet() != l.holderSetHash() {
		for name, h := range l.holders {
			answer.Holders = append(answer.Holders, &peerpb.Holder{Name: name, Incarnation: h.incarnation})
		}
	}
	l.send(from, answer)
}

// handleConfirmation records a confirmation and adds the confirming host's holders.
func (l *Ledger) handleConfirmation(from string, m *peerpb.Lend) {
	if m.GetKnown() != l.Incarnation {
		return
	}
	l.holders[from].confirmed = true
	for _, h := range m.GetHolders() {
		if h.GetName() != l.Self && l.holders[h.GetName()] == nil {
			l.addHolder(h.GetName(), h.GetIncarnation())
		}
	}
	l.updateLayout()
}

func (l *Ledger) handleAsk(from string, m *peerpb.Lend, now time.Time) {
	if m.GetStamp() <= l.lastStamps[from] {
		return
	}
	l.lastStamps[from] = m.GetStamp()
	answer := &peerpb.Lend{Stamp: m.GetStamp(), To: m.GetIncarnation()}
	for _, s := range m.GetAsk() {
		if s >= slots {
			continue
		}
		slot := &peerpb.LentSlot{Slot: s}
		for p := range parts {
			if loan := l.lend(from, m.GetProcess(), int(s), p, now); loan != nil {
				slot.Parts |= 1 << p
				slot.Loan = append(slot.Loan, uint64(loan.id))
				slot.Former = append(slot.Former, uint64(loan.former))
			}
		}
		if slot.Parts != 0 {
			answer.Lent = append(answer.Lent, slot)
		}
	}
	if len(answer.Lent) > 0 {
		l.send(from, answer)
	}
}

// handleLent accepts lent parts; a lease counts from the request, so that it expires here before it does at the holder.
func (l *Ledger) handleLent(m *peerpb.Lend, now time.Time) {
	if l.stopped || m.GetStamp() == 0 || m.GetTo() != l.Incarnation {
		return
	}
	asked := l.stampTime(m.GetStamp())
	if asked.After(now) {
		return
	}
	for _, slot := range m.GetLent() {
		s := slot.GetSlot()
		if s >= slots || !asked.After(l.givenBackAt[s]) || l.layout.owner[s] != l.Self {
			continue
		}
		if bits.OnesCount32(slot.GetParts()) != len(slot.GetLoan()) || len(slot.GetLoan()) != len(slot.GetFormer()) {
			continue
		}
		i := 0
		for p := range parts {
			if slot.GetParts()&(1<<p) == 0 {
				continue
			}
			lent := share{until: asked.Add(l.duration(leasePeriods)), id: loanID(slot.Loan[i]), former: loanID(slot.Former[i])}
			l.acceptShare(int(s), p, lent, now)
			i++
		}
	}
}

// dropFormerReports forgets the previous reports of a former owner of a slot.
func (l *Ledger) dropFormerReports(slot uint32, from ownerProcess) {
	for id, s := range l.formerReports[slot] {
		if s.from == from {
			delete(l.formerReports[slot], id)
		}
	}
}

// handleGiveBack ends leases that the owner has given back.
func (l *Ledger) handleGiveBack(from string, m *peerpb.Lend, now time.Time) {
	if m.GetStamp() <= l.lastStamps[from] {
		return
	}
	l.lastStamps[from] = m.GetStamp()
	for _, slot := range m.GetGiveBack() {
		if slot.GetSlot() >= slots {
			continue
		}
		for p := range parts {
			loan := &l.lent[slot.GetSlot()][p]
			if slot.GetParts()&(1<<p) != 0 && loan.owner == newOwnerProcess(from, m.GetProcess()) && now.Before(loan.until) {
				loan.until = now
			}
		}
	}
}

// handleReports records the running requests of former owners and the warm-up evidence on backend servers.
func (l *Ledger) handleReports(from string, m *peerpb.Lend, now time.Time) {
	for _, f := range m.GetFormer() {
		if f.GetSlot() >= slots {
			continue
		}
		s := &formerReport{from: newOwnerProcess(from, m.GetProcess()), at: now, count: make(map[string]int)}
		for _, r := range f.GetRunning() {
			s.count[r.GetBackend()] = int(r.GetCount())
		}
		l.dropFormerReports(f.GetSlot(), s.from)
		for _, id := range f.GetLoan() {
			l.formerReports[f.GetSlot()][loanID(id)] = s
		}
		for _, name := range l.backendsInSlot[f.GetSlot()] {
			l.updateBounds(l.backends[name], now)
		}
	}
	for _, e := range m.GetEvidence() {
		if b := l.backends[e.GetBackend()]; b != nil && !b.Out {
			b.ramp.AdoptEvidence(e.GetBoot(), e.GetLimit())
		}
	}
}
