// Package recall keeps the evidence of quarantined keys in the platform's store, so that it outlasts a kill of all hosts.
package recall

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// savePeriod is the mean time between two looks for changes; hosts look at different times.
	savePeriod = 300 * time.Millisecond
	// retryDelay is the mean pause after a failed call, and maxRetryDelay that after several.
	retryDelay    = time.Second
	maxRetryDelay = 8 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 3 * time.Second
	// maxCopyAge is how long a removed key is remembered. The copies that stores come back from are some seconds old.
	maxCopyAge = time.Minute
)

// Saved is the evidence of a quarantined key as of a time.
type Saved struct {
	At       time.Time
	Evidence crash.Evidence
}

// Store holds the evidence of quarantined keys.
type Store interface {
	Load(ctx context.Context) ([]Saved, error)
	// Save writes the evidence of a key, in place of earlier evidence.
	Save(ctx context.Context, s Saved) error
	// Remove removes the evidence of a key; none is no error.
	Remove(ctx context.Context, key uint64) error
}

// Eras reports the returns of the store from a copy.
type Eras interface {
	// Changes returns their number, and when this host learned of the last one.
	Changes() (int, time.Time)
}

// Keeper reads the saved evidence when a host starts, and saves what the host finds out. Its exported fields are set before Run.
type Keeper struct {
	Table *crash.Table
	Store Store
	// Eras reports when the store has come back from a copy, which may lack what was saved and hold what was removed.
	Eras Eras
	Log  *slog.Logger

	// failures is the number of rounds of calls in a row of which one failed, hasFailed whether one of the present round has.
	failures  int
	hasFailed bool
	// returns is the number of returns of the store for which this host has written its keys again.
	returns int
	// written are the keys that this host has saved or removed, with the time of their removal, zero for saved ones.
	written map[uint64]time.Time
}

// Name implements site.Controller.
func (*Keeper) Name() string { return "quarantined keys" }

// Run runs until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for isLoaded := false; ; {
		k.hasFailed = false
		if !isLoaded {
			isLoaded = k.load(ctx)
		}
		k.rewrite()
		k.save(ctx)
		if k.hasFailed {
			k.failures++
		}
		if !ticks.Sleep(ctx, k.pause()) {
			return nil
		}
	}
}

// pause returns the time until the next calls.
func (k *Keeper) pause() time.Duration {
	pause := savePeriod
	if k.failures > 0 {
		pause = min(maxRetryDelay, retryDelay<<min(k.failures-1, 4))
	}
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// load adds the saved evidence to the table and reports whether it could be read.
func (k *Keeper) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := k.Store.Load(ctx)
	if !k.record(ctx, err) {
		return false
	}
	for _, s := range all {
		k.Table.Recall(s.Evidence, time.Since(s.At))
	}
	if len(all) > 0 {
		k.Log.Info("quarantined keys read", "count", len(all))
	}
	return true
}

// rewrite makes the keys that this host has written be written again once the store has come back from a copy. Each key is the matter of
// the host that has written it last; those of hosts that are gone are not written again.
func (k *Keeper) rewrite() {
	returns, _ := k.Eras.Changes()
	if returns == k.returns {
		return
	}
	k.returns = returns
	for key, removedAt := range k.written {
		if !removedAt.IsZero() && time.Since(removedAt) > maxCopyAge {
			delete(k.written, key)
			continue
		}
		k.Table.MarkUnsaved(key)
	}
	if len(k.written) > 0 {
		k.Log.Info("quarantined keys are written again", "count", len(k.written))
	}
}

// save writes the changes that this host has found out.
func (k *Keeper) save(ctx context.Context) {
	quarantined, ended := k.Table.TakeUnsaved()
	for _, e := range quarantined {
		k.change(ctx, e.Key, time.Time{}, "quarantined key saved", func(ctx context.Context) error { return k.Store.Save(ctx, Saved{At: time.Now(), Evidence: e}) })
	}
	for _, key := range ended {
		k.change(ctx, key, time.Now(), "quarantined key removed", func(ctx context.Context) error { return k.Store.Remove(ctx, key) })
	}
}

// change makes one call that changes a key's entry, and logs done; a call that fails is made again later. removedAt is zero for a key that
// is saved.
func (k *Keeper) change(ctx context.Context, key uint64, removedAt time.Time, done string, call func(context.Context) error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !k.record(ctx, call(callCtx)) {
		k.Table.MarkUnsaved(key)
		return
	}
	if k.written == nil {
		k.written = make(map[uint64]time.Time)
	}
	k.written[key] = removedAt
	k.Log.Info(done, "key", key)
}

// record counts and logs a failed call, and reports whether the call succeeded.
func (k *Keeper) record(ctx context.Context, err error) bool {
	if err == nil {
		if !k.hasFailed {
			k.failures = 0
		}
		return true
	}
	if ctx.Err() == nil || k.failures == 0 {
		k.Log.Info("store call failed", "kind", "quarantined keys", "failures", k.failures, "error", err)
	}
	k.hasFailed = true
	return false
}
