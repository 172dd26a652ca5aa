// Package poison bars requests that make backend servers die.
//
// A request is known by its fingerprint. Each death of a backend server leaves a mark on the fingerprints that
// ran there; two marks of different deaths bar a fingerprint. A mark is lifted when a later run passes the point
// at which the backend server died, so that a request which merely ran beside the guilty one is not barred.
// Marked fingerprints start one after the other and on different backend servers, which keeps an innocent one
// from running beside the guilty one a second time.
package poison

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	maxSuspects  = 4096
	maxBarred    = 1024
	deathsToBar  = 2
	markTTL      = 10 * time.Minute
	barTTL       = 24 * time.Hour
	verdictBound = time.Second
	// apartTTL is the time for which a marked run on another host keeps others off its backend server.
	apartTTL = 5 * time.Second
	// settle and slot space the starts of marked fingerprints; both exceed the delay between two regions.
	settle   = 50 * time.Millisecond
	slot     = 60 * time.Millisecond
	maxSlots = 8
	// recent is the age up to which a mark counts for the order of starts.
	recent = 2 * time.Second
)

// Fingerprint identifies requests of one workspace to one service with the same body.
type Fingerprint uint64

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace, service, body string) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{workspace, service, body} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

// Mark is one death of a backend server while a request ran on it.
type Mark struct {
	Fingerprint Fingerprint
	Backend     string
	// Age is the time from the run's start to the death.
	Age time.Duration
	// Tokens counts the output tokens that had come by then.
	Tokens int
}

// Broadcaster tells the other hosts.
type Broadcaster interface {
	// Marked tells of a new mark.
	Marked(m Mark)
	// Started tells that a marked fingerprint starts on a backend server.
	Started(f Fingerprint, backend string)
	// Barred tells that a fingerprint is barred.
	Barred(f Fingerprint)
	// Lifted tells that a fingerprint has run past its marks.
	Lifted(f Fingerprint)
}

// Table is what one host holds against requests. It is bounded, and safe for concurrent use.
type Table struct {
	// Broadcaster is nil where there are no other hosts.
	Broadcaster Broadcaster
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	suspects *simplelru.LRU[Fingerprint, *suspect]
	barred   *simplelru.LRU[Fingerprint, time.Time]
}

// suspect is what is held against one fingerprint.
type suspect struct {
	marks []held
	// pending counts the runs that broke off and whose backend server has not been asked yet.
	pending int
	// settled is closed at the next verdict on a pending run.
	settled chan struct{}
	// running holds this host's runs of the fingerprint while it is marked.
	running map[*Run]struct{}
	// elsewhere holds the last start on each backend server by other hosts.
	elsewhere map[string]time.Time
}

type held struct {
	Mark
	at time.Time
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// init makes the zero value ready; the caller holds the lock.
func (t *Table) init() {
	if t.suspects != nil {
		return
	}
	t.suspects, _ = simplelru.NewLRU[Fingerprint, *suspect](maxSuspects, nil)
	t.barred, _ = simplelru.NewLRU[Fingerprint, time.Time](maxBarred, nil)
}

// Verdict is what a table says about the start of a fingerprint.
type Verdict struct {
	Barred bool
	// Settled is closed when it is known why an earlier run broke off; nil if all of them are settled.
	Settled <-chan struct{}
	// Wait is the time for which the start is to be put off.
	Wait time.Duration
}

// Check returns a *refuse.Error if the fingerprint is barred. It first waits until it is known why earlier runs
// broke off, and for the fingerprint's turn among those marked by the same death; it waits at most a second.
func (t *Table) Check(ctx context.Context, f Fingerprint) error {
	ctx, stop := context.WithTimeout(ctx, verdictBound)
	defer stop()
	for ctx.Err() == nil {
		v := t.Evaluate(f)
		if v.Barred {
			return &refuse.Error{Code: refuse.CodeQuarantined, Message: "backend servers died of requests with the fingerprint " + f.String(), Run: refuse.NotRun}
		}
		if v.Settled == nil && v.Wait == 0 {
			return nil
		}
		if v.Settled != nil {
			v.Wait = verdictBound
		}
		select {
		case <-v.Settled:
		case <-time.After(v.Wait):
		case <-ctx.Done():
		}
	}
	return nil
}

// Evaluate returns the verdict at this moment.
func (t *Table) Evaluate(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if t.isBarred(f) {
		return Verdict{Barred: true}
	}
	s, ok := t.suspects.Get(f)
	if !ok {
		return Verdict{}
	}
	if s.pending > 0 {
		return Verdict{Settled: s.settled}
	}
	return Verdict{Wait: t.turn(f, s)}
}

func (t *Table) isBarred(f Fingerprint) bool {
	at, ok := t.barred.Get(f)
	if ok && t.now().Sub(at) >= barTTL {
		t.barred.Remove(f)
		return false
	}
	return ok
}

// turn returns the time until the fingerprint's turn: recently marked ones start in the order of their numbers.
func (t *Table) turn(f Fingerprint, s *suspect) time.Duration {
	now := t.now()
	if s.deaths(now) == 0 {
		return 0
	}
	before := 0
	for _, other := range t.suspects.Keys() {
		o, _ := t.suspects.Peek(other)
		if other < f && o.isRecent(now) {
			before++
		}
	}
	due := s.marks[len(s.marks)-1].at.Add(settle + time.Duration(min(before, maxSlots))*slot)
	return max(0, due.Sub(now))
}

// Bar bars a fingerprint on another host's word.
func (t *Table) Bar(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if !t.isBarred(f) {
		t.barred.Add(f, t.now())
	}
}

// IsBarred reports whether the fingerprint is barred now.
func (t *Table) IsBarred(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.isBarred(f)
}

// Barred returns all barred fingerprints.
func (t *Table) Barred() []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.barred.Keys()
}

