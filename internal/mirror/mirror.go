// Package mirror lets a few hosts of each region read the store on behalf of all others.
package mirror

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// Errors of reading.
var (
	// ErrHistoryGone means that the changes since a revision are no longer kept, so that a full list is needed.
	ErrHistoryGone = errors.New("the history since this revision is gone")
	// ErrNotReading means that a host does not read the store itself or has not reached it recently.
	ErrNotReading = errors.New("host does not read the store")
	// ErrUnreadable means that the store answered with something that can't be read, as another writer may leave it.
	ErrUnreadable = errors.New("answer of the store can't be read")
	// ErrLoading is an ErrNotReading of a host that is about to have its first list.
	ErrLoading = errors.Wrap(ErrNotReading, "first list is being read")
)

const (
	// maxAge is the default of Mirror.MaxAges. It exceeds twice the longest wait for changes.
	maxAge = 4500 * time.Millisecond
	// maxReaderAge is the default of Mirror.MaxReaderAge.
	maxReaderAge = 2500 * time.Millisecond
	// loadWait is how long one call for a list waits at a host that is reading its first one.
	loadWait = 300 * time.Millisecond
	// listTimeout bounds a list from the store, whose single calls end sooner: entries of other writers may make it long.
	listTimeout = 8 * time.Second
)

// Document is one object of the store, still encoded.
type Document struct {
	Name     string
	Revision int64
	Body     []byte
}

// Batch is all documents of a kind or the changes after a revision.
type Batch struct {
	At      epoch.Position
	Changed []Document
	Removed []string
	// Age is an upper bound of the time from the store's confirmation of the batch until the call for it; negative if the store
	// confirmed it during the call.
	Age time.Duration
}

// Store reads documents.
type Store interface {
	// List returns all documents of a kind.
	List(ctx context.Context, kind string) (Batch, error)
	// Changes waits for changes after a revision; it returns an empty batch if there are none within the wait.
	// The error is ErrHistoryGone if the position is of another era than the store's.
	Changes(ctx context.Context, kind string, since epoch.Position, wait time.Duration) (Batch, error)
}

// Readers selects the hosts that read the store.
type Readers interface {
	// Reader returns the host that reads the store for this one; false if this host reads it itself.
	Reader() (Host, bool)
	// IsPreferredReader reports whether this host is the live host to read the store, whether it reaches it or not.
	IsPreferredReader() bool
	// MayRead reports whether this host may read the store while no other host reads it for this one.
	MayRead() bool
	// Hosts returns the number of hosts that share the store's rate limit.
	Hosts() int
	// LostReader records that a host does not read the store for this one, until there is news of it.
	LostReader(host string)
}

// Mirror reads documents from the host that reads the store for this one, or else from the store. It caches what it has
// read from the store for other hosts.
type Mirror struct {
	Store   Store
	Readers Readers
	Link    *Link
	// Eras is what this host knows of the store's era.
	Eras *epoch.Tracker
	// ReaderKind is the kind that decides whether a host counts as reading the store.
	ReaderKind string
	// MaxReaderAge is the age of the last confirmation up to which documents of ReaderKind are passed on to other hosts; 0 means
	// 2.5 s. This kind is confirmed more often than others.
	MaxReaderAge time.Duration
	// MaxAges are the same for other kinds; 4.5 s for those that it does not hold.
	MaxAges map[string]time.Duration
	// MaxReaderDelay bounds how long a call for ReaderKind to another host may last beyond its wait while bytes arrive; 0 means
	// no bound.
	MaxReaderDelay time.Duration
	// MaxPause bounds the pause after calls to the store that failed; 0 means 4 s.
	MaxPause time.Duration
	Log      *slog.Logger

	mu    sync.Mutex
	kinds map[string]*cache
	// avoided is, by host, or by host and kind, the time until which it is not asked again after a failure.
	avoided map[avoidance]time.Time
	// firstFailure and lastFailure are when calls of any kind to the store first and last failed since one succeeded; zero if
	// none has. failedCall is when the latest of them had begun: a call to a silent store may fail when that has long been back.
	firstFailure time.Time
	lastFailure  time.Time
	failedCall   time.Time
	// lostAt is when a read from the reading host first failed or found none, zero after one that succeeded. This host calls
	// the store itself from directAt on.
	lostAt   time.Time
	directAt time.Time
}

// avoidance is a host that is not asked for a kind, or for any if the kind is empty.
type avoidance struct{ host, kind string }

