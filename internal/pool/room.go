package pool

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrReserved is returned if backend servers have room for the request, but no more of it than is reserved for others.
var ErrReserved = errors.New("the room of the backend servers is reserved for other requests")

// isReserved reports whether no more than the reserved number of such requests could start; the caller holds the lock.
func (p *Pool) isReserved(a Requirements, now time.Time) bool {
	if a.Reserve <= 0 {
		return false
	}
	room := 0
	for _, e := range p.order {
		if !p.isEligible(e, a, now) || e.isSuspect(now) || p.wait(e.ID, false) > 0 || !p.isWithinLimits(e, a) {
			continue
		}
		if room += p.roomAt(e, a); room > a.Reserve {
			return false
		}
	}
	return true
}

// roomAt returns how many such requests could start at a backend server that is within the limits.
func (p *Pool) roomAt(e *entry, a Requirements) int {
	l := e.load()
	engine := a.Service.Engine
	switch {
	case engine == nil && e.Slots <= 0:
		return math.MaxInt32
	case engine == nil:
		return e.Slots - l.Runs
	}
	room := engine.Slots - l.Runs
	if each := p.prefillTime(a.Service.Name, a.Prompt); each > 0 {
		room = min(room, 1+int((a.MaxDelay-p.prefillTime(a.Service.Name, l.PendingPromptTokens))/each))
	}
	if a.Tokens > 0 {
		room = min(room, int((a.MaxMemoryUse*float64(engine.MemoryTokens)-float64(l.Tokens))/float64(a.Tokens)))
	}
	return max(1, room)
}

// isBeyondShare reports whether this host's own requests use its part of the slots; one is always allowed. The caller holds the lock.
func (p *Pool) isBeyondShare(a Requirements, now time.Time) bool {
	if a.SlotShare <= 0 {
		return false
	}
	own, slots := 0, 0
	for _, e := range p.order {
		if p.isEligible(e, a, now) {
			own += e.local.Runs
			slots += e.Slots
		}
	}
	return own > 0 && float64(own+1) > a.SlotShare*float64(slots)
}

// hasFreeSlot reports whether a backend server has a slot for a plain request: of this host's part, if it has one, which others don't
// use, and else of all, by loads that may have changed since.
func (e *entry) hasFreeSlot(share float64) bool {
	switch {
	case e.Slots <= 0:
		return true
	case share > 0:
		return e.local.Runs < int(math.Ceil(share*float64(e.Slots)))
	default:
		return e.load().Runs < e.Slots
	}
}

// slotUse returns the part of the slots in use that ranks a server for a plain request, 1 for all.
func (e *entry) slotUse(share float64) float64 {
	slots := float64(max(1, e.Slots))
	if share > 0 {
		return float64(e.local.Runs)/(share*slots) + staleUseWeight*float64(e.remote.Runs)/slots
	}
	return float64(e.load().Runs) / slots
}

// staleUseWeight is the weight of the slots that others use at the time of their last reports, while each host has its part of the slots.
const staleUseWeight = 0.1
