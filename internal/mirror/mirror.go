// Package mirror lets a few hosts of each region read the store for all others.
package mirror

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// Errors of reading.
var (
	// ErrHistoryGone says that the changes since a revision are not known any more, so that all documents are due.
	ErrHistoryGone = errors.New("the history since this revision is gone")
	// ErrNotReading says that a host does not read the store itself or has not reached it lately.
	ErrNotReading = errors.New("host does not follow the store")
)

const (
	// maxAge is the age of a confirmation from which documents are not handed on any more. It exceeds twice the
	// longest wait for changes.
	maxAge = 4500 * time.Millisecond
	// maxReadingAge is the same for the kind by which a host's reading is judged, which is confirmed more often.
	maxReadingAge = 2500 * time.Millisecond
)

// Document is one object of the store, still encoded.
type Document struct {
	Name     string
	Revision int64
	Body     []byte
}

// Batch is all documents of a kind or the changes after a revision.
type Batch struct {
	Revision int64
	Changed  []Document
	Removed  []string
	// Age is how long before the answer the store surely confirmed the batch.
	Age time.Duration
}

// Store reads documents.
type Store interface {
	// List returns all documents of a kind.
	List(ctx context.Context, kind string) (Batch, error)
	// Changes waits for changes after a revision; an empty batch says that the wait is over.
	Changes(ctx context.Context, kind string, since int64, wait time.Duration) (Batch, error)
}

// Readers tells which host reads the store for this one.
type Readers interface {
	// Reader returns the reading host; false if this host reads the store itself.
	Reader() (Host, bool)
	// IsPreferredReader reports whether this host is the one to read of those that are heard, whether they reach the store or not.
	IsPreferredReader() bool
	// MayRead reports whether this host may read the store while no other host reads it for this one.
	MayRead() bool
	// Hosts returns the number of hosts that share the store's rate.
	Hosts() int
}

// Mirror reads the store, or asks the host that reads it for this one. It keeps what it has read from the store for
// the hosts that ask here.
type Mirror struct {
	Store   Store
	Readers Readers
	Link    *Link
	Log     *slog.Logger

	mu    sync.Mutex
	kinds map[string]*cache
	// avoid holds until when a host that failed is not asked again.
	avoid map[string]time.Time
	// failed is when the store last failed to answer this host, whatever it was asked for; zero if it has answered since.
	failed time.Time
}

const (
	// avoidFor is how long a host that failed to answer is not asked again.
	avoidFor = 500 * time.Millisecond
	// hostsPerSecond is the number of hosts that may call a failing store in one second.
	hostsPerSecond = 15
	// maxPause bounds the time between two calls of one host to a failing store.
	maxPause = 4 * time.Second
)

// List returns all documents of a kind.
func (m *Mirror) List(ctx context.Context, kind string) (Batch, error) {
	if b, err := m.ask(ctx, kind, 0, 0); err == nil {
		return b, nil
	}
	if !m.Readers.MayRead() || m.isHeldBack() {
		return Batch{}, ErrNotReading
	}
	began := ticks.Now()
	b, err := m.Store.List(ctx, kind)
	m.note(err)
	if err == nil {
		m.cache(kind).replace(b, began)
	}
	return b, err
}

// isHeldBack reports whether this host leaves a failing store alone for now. The host that is to read tries on.
func (m *Mirror) isHeldBack() bool {
	if m.Readers.IsPreferredReader() {
		return false
	}
	pause := min(maxPause, time.Duration(m.Readers.Hosts())*time.Second/hostsPerSecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.failed) < pause
}

// note keeps when a call of the store failed.
func (m *Mirror) note(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		m.failed = time.Time{}
	} else {
		m.failed = time.Now()
	}
}

// Changes waits for changes after a revision.
func (m *Mirror) Changes(ctx context.Context, kind string, since int64, wait time.Duration) (Batch, error) {
	b, err := m.ask(ctx, kind, since, wait)
	if err == nil || errors.Is(err, ErrHistoryGone) {
		return b, err
	}
	if _, others := m.Readers.Reader(); !others && !m.cache(kind).isAt(since) {
		// This host has become the one that reads for others, which need all documents.
		return Batch{}, ErrHistoryGone
	}
	if m.isHeldBack() {
		return Batch{}, ErrNotReading
	}
	began := ticks.Now()
	b, err = m.Store.Changes(ctx, kind, since, wait)
	m.note(err)
	switch {
	case err == nil:
		m.cache(kind).apply(b, since, began)
	case errors.Is(err, ErrHistoryGone):
		m.cache(kind).drop()
	}
	return b, err
}

// ask asks the host that reads for this one; ErrNotReading means that this host has to read for itself.
func (m *Mirror) ask(ctx context.Context, kind string, since int64, wait time.Duration) (Batch, error) {
	reader, ok := m.Readers.Reader()
	if !ok || m.isAvoided(reader.Name) {
		return Batch{}, ErrNotReading
	}
	b, err := m.Link.Read(ctx, reader, kind, since, wait)
	if err == nil && b.Age > maxAge {
		err = errors.Newf("what host %s has read is %s old", reader.Name, b.Age)
	}
	if err == nil || errors.Is(err, ErrHistoryGone) || ctx.Err() != nil {
		return b, err
	}
	m.mu.Lock()
	if m.avoid == nil {
		m.avoid = make(map[string]time.Time)
	}
	m.avoid[reader.Name] = time.Now().Add(avoidFor)
	m.mu.Unlock()
	m.Log.Info("reading host lost", "host", reader.Name, "kind", kind, "error", err)
	return Batch{}, ErrNotReading
}

func (m *Mirror) isAvoided(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.avoid[host])
}

// IsReading reports whether this host may read for others: it has lately been confirmed by the store itself.
func (m *Mirror) IsReading(kind string) bool {
	_, age, ok := m.cache(kind).state()
	return ok && age <= maxReadingAge
}

func (m *Mirror) cache(kind string) *cache {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[string]*cache)
	}
	c := m.kinds[kind]
	if c == nil {
		c = newCache()
		m.kinds[kind] = c
	}
	return c
}