const (
	// avoidDuration is how long a host that failed to answer is not asked again.
	avoidDuration = 500 * time.Millisecond
	// brokenDuration is the time in which failures count as one broken connection, and the pause after them.
	brokenDuration = 300 * time.Millisecond
	// maxCallingHostsPerSecond bounds how many hosts call a failing store in one second.
	maxCallingHostsPerSecond = 15
	// maxPause is the default of Mirror.MaxPause.
	maxPause = 4 * time.Second
	// minCallTime is the time that a call to the store has beyond its wait.
	minCallTime = 300 * time.Millisecond
	// takeoverHosts is the number of hosts above which a host that loses its reader waits up to maxTakeover for another one
	// to become the reader, so that not all of them call the store.
	takeoverHosts = 100
	maxTakeover   = 1200 * time.Millisecond
	// takeoverSkew concentrates these waits at the end, so that few hosts call the store until the first one is known.
	takeoverSkew = 1.0 / 8
)

// List returns all documents of a kind; ErrNotReading if this host must not call the store now.
func (m *Mirror) List(ctx context.Context, kind string) (Batch, error) {
	if b, err := m.readFromPeer(ctx, kind, epoch.Position{}, loadWait); err == nil || errors.Is(err, ErrLoading) {
		return b, err
	}
	if !m.Readers.MayRead() || m.isBackingOff() || m.awaitsReader() {
		return Batch{}, ErrNotReading
	}
	c := m.cache(kind)
	c.load()
	defer c.loaded()
	began, calledAt := ticks.Now(), time.Now()
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	b, err := m.Store.List(listCtx, kind)
	m.recordOutcome(calledAt, err)
	if err == nil {
		c.replace(b, began)
	}
	return b, err
}

// isBackingOff reports whether this host must not call a failing store yet. The preferred reader never backs off. Failures within
// a moment of the first one may be a connection that broke, so that the next call follows soon.
func (m *Mirror) isBackingOff() bool {
	if m.Readers.IsPreferredReader() {
		return false
	}
	longest := maxPause
	if m.MaxPause > 0 {
		longest = m.MaxPause
	}
	pause := min(longest, time.Duration(m.Readers.Hosts())*time.Second/maxCallingHostsPerSecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastFailure.Sub(m.firstFailure) < brokenDuration && time.Since(m.lastFailure) >= brokenDuration {
		return false
	}
	return time.Since(m.failedCall) < pause
}

// awaitsReader reports whether this host waits a moment for another one to read the store. The preferred reader never waits.
func (m *Mirror) awaitsReader() bool {
	if m.Readers.Hosts() <= takeoverHosts || m.Readers.IsPreferredReader() {
		return false
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lostAt.IsZero() {
		m.lostAt, m.directAt = now, now.Add(time.Duration(math.Pow(rand.Float64(), takeoverSkew)*float64(maxTakeover)))
	}
	return now.Before(m.directAt)
}

// recordOutcome records whether a call to the store, which began at a time, failed. An answer that can't be read is none of a
// failing store: other kinds may be well.
func (m *Mirror) recordOutcome(began time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrUnreadable) {
		m.firstFailure, m.lastFailure, m.failedCall = time.Time{}, time.Time{}, time.Time{}
		return
	}
	m.lastFailure = time.Now()
	if m.firstFailure.IsZero() {
		m.firstFailure = m.lastFailure
	}
	if began.After(m.failedCall) {
		m.failedCall = began
	}
}

// Changes waits for changes after a position; ErrHistoryGone means that a full list is needed, also as soon as the position's era has
// ended.
func (m *Mirror) Changes(ctx context.Context, kind string, since epoch.Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer m.Eras.OnChange(func() { cancel(ErrHistoryGone) })()
	if since.Era < m.Eras.Newest() {
		return Batch{}, ErrHistoryGone
	}
	b, err := m.changes(ctx, kind, since, wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrHistoryGone) {
		return Batch{}, errors.CombineErrors(ErrHistoryGone, err)
	}
	return b, err
}

func (m *Mirror) changes(ctx context.Context, kind string, since epoch.Position, wait time.Duration) (Batch, error) {
	b, err := m.readFromPeer(ctx, kind, since, wait)
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrLoading) {
		return b, err
	}
	if m.awaitsReader() {
		return Batch{}, ErrNotReading
	}
	if _, hasReader := m.Readers.Reader(); !hasReader && !m.cache(kind).isAt(since) {
		// This host has become the reader for others, which need a complete cache.
		return Batch{}, ErrHistoryGone
	}
	if m.isBackingOff() {
		return Batch{}, ErrNotReading
	}
	if deadline, ok := ctx.Deadline(); ok {
		// A call to another host may have used the time, which is no failure of the store.
		wait = min(wait, time.Until(deadline)-minCallTime)
		if wait < 0 {
			return Batch{}, errors.Wrap(ErrNotReading, "no time is left for a call to the store")
		}
	}
	began, calledAt := ticks.Now(), time.Now()
	b, err = m.Store.Changes(ctx, kind, since, wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrHistoryGone) {
		// A call that was ended for a new era is no failure of the store.
		err = errors.CombineErrors(ErrHistoryGone, err)
	}
	m.recordOutcome(calledAt, err)
	switch {
	case err == nil:
		m.cache(kind).apply(b, since, began)
	case errors.Is(err, ErrHistoryGone):
		m.cache(kind).invalidate()
	}
	return b, err
}

