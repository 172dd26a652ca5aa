package devel_test

import (
	"errors"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	plainfake "github.com/tarragonspur/tarragonspur/internal/fakes/plain"
	"github.com/tarragonspur/tarragonspur/pkg/client"
)

// TestBookingsUnderFailures books through real hosts, each sending to the next host, and counts the runs.
func TestBookingsUnderFailures(t *testing.T) {
	d, err := devel.DeploymentByName("hallowbrook")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), d, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer v.Stop()
	assert.NilError(t, v.WaitReady(t.Context()))
	tests := []struct {
		name  string
		plain plainfake.Faults
		store objapi.Faults
		// sendings is the number of sendings of one key, each with a client of its own.
		sendings int
		runs     int
		want     []error
	}{
		{"no failure", plainfake.Faults{}, objapi.Faults{}, 3, 1, nil},
		{"the server's answer is lost", plainfake.Faults{LoseAnswers: 1}, objapi.Faults{}, 3, 1, []error{client.ErrInterrupted, client.ErrMayHaveRun}},
		{"the store's answer is lost", plainfake.Faults{}, objapi.Faults{LoseAnswers: 1}, 3, 1, nil},
		{"the store is slow", plainfake.Faults{}, objapi.Faults{Delay: 100 * time.Millisecond}, 2, 1, nil},
		{"the store is down", plainfake.Faults{}, objapi.Faults{Down: true}, 1, 0, []error{client.ErrStoreUnavailable, client.ErrNotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, p := range v.Plains {
				p.SetFaults(tt.plain)
			}
			v.Store.SetFaults(tt.store)
			defer v.Store.SetFaults(objapi.Faults{})
			before := len(v.Ledger.Runs())
			key := client.NewKey()
			first := ""
			for i := range tt.sendings {
				c := &client.Client{Hosts: v.Callers[i : i+1], Key: devel.CallerKey, MaxAttempts: 1}
				a, err := c.DoOnce(t.Context(), client.Call{Service: d.Plain, Method: http.MethodPost, Path: d.Booking, Body: []byte(tt.name), Key: key})
				c.Close()
				for _, want := range tt.want {
					assert.Assert(t, errors.Is(err, want), "%v", err)
				}
				if tt.want == nil {
					assert.NilError(t, err)
				}
				if i == 0 {
					first = string(a.Body)
				}
				assert.Equal(t, string(a.Body), first)
			}
			assert.Equal(t, len(v.Ledger.Runs())-before, tt.runs)
		})
	}
}
