package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	// settleLimit bounds the time by which recording an answer may delay it.
	settleLimit = 500 * time.Millisecond
	// lateLimit bounds the time for which a settlement is tried again, maxLate their number.
	lateLimit = 10 * time.Minute
	maxLate   = 512
	// abandonLimit bounds the time for which a record is looked for whose creation stayed unclear.
	abandonLimit = 30 * time.Second
	// flushBatch bounds the settlements that one pass tries.
	flushBatch = 32
)

// settlement is one change of a record that the store has not taken yet.
type settlement struct {
	key     string
	attempt string
	// version is the record's version; zero says that it is not known.
	version object.Version
	// value is the record to write; nil deletes it.
	value []byte
	since time.Time
}

// late holds the settlements to try again, oldest first; when it is full, the newest are dropped:
// their records then tell that the call may have run.
type late struct {
	mu   sync.Mutex
	list []*settlement
}

func (l *late) add(s *settlement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) < maxLate {
		l.list = append(l.list, s)
	}
}

func (l *late) take(n int) []*settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, len(l.list))
	batch := l.list[:n:n]
	l.list = l.list[n:]
	return batch
}

// Flush tries settlements again that the store did not take; it stops at the first that the store fails once more.
func (k *Registry) Flush(ctx context.Context) {
	down := false
	for _, s := range k.late.take(flushBatch) {
		if k.Clock.Now().Sub(s.since) > s.limit() {
			continue
		}
		if down {
			k.late.add(s)
			continue
		}
		done, err := k.settle(ctx, s)
		down = err != nil
		if !done {
			k.late.add(s)
		}
	}
}

// limit bounds the time for which the settlement is tried.
func (s *settlement) limit() time.Duration {
	if s.version == 0 {
		return abandonLimit
	}
	return lateLimit
}

// settle makes one change; done says that nothing is left to do, an error that the store failed.
// The version that it expects makes a repetition harmless: it changes nothing the second time.
func (k *Registry) settle(ctx context.Context, s *settlement) (done bool, err error) {
	if s.version == 0 {
		return k.abandon(ctx, s)
	}
	if s.value == nil {
		return settled(k.Store.Delete(ctx, s.key, s.version))
	}
	_, err = k.Store.Put(ctx, s.key, s.value, s.version)
	return settled(err)
}

// settled takes a conflict for success: the same change has taken effect before, or the record is gone.
func settled(err error) (done bool, failure error) {
	if err == nil || errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound) {
		return true, nil
	}
	return false, err
}

// abandon deletes the record of a claim whose creation stayed unclear; until it is found it may still appear.
func (k *Registry) abandon(ctx context.Context, s *settlement) (done bool, err error) {
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
	return settled(k.Store.Delete(ctx, s.key, o.Version))
}
