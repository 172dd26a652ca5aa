package gossip

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trickle is a Registry whose calls end with their context, as calls to a store do that sends a byte now and then.
type trickle struct{ limits chan time.Duration }

func (r trickle) Register(ctx context.Context, _ string, _ netip.AddrPort) error { return r.wait(ctx) }

func (r trickle) Addresses(ctx context.Context) (map[string]netip.AddrPort, error) {
	return nil, r.wait(ctx)
}

func (r trickle) wait(ctx context.Context) error {
	limit := time.Duration(0)
	if end, ok := ctx.Deadline(); ok {
		limit = time.Until(end)
	}
	r.limits <- limit
	return context.DeadlineExceeded
}

// TestRegistryCallsThatNeverEnd guards against a store that keeps a host from registering for good.
func TestRegistryCallsThatNeverEnd(t *testing.T) {
	r := trickle{limits: make(chan time.Duration, 1)}
	m := start(t, r, "h1", 1, false)
	limit := <-r.limits
	assert.Assert(t, limit > 0 && limit <= listPeriod, "time limit of %s", limit)
	m.listRegistered(t.Context())
	limit = <-r.limits
	assert.Assert(t, limit > 0 && limit <= listPeriod, "time limit of %s", limit)
}
