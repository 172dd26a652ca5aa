package watch

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// maxCopyAge is how long a host remembers what the store has removed. The copies that stores come back from are some seconds old.
	maxCopyAge = time.Minute
	// silenceTime is the time after the store's return from which its entries are those of the backend servers themselves: they write
	// again within two seconds, and the entries of those that write nothing more are removed after three intervals of 1.2 s.
	silenceTime = 6 * time.Second
)

// lesson is what a host has learned of a backend server from its entries.
type lesson struct {
	// era is that of the store when this was learned.
	era                 int64
	startedMS, sequence int64
	isLeaving           bool
	// goneAt is when its entry was removed; zero while there is one.
	goneAt time.Time
	// heldBack is the entry in a copy of a server that left or was gone before the store came back in the era heldIn, until heldUntil.
	heldBack  *pool.Server
	heldIn    int64
	heldUntil time.Time
}

// lessons are what a host has learned of all backend servers. They decide what counts of the entries in a copy that the store has come
// back from: a server that leaves or is gone stays so until it says otherwise itself after the store's return, or its entry has outlasted
// silenceTime. Without such a return the store's entries count as they are. The zero value is ready to use; it is not safe for concurrent
// use.
type lessons struct{ byID map[string]*lesson }

// learn takes an entry that its server has written in an era.
func (l *lessons) learn(s pool.Server, era int64) {
	if l.byID == nil {
		l.byID = make(map[string]*lesson)
	}
	l.byID[s.ID] = &lesson{era: era, startedMS: s.StartedMS, sequence: s.Sequence, isLeaving: s.Draining}
}

// remove records that an entry has been removed.
func (l *lessons) remove(id string, era int64, now time.Time) {
	known := l.byID[id]
	if known == nil {
		return
	}
	known.heldBack = nil
	if known.goneAt.IsZero() {
		known.era, known.goneAt = era, now
	}
}

// list takes a full list. It returns the entries that count, and the number of those that were held back.
func (l *lessons) list(all []pool.Server, era int64, now time.Time) (counting []pool.Server, heldBack int) {
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
		known := l.byID[s.ID]
		if known == nil || known.era >= era {
			l.learn(s, era)
			counting = append(counting, s)
			continue
		}
		if s, ok := known.weigh(s, era, now); ok {
			counting = append(counting, s)
		} else {
			heldBack++
		}
	}
	for id, known := range l.byID {
		if !listed[id] {
			l.remove(id, era, now)
		}
		if !known.goneAt.IsZero() && known.heldBack == nil && now.Sub(known.goneAt) > maxCopyAge {
			delete(l.byID, id)
		}
	}
	return counting, heldBack
}

// weigh compares an entry, which may be of a copy, with what was known before the store's return. It returns the entry as it counts.
func (k *lesson) weigh(s pool.Server, era int64, now time.Time) (pool.Server, bool) {
	isKnownLife := s.StartedMS == k.startedMS || s.StartedMS == 0 || k.startedMS == 0
	isNews := !isKnownLife && s.StartedMS > k.startedMS || isKnownLife && s.Sequence > k.sequence
	switch {
	case !isKnownLife && s.StartedMS < k.startedMS:
		// An earlier lifetime: the later one writes its entry again if it still lives.
		return s, false
	case isNews || k.goneAt.IsZero() && (!k.isLeaving || s.Draining):
		sequence := s.Sequence
		if isKnownLife {
			sequence = max(sequence, k.sequence)
		}
		*k = lesson{era: era, startedMS: s.StartedMS, sequence: sequence, isLeaving: s.Draining}
		return s, true
	}
	if k.heldBack == nil || k.heldIn != era {
		k.heldUntil = now.Add(silenceTime)
	}
	heldBack := s
	k.heldBack, k.heldIn = &heldBack, era
	s.Draining = true
	return s, k.goneAt.IsZero()
}

// due returns the servers that were held back and whose entries the store has kept since: they live and do not leave.
func (l *lessons) due(era int64, now time.Time) []pool.Server {
	var all []pool.Server
	for _, known := range l.byID {
		if s := known.heldBack; s != nil && !now.Before(known.heldUntil) {
			l.learn(*s, era)
			all = append(all, *s)
		}
	}
	return all
}
