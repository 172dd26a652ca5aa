package poison

import (
	"time"
)

// noMarks is the clearAfter of a run whose fingerprint has no marks.
const noMarks = -1

// Run is one run of a request on a backend server. Its methods do nothing on a nil Run.
// They are called in the order SetTokens, Interrupted, and at the end once Ended, Died or Survived.
type Run struct {
	table   *Table
	print   Fingerprint
	backend string
	started time.Time
	tokens  int
	// clearAfter is the number of output tokens above which the fingerprint's marks are cleared.
	clearAfter  int
	interrupted bool
}

// Started records that a request starts on a backend server, and announces it if the fingerprint is marked.
func (t *Table) Started(f Fingerprint, backend string) *Run {
	r := t.started(f, backend)
	if r.clearAfter != noMarks && t.Broadcaster != nil {
		t.Broadcaster.Started(f, backend)
	}
	return r
}

func (t *Table) started(f Fingerprint, backend string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	r := &Run{table: t, print: f, backend: backend, started: t.now(), clearAfter: noMarks}
	if s, ok := t.suspects.Peek(f); ok && s.deaths(r.started) > 0 {
		r.clearAfter = s.maxTokens()
		s.running[r] = struct{}{}
	}
	return r
}

// SetTokens records the number of output tokens so far; it costs one comparison unless it clears the marks.
func (r *Run) SetTokens(tokens int) {
	if r == nil {
		return
	}
	r.tokens = tokens
	if r.clearAfter != noMarks && tokens > r.clearAfter {
		r.clearMarks()
	}
}

// Ended records that the run ended without a failure of the backend server; whole means that its answer was complete.
func (r *Run) Ended(whole bool) {
	if r == nil {
		return
	}
	if whole && r.clearAfter != noMarks {
		r.clearMarks()
	}
	r.finish()
}

// Interrupted records that the run was interrupted; Died or Survived must follow when the cause is known.
func (r *Run) Interrupted() {
	if r == nil || r.interrupted {
		return
	}
	r.interrupted = true
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.getOrAdd(r.print).pending++
}

// Died records that the backend server died while the request ran on it.
func (r *Run) Died() {
	if r == nil {
		return
	}
	m := Mark{Fingerprint: r.print, Backend: r.backend, Age: r.table.now().Sub(r.started), Tokens: r.tokens}
	barred := r.table.Add(m)
	r.finish()
	if r.table.Broadcaster == nil {
		return
	}
	r.table.Broadcaster.Marked(m)
	if barred {
		r.table.Broadcaster.Barred(r.print)
	}
}

// Survived records that the backend server did not die, or that there is no evidence that it did.
func (r *Run) Survived() {
	if r == nil {
		return
	}
	r.finish()
}

func (r *Run) clearMarks() {
	r.clearAfter = noMarks
	r.table.ClearMarks(r.print)
	if r.table.Broadcaster != nil {
		r.table.Broadcaster.Lifted(r.print)
	}
}

// finish ends the run and wakes callers that wait for the cause of its interruption.
func (r *Run) finish() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s, ok := r.table.suspects.Peek(r.print)
	if !ok {
		return
	}
	delete(s.running, r)
	if !r.interrupted {
		return
	}
	r.interrupted = false
	s.pending = max(0, s.pending-1)
	close(s.settled)
	s.settled = make(chan struct{})
}
