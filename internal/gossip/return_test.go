package gossip

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
)

// countingRegistry counts the calls that register a host.
type countingRegistry struct{ registered atomic.Int32 }

func (r *countingRegistry) Register(context.Context, string, netip.AddrPort) error {
	r.registered.Add(1)
	return nil
}

func (r *countingRegistry) Addresses(context.Context) (map[string]netip.AddrPort, error) {
	return nil, nil
}

// TestHostRegistersAgainAfterAReturn guards against hosts that a copy of the store lacks, which hosts that start would not find, and against
// hosts that all register at the same moment.
func TestHostRegistersAgainAfterAReturn(t *testing.T) {
	// rewriteTime is the time in which the hosts have registered again.
	const rewriteTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		r, eras := &countingRegistry{}, &epoch.Tracker{Log: log}
		assert.NilError(t, eras.Observe(1))
		ctx, cancel := context.WithCancel(t.Context())
		const hosts = 83
		ended := make(chan struct{}, hosts)
		for range hosts {
			g := New()
			g.Registry, g.Eras, g.Log = r, eras, log
			go func() { g.discover(ctx); ended <- struct{}{} }()
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, int(r.registered.Load()), hosts)
		for era := int64(2); era < 4; era++ {
			before := int(r.registered.Load())
			assert.NilError(t, eras.Observe(era))
			time.Sleep(registerSpread / 10)
			assert.Assert(t, int(r.registered.Load())-before < hosts/3, "%d hosts at once", int(r.registered.Load())-before)
			time.Sleep(rewriteTime)
			assert.Equal(t, int(r.registered.Load())-before, hosts)
			time.Sleep(10 * time.Second)
			assert.Equal(t, int(r.registered.Load())-before, hosts, "once for each return")
		}
		cancel()
		for range hosts {
			<-ended
		}
	})
}
