package canary

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
)

// rewriteTime is how long an order that a copy of the store lacks stays in force. The operators write again what they had written.
const rewriteTime = 30 * time.Second

// SetOrders takes the full list of the store's orders, at a revision of the store.
func (t *Table) SetOrders(list []Order, revision int64) {
	t.mu.Lock()
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
		t.put(o)
	}
	for name, e := range t.rollouts {
		switch {
		case listed[name]:
		case epoch.FromOrdinal(revision).Era > epoch.FromOrdinal(e.order.Revision).Era:
			e.lose(t.now())
		default:
			t.remove(name, e.order.Revision)
		}
	}
	t.isSynced = true
	t.confirm()
	t.mu.Unlock()
	t.Look()
}

// ChangeOrders takes orders that have changed or disappeared, at a revision of the store.
func (t *Table) ChangeOrders(changed []Order, removed []string, revision int64) {
	t.mu.Lock()
	for _, o := range changed {
		t.put(o)
	}
	for _, name := range removed {
		t.remove(name, revision)
	}
	t.confirm()
	t.mu.Unlock()
	if len(changed)+len(removed) > 0 {
		t.Look()
	}
}

// confirm records that the store has confirmed what is known; the caller holds the lock.
func (t *Table) confirm() {
	now := t.now()
	for name, e := range t.rollouts {
		e.Confirm(now)
		if !e.lostAt.IsZero() && now.Sub(e.lostAt) > rewriteTime {
			t.remove(name, e.order.Revision)
		}
	}
}

// lose records that a copy that the store has come back from lacks the order. It stays in force until it is written again, for
// rewriteTime at most.
func (e *entry) lose(now time.Time) {
	if e.lostAt.IsZero() && !e.isWithdrawn {
		e.lostAt = now
	}
}

// isFromCopy takes an order that may be of a copy that the store has come back from, and reports whether it did: what is known of an
// order stays, and a status that the copy lacks is written again; one that had disappeared before counts only if it was written again.
func (t *Table) isFromCopy(known *entry, o Order) bool {
	was, is := epoch.FromOrdinal(known.order.Revision), epoch.FromOrdinal(o.Revision)
	if is.Era <= was.Era || o.Target != known.order.Target || o.Service != known.order.Service {
		return false
	}
	if known.isWithdrawn {
		return is.Revision == was.Revision
	}
	known.lostAt = time.Time{}
	switch state := known.State(); state {
	case Completed, Reverted:
		known.heard = state
	}
	known.Update(o, t.now())
	t.Log.Info("order read again after the store's return", "rollout", o.Name, "target", o.Target, "status", o.State().String(), "state", known.State().String())
	return true
}

// put takes an order as the store has it; the caller holds the lock.
func (t *Table) put(o Order) {
	if t.rollouts == nil {
		t.rollouts = make(map[string]*entry)
	}
	known := t.rollouts[o.Name]
	now := t.now()
	if known != nil && t.isFromCopy(known, o) {
		return
	}
	isNew := known == nil || known.isWithdrawn && o.Revision > t.removed[o.Name] ||
		o.Revision > known.order.Revision && (o.Target != known.order.Target || o.Service != known.order.Service ||
			known.order.State().IsFinal() && !o.State().IsFinal())
	if !isNew {
		if o.Revision > known.order.Revision {
			t.Log.Info("order changed", "rollout", o.Name, "target", o.Target, "status", o.State().String(), "duration", o.Duration, "revision", o.Revision)
		}
		known.Update(o, now)
		return
	}
	config := t.Config
	if o.State() == InProgress {
		// The order is older than what this host knows of it: after a restart of all hosts, the tolerance may have been used.
		config.Tolerance = 0
	}
	e := &entry{Rollout: NewRollout(config, t.Host, t.Domain, t.Incarnation, o, now), since: o.Revision}
	if known == nil && o.State() == InProgress {
		// Hosts that have not read the status yet report on the same order with an earlier revision.
		e.since = 0
	}
	if known != nil && known.order.Service == o.Service {
		before := known.base
		if known.State() == Completed {
			before = []string{known.order.Target}
		}
		isTarget := func(v string) bool { return v == o.Target }
		if before != nil {
			// An order back to the version that served before leaves no other version.
			e.base = slices.DeleteFunc(slices.Clone(before), isTarget)
		}
		e.barred = slices.Clone(known.barred)
		if known.State() != Completed {
			e.barred = append(e.barred, known.order.Target)
		}
		e.barred = slices.DeleteFunc(e.barred, isTarget)
	}
	t.rollouts[o.Name] = e
	delete(t.removed, o.Name)
	t.Log.Info("order for a roll-out", "rollout", o.Name, "service", o.Service, "target", o.Target, "base", e.base, "duration", o.Duration,
		"status", o.State().String(), "revision", o.Revision)
}

