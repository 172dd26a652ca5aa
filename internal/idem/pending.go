package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	// recordAnswerTimeout is how long an answer to the caller may be delayed in order to record it.
	recordAnswerTimeout = 500 * time.Millisecond
	// pendingLimit bounds the time for which a pending write is retried, maxPending the number of pending writes.
	pendingLimit = 10 * time.Minute
	maxPending   = 512
	// unknownCreationLimit is how long Flush looks for a record to delete if it is unknown whether its creation succeeded.
	unknownCreationLimit = 30 * time.Second
	// flushBatch bounds the writes that one flush tries.
	flushBatch = 32
)

// pendingWrite is a change of a record that the store has not confirmed.
type pendingWrite struct {
	key     string
	attempt string
	// version is the record's version; zero means unknown.
	version object.Version
	// value is the record to write; nil means that the record is deleted.
	value []byte
	since time.Time
}

// pendingWrites holds the writes to retry, oldest first. When it is full, new ones are dropped; their records then
// still say that the call may have run.
type pendingWrites struct {
	mu   sync.Mutex
	list []*pendingWrite
}

func (l *pendingWrites) add(s *pendingWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < maxPending {
		l.list = append(l.list, s)
	}
}

func (l *pendingWrites) take(n int) []*pendingWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, len(l.list))
	batch := l.list[:n:n]
	l.list = l.list[n:]
	return batch
}

// Flush retries up to flushBatch pending writes and drops those older than their limit. After the first store error it
// keeps the rest for the next flush.
func (k *Registry) Flush(ctx context.Context) {
	down := false
	for _, s := range k.pending.take(flushBatch) {
		if k.Clock.Now().Sub(s.since) > s.limit() {
			continue
		}
		if down {
			k.pending.add(s)
			continue
		}
		done, err := k.apply(ctx, s)
		down = err != nil
		if !done {
			k.pending.add(s)
		}
	}
}

// limit returns the time for which the write is retried.
func (s *pendingWrite) limit() time.Duration {
	if s.version == 0 {
		return unknownCreationLimit
	}
	return pendingLimit
}

// apply tries one write; done says that nothing is left to do, an error that the store failed.
// Because it expects the record's version, a retry of a change that took effect changes nothing.
func (k *Registry) apply(ctx context.Context, s *pendingWrite) (done bool, err error) {
	if s.version == 0 {
		return k.deleteIfCreated(ctx, s)
	}
	if s.value == nil {
		return applied(k.Store.Delete(ctx, s.key, s.version))
	}
	_, err = k.Store.Put(ctx, s.key, s.value, s.version)
	return applied(err)
}

// applied treats a conflict as success: the same change took effect before, or the record was deleted.
func applied(err error) (done bool, failure error) {
	if err == nil || errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound) {
		return true, nil
	}
	return false, err
}

// deleteIfCreated deletes a claim's record if its creation succeeded after all. A record that is not found may still
// appear, so done is false then.
func (k *Registry) deleteIfCreated(ctx context.Context, s *pendingWrite) (done bool, err error) {
	o, err := k.Store.Get(ctx, s.key)
	if errors.Is(err, object.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r, err := decode(o)
	if err != nil || r.Attempt != s.attempt {
		return true, nil
	}
	return applied(k.Store.Delete(ctx, s.key, o.Version))
}
