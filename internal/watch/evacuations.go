package watch

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// rewriteTime is how long what a host knows of orders goes before a copy that the store has come back from: one that the copy lacks stays
// in force, and one that was taken back does not come into force. The operators write again what they had written; an order that they have
// taken back since the return, and that the copy lacks, leaves no change to read. The time is that in which an order must be in force.
const rewriteTime = 5 * time.Second

// Evacuation is an operator's order to send nothing more to the backend servers of a failure domain.
type Evacuation struct {
	Domain string
	// Revision is that of the order in the store.
	Revision int64
}

// Evacuations keeps the set of failure domains that operators have evacuated.
//
// A copy that the store has come back from may lack an order, or hold one that was taken back. Both count as they were before, until the
// operator writes or takes back an order for the domain.
type Evacuations struct {
	Pool *pool.Pool
	Log  *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	era int64
	// inForce are the revisions of the orders by failure domain; unconfirmed are the times until which those stay in force that the
	// copy lacks.
	inForce     map[string]int64
	unconfirmed map[string]time.Time
	// takenBack are the orders that operators have taken back; doubted are those of them that the copy holds, with the time from
	// which they are in force if they are not taken back again.
	takenBack map[string]takenBack
	doubted   map[string]doubt
}

// takenBack is an order that an operator has taken back.
type takenBack struct {
	era, revision int64
	at            time.Time
}

// doubt is an order that may have been taken back.
type doubt struct {
	revision int64
	until    time.Time
}

// Replace sets the evacuated failure domains to those of a full list.
func (e *Evacuations) Replace(b Batch[Evacuation], _ time.Duration) {
	now := timeOf(e.Now)
	isNewEra := e.era != 0 && b.At.Era > e.era
	e.era = b.At.Era
	before := e.inForce
	listed := make(map[string]int64, len(b.Changed))
	doubted := make(map[string]doubt)
	for _, o := range b.Changed {
		if t, found := e.takenBack[o.Domain]; found && t.era < b.At.Era && t.revision == o.Revision {
			d, isKnown := e.doubted[o.Domain]
			if !isKnown || isNewEra {
				d = doubt{o.Revision, now.Add(rewriteTime)}
				e.Log.Info("order for a failure domain was taken back before the store's return", "domain", o.Domain, "revision", o.Revision)
			}
			doubted[o.Domain] = d
			continue
		}
		listed[o.Domain] = o.Revision
		delete(e.unconfirmed, o.Domain)
	}
	e.inForce, e.doubted = listed, doubted
	for domain, revision := range before {
		if _, found := listed[domain]; found {
			continue
		}
		if isNewEra {
			e.await(domain, now)
		}
		if _, found := e.unconfirmed[domain]; found {
			listed[domain] = revision
		} else {
			e.takeBack(domain, revision, now)
		}
	}
	e.update(b, now)
}

// Apply adds and removes evacuated failure domains.
func (e *Evacuations) Apply(b Batch[Evacuation], _ time.Duration) {
	now := timeOf(e.Now)
	if e.inForce == nil {
		e.inForce = make(map[string]int64)
	}
	for _, o := range b.Changed {
		e.inForce[o.Domain] = o.Revision
		delete(e.unconfirmed, o.Domain)
		delete(e.doubted, o.Domain)
	}
	for _, domain := range b.Removed {
		if revision, found := e.inForce[domain]; found {
			e.takeBack(domain, revision, now)
			delete(e.inForce, domain)
		}
		delete(e.unconfirmed, domain)
		delete(e.doubted, domain)
	}
	e.update(b, now)
}

// await keeps an order in force that the store no longer holds.
func (e *Evacuations) await(domain string, now time.Time) {
	if e.unconfirmed == nil {
		e.unconfirmed = make(map[string]time.Time)
	}
	e.unconfirmed[domain] = now.Add(rewriteTime)
	e.Log.Info("failure domain stays out until its order is written again", "domain", domain, "for", rewriteTime)
}

func (e *Evacuations) takeBack(domain string, revision int64, now time.Time) {
	if e.takenBack == nil {
		e.takenBack = make(map[string]takenBack)
	}
	e.takenBack[domain] = takenBack{e.era, revision, now}
}

// update ends what has lasted too long, and passes changes on to the pool.
func (e *Evacuations) update(b Batch[Evacuation], now time.Time) {
	for domain, until := range e.unconfirmed {
		if now.After(until) {
			delete(e.unconfirmed, domain)
			delete(e.inForce, domain)
			e.Log.Warn("order for a failure domain was not written again", "domain", domain)
		}
	}
	for domain, d := range e.doubted {
		if now.After(d.until) {
			delete(e.doubted, domain)
			e.inForce[domain] = d.revision
			e.Log.Warn("order for a failure domain was not taken back again", "domain", domain)
		}
	}
	maps.DeleteFunc(e.takenBack, func(_ string, t takenBack) bool { return now.Sub(t.at) > maxCopyAge })
	evacuated := slices.Sorted(maps.Keys(e.inForce))
	if slices.Equal(e.Pool.Evacuated(), evacuated) {
		return
	}
	e.Pool.SetEvacuated(evacuated)
	e.Log.Info("failure domains out", "domains", evacuated, "revision", b.At)
}