// remove records that an order has disappeared; the caller holds the lock.
func (t *Table) remove(name string, revision int64) {
	e := t.rollouts[name]
	if e == nil || e.isWithdrawn {
		return
	}
	if t.removed == nil {
		t.removed = make(map[string]int64)
	}
	t.removed[name] = max(revision, e.order.Revision)
	t.Log.Info("order has disappeared", "rollout", name, "target", e.order.Target, "state", e.State().String(), "revision", revision)
	if e.State() == Completed {
		// The old version's servers have stopped.
		delete(t.rollouts, name)
		return
	}
	e.Withdraw()
}

// IsSynced reports whether the store's orders have been read.
func (t *Table) IsSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSynced
}

// Version counts the decisions made here or reported by others, so that changes are sent without delay.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Report returns what is sent to other hosts: with isRelay, the sums over failure domains too.
func (t *Table) Report(isRelay bool) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var all []Report
	for _, e := range t.rollouts {
		if e.isWithdrawn || !e.finalAt.IsZero() && now.Sub(e.finalAt) > pastReportTime {
			continue
		}
		r := e.Report(isRelay, now)
		r.Revision = e.order.Revision
		if r.Verdict.IsFinal() {
			r.Sources = nil
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Report) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Merge takes another host's reports. An order that only other hosts know is taken from them: the store may be away.
func (t *Table) Merge(all []Report) {
	if len(all) == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	mustTell := false
	for _, r := range all {
		if r.Name == "" || r.Service == "" || r.Revision <= t.removed[r.Name] {
			continue
		}
		known := t.rollouts[r.Name]
		if r.DurationMS > 0 && (known == nil || known.order.Target != r.Target && r.Revision > known.order.Revision) {
			t.put(Order{
				Name: r.Name, Service: r.Service, Target: r.Target, Duration: time.Duration(r.DurationMS) * time.Millisecond, Revision: r.Revision,
				Status: InProgress, StatusTarget: r.Target,
			})
			known = t.rollouts[r.Name]
		}
		if known == nil || known.order.Target != r.Target || r.Revision < known.since {
			continue
		}
		before := known.State()
		known.Merge(r, now)
		if state := known.State(); state != before {
			t.Log.Info("outcome of a roll-out heard", "rollout", r.Name, "target", r.Target, "state", state.String(), "revision", r.Revision)
			t.revision++
			mustTell = true
		}
	}
	t.mu.Unlock()
	if mustTell && t.OnChange != nil {
		t.OnChange()
	}
}

// Status is an overview of all orders.
type Status struct {
	InForce, Completed, Reverted int
	// Step is the highest step of those in force; -1 without any.
	Step int
	// Old and Target are the sums over those in force, by all hosts as far as known.
	Old, Target Counts
}

// Status returns an overview of all orders.
func (t *Table) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Step: -1}
	for _, e := range t.rollouts {
		switch {
		case e.State() == Completed:
			s.Completed++
		case e.State() == Reverted:
			s.Reverted++
		case e.isInForce():
			s.InForce++
			s.Step = max(s.Step, e.step)
			s.Old.add(e.total.version(false))
			s.Target.add(e.total.version(true))
		}
	}
	return s
}
