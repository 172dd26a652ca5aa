// Package crash finds out which requests crash backend servers, and quarantines what they have in common: a part of their
// prompts, or the whole request. Hosts share the evidence.
package crash

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// ErrQuarantined says that a request holds a key under which backend servers have crashed.
var ErrQuarantined = errors.New("backend servers have crashed under requests like this one")

const (
	// probeDelay is the time for a crashed process to release its port; probeTimeout bounds the connection attempt.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
	// maxProbeWait bounds how long a request waits for the probe of the backend server that broke it before it is sent to
	// another one.
	maxProbeWait = 150 * time.Millisecond
	// maxOwnCrashes is the number of backend servers that one request may crash at this host.
	maxOwnCrashes = 2
	// maxKeys bounds the keys that one host keeps evidence of, and those whose last answer it remembers.
	maxKeys    = 1024
	maxAnswers = 8192
	// ProofTime is how long a backend server goes on with an answer until its request counts as sound. The first event does not
	// show that: a server that crashes under a request may have written some.
	ProofTime = time.Second
	// epoch keeps the times of evidence that is older than the machine's boot positive.
	epoch = time.Hour
)

// Table holds the evidence and the requests in progress. Its exported fields are set before use; it is safe for concurrent
// use.
type Table struct {
	// Host is this host's name; hosts try quarantined keys at different times.
	Host string
	Log  *slog.Logger
	// Now returns the time; the zero value stands for ticks.Now.
	Now func() time.Duration
	// OnChange is called when the other hosts should receive new evidence; may be nil.
	OnChange func()

	mu   sync.Mutex
	keys map[uint64]*evidence
	// answers holds when an answer last began to a request with a part.
	answers map[uint64]time.Duration
	waiting map[*Run]struct{}
	version uint64
	// unsaved holds the keys that TakeUnsaved returns next.
	unsaved map[uint64]struct{}
}

// Server is a backend server that may have crashed.
type Server struct {
	ID      string
	Address netip.AddrPort
	// StartedMS is when it started, in Unix milliseconds; 0 if unknown.
	StartedMS int64
}

// Run is a request in progress at this host.
type Run struct {
	table *Table
	id    string
	keys  Keys
	abort func()
	// The table's lock protects the fields below. crashes is the number of backend servers that crashed under the request;
	// probed is closed when the last probe has ended, nil without one.
	isAnswered bool
	crashes    int
	probed     chan struct{}
}

func (t *Table) now() time.Duration {
	if t.Now != nil {
		return t.Now()
	}
	return epoch + ticks.Now()
}

// Check returns how long requests with these keys are refused, and the key that is quarantined; 0 if they may be sent, also
// as a trial.
func (t *Table) Check(keys Keys) (wait time.Duration, key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait, quarantined := t.check(keys, t.now())
	if wait == 0 {
		return 0, 0
	}
	return wait, quarantined[0].key
}

// check returns how long requests with these keys are refused, and the quarantined keys that one would be a trial of. A
// request with several of them comes after those with one, since its crash would not tell which of them is the cause.
func (t *Table) check(keys Keys, now time.Duration) (wait time.Duration, quarantined []*evidence) {
	for key := range keys.all() {
		e := t.keys[key]
		if e == nil || !e.isQuarantined(now) || t.isExplained(e, keys, now) {
			continue
		}
		left := e.trialAt(t.Host) - now
		if len(quarantined) == 0 || left > wait {
			wait = left
		}
		quarantined = append(quarantined, e)
	}
	if len(quarantined) > 1 {
		wait += (1 + trialSpread) * trialInterval
	}
	return max(wait, 0), quarantined
}

// Enter registers a request. Until it is sent, abort is called if one of its keys is quarantined.
func (t *Table) Enter(id string, keys Keys, abort func()) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Run{table: t, id: id, keys: keys, abort: abort}
	if t.waiting == nil {
		t.waiting = make(map[*Run]struct{})
	}
	t.waiting[r] = struct{}{}
	return r
}

// Send records that the request is about to be sent to a backend server, or returns ErrQuarantined. It first waits for the
// probe of one that broke the request.
func (r *Run) Send(ctx context.Context, server string) error {
	r.awaitProbe(ctx)
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isAnswered {
		return nil
	}
	now := t.now()
	wait, quarantined := t.check(r.keys, now)
	if wait > 0 || r.crashes >= maxOwnCrashes {
		return ErrQuarantined
	}
	delete(t.waiting, r)
	for _, e := range quarantined {
		e.trials++
		e.triedAt, e.changedAt = now, now
		t.Log.Info("quarantined key tried", "request", r.id, "server", server, "key", e.key, "trials", e.trials, "last_crash", now-e.lastCrash())
		t.changed()
	}
	return nil
}

// Answered records that a backend server has answered the request, or has gone on answering it for ProofTime, which
// exonerates all of its keys.
func (r *Run) Answered() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.isAnswered {
		return
	}
	r.isAnswered = true
	now := t.now()
	for _, part := range r.keys.Parts {
		t.remember(part, now)
	}
	if r.keys.IsWholeShared {
		t.remember(r.keys.Whole, now)
	}
	for key := range r.keys.all() {
		e := t.keys[key]
		if e == nil {
			continue
		}
		if e.isQuarantined(now) {
			t.markUnsaved(key)
			t.Log.Info("quarantine ends", "request", r.id, "key", key, "crashes", len(e.crashes), "trials", e.trials)
		}
		if e.hasCrashes() {
			e.changedAt = now
			t.changed()
		}
		e.answeredAt = now
	}
}

