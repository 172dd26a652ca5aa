package devel_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/pkg/client"
)

func startDeployment(t *testing.T) (*devel.Deployment, devel.Spec) {
	t.Helper()
	spec, err := devel.SpecByName("federacion")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), spec, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(v.Stop)
	assert.NilError(t, v.WaitReady(t.Context()))
	return v, spec
}

func setFaults(v *devel.Deployment, f model.Faults) {
	for _, e := range v.Engines {
		e.SetFaults(f)
	}
}

// TestStreamThroughFaults reads a stream while all engines stop sending or crash after a third of the tokens.
func TestStreamThroughFaults(t *testing.T) {
	const tokens = 60
	v, spec := startDeployment(t)
	tests := []struct {
		name         string
		faults       model.Faults
		wantComplete bool
	}{
		{"stalled connections", model.Faults{StallStreams: true}, true},
		{"crashed engines", model.Faults{Dead: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &client.Client{Hosts: v.CallerAddrs, Key: devel.CallerKey}
			defer c.Close()
			defer setFaults(v, model.Faults{})
			got, longestGap, lastToken := 0, time.Duration(0), time.Now()
			var gotErr error
			for _, err := range c.Stream(t.Context(), client.Prompt{Model: spec.ModelService, Text: tt.name, MaxTokens: tokens}) {
				if err != nil {
					gotErr = err
					continue
				}
				got++
				longestGap = max(longestGap, time.Since(lastToken))
				lastToken = time.Now()
				if got == tokens/3 {
					setFaults(v, tt.faults)
				}
			}
			if tt.wantComplete {
				assert.NilError(t, gotErr)
				assert.Equal(t, got, tokens)
				assert.Assert(t, longestGap < 3*time.Second, "longest gap %s", longestGap)
				return
			}
			var streamErr *client.Error
			assert.Assert(t, errors.As(gotErr, &streamErr), "%v", gotErr)
			assert.Assert(t, errors.Is(streamErr, client.ErrPartial))
			assert.Equal(t, streamErr.TokensDelivered, got)
		})
	}
}

// TestCrashingRequestIsQuarantined sends a request that crashes its engine to each host in turn, twice: it must be
// quarantined after at most two crashes, and other requests must still run.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	v, spec := startDeployment(t)
	setFaults(v, model.Faults{KillPrompt: "killer"})
	defer setFaults(v, model.Faults{})
	var lastErr error
	for range 2 {
		for _, host := range v.CallerAddrs {
			lastErr = sendOnce(t, host, spec.ModelService, "killer")
			time.Sleep(100 * time.Millisecond)
		}
	}
	crashes := 0
	for _, e := range v.Engines {
		crashes += e.Counters().Deaths
	}
	assert.Assert(t, crashes <= 2, "%d crashes", crashes)
	assert.Assert(t, errors.Is(lastErr, client.ErrQuarantined), "%v", lastErr)
	assert.NilError(t, sendOnce(t, v.CallerAddrs[0], spec.ModelService, "innocent"))
}

func sendOnce(t *testing.T, host netip.AddrPort, service, prompt string) error {
	t.Helper()
	c := &client.Client{Hosts: []netip.AddrPort{host}, Key: devel.CallerKey, Sendings: 1}
	defer c.Close()
	for _, err := range c.Stream(t.Context(), client.Prompt{Model: service, Text: prompt, MaxTokens: 5}) {
		if err != nil {
			return err
		}
	}
	return nil
}
