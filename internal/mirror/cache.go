package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// maxRemoved is the number of removals that a cache keeps; a host that has missed more needs a full list.
const maxRemoved = 512

// removal records that a document was deleted, and at which revision.
type removal struct {
	name     string
	revision int64
}

// cache holds the documents of one kind as read from the store.
type cache struct {
	mu        sync.Mutex
	documents map[string]Document
	removed   []removal
	// revision is the newest revision read; 0 means that the cache is invalid. removed is complete for the changes after
	// oldest.
	oldest, revision int64
	// confirmed is the reading of ticks.Now at which the store last confirmed revision.
	confirmed time.Duration
	// loading is the number of full lists that this host is reading from the store.
	loading int
	// changed is closed and replaced at each change and when a full list has failed.
	changed chan struct{}
	// packed are the batches of the newest revision that other hosts have read, oldest first.
	packed []*packedBatch
}

func newCache() *cache { return &cache{changed: make(chan struct{})} }

// replace sets the cache to a full list.
func (c *cache) replace(b Batch, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = make(map[string]Document, len(b.Changed))
	for _, d := range b.Changed {
		c.documents[d.Name] = d
	}
	c.removed, c.oldest, c.revision, c.confirmed = nil, b.Revision, b.Revision, confirmed
	c.notify()
}

// apply adds the changes that follow revision from. If the cache is not at that revision, it becomes invalid.
func (c *cache) apply(b Batch, from int64, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 || c.revision != from {
		c.revision = 0
		return
	}
	for _, d := range b.Changed {
		c.documents[d.Name] = d
	}
	for _, name := range b.Removed {
		delete(c.documents, name)
		c.removed = append(c.removed, removal{name: name, revision: b.Revision})
	}
	if excess := len(c.removed) - maxRemoved; excess > 0 {
		c.oldest = c.removed[excess-1].revision
		c.removed = c.removed[excess:]
	}
	c.revision, c.confirmed = max(c.revision, b.Revision), confirmed
	if len(b.Changed)+len(b.Removed) > 0 {
		c.notify()
	}
}

// invalidate discards the cache's state after missed changes.
func (c *cache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = 0
}

// load records that this host reads a full list from the store; loaded, that it has ended.
func (c *cache) load() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loading++
}

func (c *cache) loaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loading--
	if c.loading == 0 && c.revision == 0 {
		c.notify()
	}
}

func (c *cache) notify() {
	c.packed = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// isAt reports whether the cache is at a revision.
func (c *cache) isAt(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision == revision
}

// status returns the newest revision and the time since its confirmation; false if the cache is invalid.
func (c *cache) status() (revision int64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, ticks.Now() - c.confirmed, c.revision > 0
}

// left returns the time until the last confirmation is older than maxAge, negative after that, and maxAge before the first one.
func (c *cache) left(maxAge time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed == 0 {
		return maxAge
	}
	return maxAge - (ticks.Now() - c.confirmed)
}

// read returns all documents if since is 0, and otherwise the changes after it as soon as there are any; after wait it
// returns an empty batch. While this host reads the first list, read waits for it. The error is ErrNotReading, also as soon as
// the last confirmation is older than maxAge or the host has stopped reading for others, ErrLoading, ErrHistoryGone or that of ctx.
// The batch's age is that at the call. readsFor returns for how long the host reads for others if the store confirms nothing more.
func (c *cache) read(ctx context.Context, since int64, wait, maxAge time.Duration, readsFor func() time.Duration) (Batch, error) {
	asked, end := ticks.Now(), time.Now().Add(wait)
	for {
		waited := ticks.Now() - asked
		reads := readsFor()
		if reads < 0 {
			return Batch{}, ErrNotReading
		}
		b, changed, err := c.changesSince(since, maxAge)
		isLoading := errors.Is(err, ErrLoading)
		left := time.Until(end)
		if !isLoading && (err != nil || since == 0 || len(b.Changed)+len(b.Removed) > 0) || left <= 0 {
			b.Age -= waited
			return b, err
		}
		if !isLoading {
			left = min(left, maxAge-b.Age+time.Millisecond)
		}
		timer := time.NewTimer(min(left, reads+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Batch{}, ctx.Err()
		}
		timer.Stop()
	}
}

func (c *cache) changesSince(since int64, maxAge time.Duration) (Batch, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := ticks.Now() - c.confirmed
	if c.revision == 0 && c.loading > 0 {
		return Batch{}, c.changed, ErrLoading
	}
	if c.revision == 0 || age > maxAge {
		return Batch{}, nil, ErrNotReading
	}
	if since != 0 && since < c.oldest {
		return Batch{}, nil, ErrHistoryGone
	}
	b := Batch{Revision: c.revision, Age: age}
	for _, d := range c.documents {
		if since == 0 || d.Revision > since {
			b.Changed = append(b.Changed, d)
		}
	}
	if since != 0 {
		for _, r := range c.removed {
			if _, exists := c.documents[r.name]; r.revision > since && !exists {
				b.Removed = append(b.Removed, r.name)
			}
		}
	}
	return b, c.changed, nil
}