// readFromPeer reads from the host that reads the store for this one; ErrNotReading means that there is none or it failed,
// ErrLoading that it will have the documents soon.
func (m *Mirror) readFromPeer(ctx context.Context, kind string, since epoch.Position, wait time.Duration) (Batch, error) {
	reader, ok := m.Readers.Reader()
	if !ok || m.isAvoided(reader.Name, kind) {
		return Batch{}, ErrNotReading
	}
	b, err := m.Link.Read(ctx, reader, m.question(kind, since, wait))
	if err == nil {
		err = m.Eras.Observe(b.At.Era)
	}
	if err == nil && b.Age > m.maxAge(kind) {
		err = errors.Newf("documents of host %s are %s old", reader.Name, b.Age)
	}
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrLoading) || errors.Is(ctx.Err(), context.Canceled) {
		m.mu.Lock()
		m.lostAt = time.Time{}
		m.mu.Unlock()
		return b, err
	}
	m.avoid(reader.Name, kind, err)
	m.Log.Info("reading host lost", "host", reader.Name, "kind", kind, "error", err)
	return Batch{}, ErrNotReading
}

// avoid records that a host failed to answer, or that it does not read a kind. Only the kind that makes a host a reader keeps it
// from being asked for the others too.
func (m *Mirror) avoid(host, kind string, cause error) {
	a := avoidance{host: host}
	if errors.Is(cause, ErrNotReading) && kind != m.ReaderKind {
		a.kind = kind
	}
	m.Readers.LostReader(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.avoided == nil {
		m.avoided = make(map[avoidance]time.Time)
	}
	m.avoided[a] = time.Now().Add(avoidDuration)
}

func (m *Mirror) isAvoided(host, kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return now.Before(m.avoided[avoidance{host: host}]) || now.Before(m.avoided[avoidance{host, kind}])
}

// IsReading reports whether this host can read for others: the store itself has confirmed its documents recently.
func (m *Mirror) IsReading(kind string) bool {
	age, ok := m.cache(kind).status()
	return ok && age <= m.maxAge(kind)
}

// readsFor returns for how long this host reads for others if the store confirms nothing more: until documents of ReaderKind are too
// old. What it knows of other kinds may be younger or older than that, but the host may already have lost the store.
func (m *Mirror) readsFor() time.Duration {
	return m.cache(m.ReaderKind).left(m.maxAge(m.ReaderKind))
}

// maxAge returns the age of the last confirmation up to which documents of a kind are passed on.
func (m *Mirror) maxAge(kind string) time.Duration {
	switch {
	case kind != m.ReaderKind && m.MaxAges[kind] > 0:
		return m.MaxAges[kind]
	case kind != m.ReaderKind:
		return maxAge
	case m.MaxReaderAge > 0:
		return m.MaxReaderAge
	default:
		return maxReaderAge
	}
}

// question returns the question to another host.
func (m *Mirror) question(kind string, since epoch.Position, wait time.Duration) question {
	q := question{kind: kind, since: since, wait: wait}
	if kind == m.ReaderKind {
		q.maxDelay = m.MaxReaderDelay
	}
	return q
}

func (m *Mirror) cache(kind string) *cache {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[string]*cache)
	}
	c := m.kinds[kind]
	if c == nil {
		c = newCache(m.Eras)
		m.kinds[kind] = c
	}
	return c
}