// End removes the request from those in progress.
func (r *Run) End() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	delete(r.table.waiting, r)
}

// awaitProbe waits for the last probe, up to maxProbeWait.
func (r *Run) awaitProbe(ctx context.Context) {
	r.table.mu.Lock()
	probed := r.probed
	r.table.mu.Unlock()
	if probed == nil {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Broke finds out in the background whether the backend server that broke the request's connection has crashed, and if so,
// records evidence against the request's keys. A request for which Answered was called is not accused. ended is called at
// the end.
func (r *Run) Broke(ctx context.Context, server Server, ended func()) {
	brokeAt, probed := r.table.now(), make(chan struct{})
	r.table.mu.Lock()
	isAnswered := r.isAnswered
	if !isAnswered {
		r.probed = probed
	}
	r.table.mu.Unlock()
	if isAnswered {
		ended()
		return
	}
	go func() {
		defer ended()
		defer close(probed)
		r.probe(ctx, server, brokeAt)
	}()
}

// probe connects to a backend server, and records a crash if its port is closed.
func (r *Run) probe(ctx context.Context, server Server, brokeAt time.Duration) {
	if !ticks.Sleep(ctx, probeDelay) {
		return
	}
	t := r.table
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", server.Address.String())
	if err == nil {
		_ = conn.Close()
	}
	// Only a closed port shows a crash: a connection attempt that times out may be the network's fault.
	isCrashed := errors.Is(err, syscall.ECONNREFUSED)
	t.Log.Info("backend server broke a request", "request", r.id, "server", server.ID, "crashed", isCrashed, "parts", r.keys.Parts, "whole", r.keys.Whole, "error", err)
	if isCrashed {
		t.mu.Lock()
		r.crashes++
		t.mu.Unlock()
		t.accuse(r.keys, Crash{Server: server.ID, StartedMS: server.StartedMS, at: brokeAt})
	}
}

// accuse records a crash under a request with the given keys.
func (t *Table) accuse(keys Keys, c Crash) {
	t.mu.Lock()
	now := t.now()
	for key := range keys.all() {
		e := t.evidenceOf(key, now)
		wasQuarantined := e.isQuarantined(now)
		if e.add(c) {
			e.changedAt, e.isOwn = now, true
			t.logQuarantine(e, wasQuarantined, now)
			if e.isQuarantined(now) {
				t.markUnsaved(key)
			}
		}
	}
	t.changed()
	aborted := t.aborted(now)
	t.mu.Unlock()
	for _, abort := range aborted {
		abort()
	}
}

// aborted returns the abort functions of the requests that are not sent yet and can't be any more; the caller holds the lock.
func (t *Table) aborted(now time.Duration) []func() {
	var all []func()
	for r := range t.waiting {
		if wait, _ := t.check(r.keys, now); wait > 0 {
			delete(t.waiting, r)
			all = append(all, r.abort)
		}
	}
	return all
}

// evidenceOf returns the evidence of a key, which it adds. The caller holds the lock.
func (t *Table) evidenceOf(key uint64, now time.Duration) *evidence {
	if e := t.keys[key]; e != nil {
		return e
	}
	if t.keys == nil {
		t.keys = make(map[uint64]*evidence)
	}
	t.makeRoom(now)
	e := &evidence{key: key}
	if at, known := t.answers[key]; known {
		e.answeredAt = at
	}
	t.keys[key] = e
	return e
}

// expire drops the evidence that no longer counts; the caller holds the lock.
func (t *Table) expire(now time.Duration) {
	for key, e := range t.keys {
		if e.isExpired(now) {
			delete(t.keys, key)
		}
	}
}

// makeRoom drops the least needed evidence if there is too much; the caller holds the lock.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.keys) < maxKeys {
		return
	}
	t.expire(now)
	all := slices.SortedFunc(maps.Values(t.keys), func(a, b *evidence) int { return compare(a, b, now) })
	for _, e := range all[min(len(all), maxKeys*3/4):] {
		delete(t.keys, e.key)
	}
	t.Log.Warn("evidence dropped: too many keys", "before", len(all), "after", len(t.keys))
}

// remember records an answer under a key; the caller holds the lock.
func (t *Table) remember(key uint64, answeredAt time.Duration) {
	if t.answers == nil {
		t.answers = make(map[uint64]time.Duration)
	}
	if _, known := t.answers[key]; !known && len(t.answers) >= maxAnswers {
		// Any quarter will do: parts in use are soon answered again.
		for old := range t.answers {
			if len(t.answers) <= maxAnswers*3/4 {
				break
			}
			delete(t.answers, old)
		}
	}
	t.answers[key] = max(t.answers[key], answeredAt)
}

// logQuarantine logs a key whose quarantine has begun; the caller holds the lock.
func (t *Table) logQuarantine(e *evidence, wasQuarantined bool, now time.Duration) {
	if !wasQuarantined && e.isQuarantined(now) {
		t.Log.Warn("key quarantined", "key", e.key, "servers", e.servers(), "had_answers", e.hasAnswered(), "trials", e.trials, "trial_in", e.trialAt(t.Host)-now)
	}
}

// changed records that this host has new evidence; the caller holds the lock.
func (t *Table) changed() {
	t.version++
	if t.OnChange != nil {
		t.OnChange()
	}
}
