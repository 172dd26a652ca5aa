package poison

import (
	"time"
)

// unmarked is the point of a run whose fingerprint carries no mark.
const unmarked = -1

// Run is one run of a request on a backend server. Its methods do nothing on a nil Run.
// They are called in the order SetTokens, Interrupted, and at the end once Ended, Died or Survived.
type Run struct {
	table   *Table
	print   Fingerprint
	backend string
	started time.Time
	tokens  int
	// point is the number of tokens that lifts the fingerprint's marks when it is passed.
	point  int
	broken bool
}

// Started notes that a request starts on a backend server.
func (t *Table) Started(f Fingerprint, backend string) *Run {
	r := t.started(f, backend)
	if r.point != unmarked && t.Broadcaster != nil {
		t.Broadcaster.Started(f, backend)
	}
	return r
}

func (t *Table) started(f Fingerprint, backend string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	r := &Run{table: t, print: f, backend: backend, started: t.now(), point: unmarked}
	if s, ok := t.suspects.Peek(f); ok && s.deaths(r.started) > 0 {
		r.point = s.point()
		s.running[r] = struct{}{}
	}
	return r
}

// SetTokens notes the number of output tokens so far; it costs one comparison unless it lifts a mark.
func (r *Run) SetTokens(tokens int) {
	if r == nil {
		return
	}
	r.tokens = tokens
	if r.point != unmarked && tokens > r.point {
		r.lift()
	}
}

// Ended notes that the run ended without a failure of the backend server; whole says that it answered whole.
func (r *Run) Ended(whole bool) {
	if r == nil {
		return
	}
	if whole && r.point != unmarked {
		r.lift()
	}
	r.leave()
}

// Interrupted notes that the run broke off; Died or Survived must follow when it is known why.
func (r *Run) Interrupted() {
	if r == nil || r.broken {
		return
	}
	r.broken = true
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.suspect(r.print).pending++
}

// Died notes that the backend server died while the request ran on it.
func (r *Run) Died() {
	if r == nil {
		return
	}
	m := Mark{Fingerprint: r.print, Backend: r.backend, Age: r.table.now().Sub(r.started), Tokens: r.tokens}
	barred := r.table.Add(m)
	r.leave()
	if r.table.Broadcaster == nil {
		return
	}
	r.table.Broadcaster.Marked(m)
	if barred {
		r.table.Broadcaster.Barred(r.print)
	}
}

// Survived notes that the backend server did not die, or that nothing shows that it did.
func (r *Run) Survived() {
	if r == nil {
		return
	}
	r.leave()
}

func (r *Run) lift() {
	r.point = unmarked
	r.table.ClearMarks(r.print)
	if r.table.Broadcaster != nil {
		r.table.Broadcaster.Lifted(r.print)
	}
}

// leave ends the run and wakes those who wait for its verdict.
func (r *Run) leave() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	s, ok := r.table.suspects.Peek(r.print)
	if !ok {
		return
	}
	delete(s.running, r)
	if !r.broken {
		return
	}
	r.broken = false
	s.pending = max(0, s.pending-1)
	close(s.settled)
	s.settled = make(chan struct{})
}
