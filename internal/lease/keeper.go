package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	// stepsPerLease is the number of steps that a keeper takes in one lease duration.
	stepsPerLease = 30
	// storeTimeout bounds one read or write of the lease's object.
	storeTimeout = 2 * time.Second
)

// Store is the part of the object API that a lease needs.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
}

// Keeper competes for one lease and renews it while it holds it.
type Keeper struct {
	Store Store
	// Lease is the name of the lease; its object's key is object.PrefixLease followed by the name.
	Lease       string
	Holder      string
	Incarnation uint64
	Duration    time.Duration
	// IsCandidate reports whether this host is to compete for the lease; nil means always.
	IsCandidate func() bool
	Log         *slog.Logger

	mu   sync.Mutex
	core Core
}

// Name names the controller in logs.
func (k *Keeper) Name() string { return "lease " + k.Lease }

// Holds returns the right to act, and false if the lease is not held; it must be called right before each send.
func (k *Keeper) Holds(now time.Time) (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Holds(now)
}

// Run competes for the lease until ctx ends, then gives it back.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.core = Core{Holder: k.Holder, Incarnation: k.Incarnation, Duration: k.Duration}
	k.mu.Unlock()
	ticker := time.NewTicker(k.Duration / stepsPerLease)
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			k.release(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (k *Keeper) step(ctx context.Context) {
	_, held := k.Holds(time.Now())
	if !held && k.IsCandidate != nil && !k.IsCandidate() {
		return
	}
	k.mu.Lock()
	a := k.core.Next(time.Now())
	k.mu.Unlock()
	switch a.Step {
	case StepRead:
		k.read(ctx)
	case StepWrite:
		k.write(ctx, a)
	case StepWait:
	}
	if grant, now := k.Holds(time.Now()); now != held {
		k.Log.Info("lease changed hands", "lease", k.Lease, "held", now, "fence", grant.Fence)
	}
}

func (k *Keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := k.Store.Get(ctx, k.key())
	var r Record
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	if errors.Is(err, object.ErrNotFound) {
		err = nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.core.Failed(time.Now(), k.Duration/stepsPerLease)
		return
	}
	k.core.Read(r, o.Version, time.Now())
}

// write writes once; if the answer is lost, the next read shows whether the write took effect.
func (k *Keeper) write(ctx context.Context, a Action) {
	text, err := json.Marshal(a.Record)
	if err != nil {
		k.Log.Error("encode lease", "lease", k.Lease, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := k.Store.Put(ctx, k.key(), text, a.Expect)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.core.Failed(time.Now(), k.Duration/stepsPerLease)
		return
	}
	k.core.WriteSucceeded(a, o.Version, time.Now())
}

func (k *Keeper) release(ctx context.Context) {
	k.mu.Lock()
	a, ok := k.core.Release(time.Now())
	k.mu.Unlock()
	if ok {
		k.write(ctx, a)
	}
}

func (k *Keeper) key() string { return object.PrefixLease + k.Lease }