// Add takes a mark, of this host or another one, and reports whether it bars the fingerprint.
// Runs that started before an earlier death on the same backend server ended in that same death.
func (t *Table) Add(m Mark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.add(m)
}

func (t *Table) add(m Mark) bool {
	now := t.now()
	s := t.suspect(m.Fingerprint)
	started := now.Add(-m.Age)
	for _, h := range s.marks {
		if h.Backend == m.Backend && !started.After(h.at) {
			return false
		}
	}
	s.expire(now)
	s.marks = append(s.marks, held{Mark: m, at: now})
	if len(s.marks) < deathsToBar {
		return false
	}
	t.barred.Add(m.Fingerprint, now)
	return true
}

// ClearMarks forgets the marks of a fingerprint that has run past them.
func (t *Table) ClearMarks(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if s, ok := t.suspects.Peek(f); ok {
		s.marks = nil
		clear(s.elsewhere)
	}
}

// Avoid returns the backend servers on which a marked fingerprint must not start, because another one
// runs there that may be the guilty one.
func (t *Table) Avoid(f Fingerprint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := t.now()
	if s, ok := t.suspects.Peek(f); !ok || s.deaths(now) == 0 {
		return nil
	}
	var list []string
	for _, other := range t.suspects.Keys() {
		s, _ := t.suspects.Peek(other)
		if other == f || s.deaths(now) == 0 {
			continue
		}
		for r := range s.running {
			list = append(list, r.backend)
		}
		for backend, at := range s.elsewhere {
			if now.Sub(at) < apartTTL {
				list = append(list, backend)
			}
		}
	}
	return list
}

// StartedRemotely notes that another host starts a marked fingerprint on a backend server.
func (t *Table) StartedRemotely(f Fingerprint, backend string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if s, ok := t.suspects.Peek(f); ok {
		s.elsewhere[backend] = t.now()
	}
}

// suspect returns what is held against a fingerprint; the caller holds the lock.
func (t *Table) suspect(f Fingerprint) *suspect {
	s, ok := t.suspects.Get(f)
	if !ok {
		s = &suspect{settled: make(chan struct{}), running: make(map[*Run]struct{}), elsewhere: make(map[string]time.Time)}
		t.suspects.Add(f, s)
	}
	return s
}

func (s *suspect) deaths(now time.Time) int {
	s.expire(now)
	return len(s.marks)
}

func (s *suspect) isRecent(now time.Time) bool {
	return len(s.marks) > 0 && now.Sub(s.marks[len(s.marks)-1].at) < recent
}

func (s *suspect) expire(now time.Time) {
	kept := s.marks[:0]
	for _, h := range s.marks {
		if now.Sub(h.at) < markTTL {
			kept = append(kept, h)
		}
	}
	s.marks = kept
}

// point returns the number of tokens that a run must pass to lift the marks.
func (s *suspect) point() int {
	most := 0
	for _, h := range s.marks {
		most = max(most, h.Tokens)
	}
	return most
}
