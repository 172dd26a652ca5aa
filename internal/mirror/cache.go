package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
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
	// at is the newest position read; zero means that the cache is invalid. removed is complete for the changes after the revision
	// oldest of its era.
	at     epoch.Position
	oldest int64
	// eras is what this host knows of the store's era; a cache of an earlier one is about to be read again.
	eras *epoch.Tracker
	// confirmed is the reading of ticks.Now at which the store last confirmed revision.
	confirmed time.Duration
	// loading is the number of full lists that this host is reading from the store.
	loading int
	// changed is closed and replaced at each change and when a full list has failed.
	changed chan struct{}
	// packed are the batches of the newest revision that other hosts have read, oldest first.
	packed []*packedBatch
}

func newCache(eras *epoch.Tracker) *cache {
	c := &cache{eras: eras, changed: make(chan struct{})}
	// The cache lives as long as the tracker.
	_ = eras.OnChange(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.notify()
	})
	return c
}

// replace sets the cache to a full list.
func (c *cache) replace(b Batch, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = make(map[string]Document, len(b.Changed))
	for _, d := range b.Changed {
		c.documents[d.Name] = d
	}
	c.removed, c.oldest, c.at, c.confirmed = nil, b.At.Revision, b.At, confirmed
	c.notify()
}

// apply adds the changes that follow the position from. If the cache is not there, it becomes invalid.
func (c *cache) apply(b Batch, from epoch.Position, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() || c.at != from {
		c.at = epoch.Position{}
		return
	}
	for _, d := range b.Changed {
		c.documents[d.Name] = d
	}
	for _, name := range b.Removed {
		delete(c.documents, name)
		c.removed = append(c.removed, removal{name: name, revision: b.At.Revision})
	}
	if excess := len(c.removed) - maxRemoved; excess > 0 {
		c.oldest = c.removed[excess-1].revision
		c.removed = c.removed[excess:]
	}
	c.at, c.confirmed = c.at.Latest(b.At), confirmed
	if len(b.Changed)+len(b.Removed) > 0 {
		c.notify()
	}
}

// invalidate discards the cache's state after missed changes.
func (c *cache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = epoch.Position{}
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
	if c.loading == 0 && c.at.IsZero() {
		c.notify()
	}
}

func (c *cache) notify() {
	c.packed = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// isAt reports whether the cache is at a position.
func (c *cache) isAt(position epoch.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at == position
}

// status returns the time since the confirmation of the newest position; false if the cache is invalid.
func (c *cache) status() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ticks.Now() - c.confirmed, !c.at.IsZero()
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

// read returns all documents if since is zero, and otherwise the changes after it as soon as there are any; after wait it
// returns an empty batch. While this host reads the first list, read waits for it. The error is ErrNotReading, also as soon as
// the last confirmation is older than maxAge or the host has stopped reading for others, ErrLoading, ErrHistoryGone or that of ctx.
// The batch's age is that at the call. readsFor returns for how long the host reads for others if the store confirms nothing more.
func (c *cache) read(ctx context.Context, since epoch.Position, wait, maxAge time.Duration, readsFor func() time.Duration) (Batch, error) {
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
		if !isLoading && (err != nil || since.IsZero() || len(b.Changed)+len(b.Removed) > 0) || left <= 0 {
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

func (c *cache) changesSince(since epoch.Position, maxAge time.Duration) (Batch, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := ticks.Now() - c.confirmed
	isOfPastEra := !c.at.IsZero() && c.at.Era < c.eras.Newest()
	if isOfPastEra || c.at.IsZero() && c.loading > 0 {
		// This host lists the documents anew as soon as it learns of an era, so that others need not.
		return Batch{}, c.changed, ErrLoading
	}
	if since.Era == 0 && !since.IsZero() {
		// Hosts of an earlier version of the program name no era, and would list again and again.
		since.Era = c.at.Era
	}
	if c.at.IsZero() || age > maxAge || since.Era > c.at.Era {
		return Batch{}, nil, ErrNotReading
	}
	if !since.IsZero() && (since.Era < c.at.Era || since.Revision < c.oldest) {
		return Batch{}, nil, ErrHistoryGone
	}
	b := Batch{At: c.at, Age: age}
	for _, d := range c.documents {
		if since.IsZero() || d.Revision > since.Revision {
			b.Changed = append(b.Changed, d)
		}
	}
	if !since.IsZero() {
		for _, r := range c.removed {
			if _, exists := c.documents[r.name]; r.revision > since.Revision && !exists {
				b.Removed = append(b.Removed, r.name)
			}
		}
	}
	return b, c.changed, nil
}
