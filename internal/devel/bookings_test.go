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

// TestBookingsUnderFailures sends each booking to several real hosts in turn, with one key, and counts the runs.
func TestBookingsUnderFailures(t *testing.T) {
	spec, err := devel.SpecByName("hallowbrook")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), spec, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer v.Stop()
	assert.NilError(t, v.WaitReady(t.Context()))
	tests := []struct {
		name  string
		plain plainfake.Faults
		store objapi.Faults
		// attempts is the number of attempts with one key, each by another client at the next host.
		attempts int
		wantRuns int
		wantErrs []error
	}{
		{"no failure", plainfake.Faults{}, objapi.Faults{}, 3, 1, nil},
		{"the server's answer is lost", plainfake.Faults{LoseAnswers: 1}, objapi.Faults{}, 3, 1, []error{client.ErrInterrupted, client.ErrMayHaveRun}},
		{"the store's answer is lost", plainfake.Faults{}, objapi.Faults{LoseAnswers: 1}, 3, 1, nil},
		{"the store is slow", plainfake.Faults{}, objapi.Faults{Delay: 100 * time.Millisecond}, 2, 1, nil},
		{"the store is down", plainfake.Faults{}, objapi.Faults{Down: true}, 1, 0, []error{client.ErrStoreUnavailable, client.ErrNotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, p := range v.PlainServers {
				p.SetFaults(tt.plain)
			}
			v.Store.SetFaults(tt.store)
			defer v.Store.SetFaults(objapi.Faults{})
			before := len(v.RunLog.Runs())
			key := client.NewKey()
			first := ""
			for i := range tt.attempts {
				c := &client.Client{Hosts: v.CallerAddrs[i : i+1], Key: devel.CallerKey, Sendings: 1}
				a, err := c.Book(t.Context(), client.Call{Service: spec.PlainService, Method: http.MethodPost, Path: spec.BookingPath, Body: []byte(tt.name), Key: key})
				c.Close()
				for _, want := range tt.wantErrs {
					assert.Assert(t, errors.Is(err, want), "%v", err)
				}
				if tt.wantErrs == nil {
					assert.NilError(t, err)
				}
				if i == 0 {
					first = string(a.Body)
				}
				assert.Equal(t, string(a.Body), first)
			}
			assert.Equal(t, len(v.RunLog.Runs())-before, tt.wantRuns)
		})
	}
}
