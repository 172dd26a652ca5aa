package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// maxRemoved is the number of removals that a cache remembers; whoever has missed more needs a full list.
const maxRemoved = 512

// removal is a document that is gone.
type removal struct {
	name     string
	revision int64
}

// cache holds the documents of one kind as read from the store.
type cache struct {
	mu        sync.Mutex
	documents map[string]Document
	removed   []removal
	// since is the revision from which all changes are known, revision the newest; 0 means that nothing is known.
	since, revision int64
	confirmed       time.Duration
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newCache() *cache { return &cache{changed: make(chan struct{})} }

// replace takes a full list.
func (c *cache) replace(b Batch, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = make(map[string]Document, len(b.Changed))
	for _, d := range b.Changed {
		c.documents[d.Name] = d
	}
	c.removed, c.since, c.revision, c.confirmed = nil, b.Revision, b.Revision, confirmed
	c.wake()
}

// apply takes the changes after a revision; they are dropped if the cache has not followed up to there.
func (c *cache) apply(b Batch, since int64, confirmed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 || c.revision != since {
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
	if over := len(c.removed) - maxRemoved; over > 0 {
		c.since = c.removed[over-1].revision
		c.removed = c.removed[over:]
	}
	c.revision, c.confirmed = max(c.revision, b.Revision), confirmed
	if len(b.Changed)+len(b.Removed) > 0 {
		c.wake()
	}
}

// drop forgets everything, since changes were missed.
func (c *cache) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = 0
}

func (c *cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// isAt reports whether the cache holds the state of a revision.
func (c *cache) isAt(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision == revision
}

// state returns the newest revision and the age of its confirmation; false if nothing is known.
func (c *cache) state() (revision int64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, ticks.Now() - c.confirmed, c.revision > 0
}

// read returns all documents, or the changes after a revision as soon as there are any.
func (c *cache) read(ctx context.Context, since int64, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := c.after(since)
		if err != nil || since == 0 || len(b.Changed)+len(b.Removed) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			b, _, err := c.after(since)
			return b, err
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (c *cache) after(since int64) (Batch, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := ticks.Now() - c.confirmed
	if c.revision == 0 || age > maxAge {
		return Batch{}, nil, ErrNotReading
	}
	if since != 0 && since < c.since {
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
			if _, back := c.documents[r.name]; r.revision > since && !back {
				b.Removed = append(b.Removed, r.name)
			}
		}
	}
	return b, c.changed, nil
}
