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

func startDeployment(t *testing.T) (*devel.Devel, devel.Deployment) {
	t.Helper()
	d, err := devel.DeploymentByName("federacion")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), d, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(v.Stop)
	assert.NilError(t, v.WaitReady(t.Context()))
	return v, d
}

func setFaults(v *devel.Devel, f model.Faults) {
	for _, e := range v.Engines {
		e.SetFaults(f)
	}
}

// TestStreamThroughFaults runs a stream over the network while all engines go silent or die after some tokens.
func TestStreamThroughFaults(t *testing.T) {
	const tokens = 60
	v, d := startDeployment(t)
	tests := []struct {
		name   string
		faults model.Faults
		whole  bool
	}{
		{"silent connections", model.Faults{StallStreams: true}, true},
		{"dead engines", model.Faults{Dead: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &client.Client{Hosts: v.Callers, Key: devel.CallerKey}
			defer c.Close()
			defer setFaults(v, model.Faults{})
			got, longest, last := 0, time.Duration(0), time.Now()
			var failed error
			for _, err := range c.Stream(t.Context(), client.Prompt{Model: d.Model, Text: tt.name, MaxTokens: tokens}) {
				if err != nil {
					failed = err
					continue
				}
				got++
				longest = max(longest, time.Since(last))
				last = time.Now()
				if got == tokens/3 {
					setFaults(v, tt.faults)
				}
			}
			if tt.whole {
				assert.NilError(t, failed)
				assert.Equal(t, got, tokens)
				assert.Assert(t, longest < 3*time.Second, "longest gap %s", longest)
				return
			}
			var told *client.Error
			assert.Assert(t, errors.As(failed, &told), "%v", failed)
			assert.Assert(t, errors.Is(told, client.ErrPartial))
			assert.Equal(t, told.TokensDelivered, got)
		})
	}
}

// TestKillingRequestOverAllHosts sends a request that kills its engine to one host after the other.
func TestKillingRequestOverAllHosts(t *testing.T) {
	v, d := startDeployment(t)
	setFaults(v, model.Faults{KillPrompt: "killer"})
	defer setFaults(v, model.Faults{})
	var last error
	for range 2 {
		for _, host := range v.Callers {
			last = sendOnce(t, host, d.Model, "killer")
			time.Sleep(100 * time.Millisecond)
		}
	}
	deaths := 0
	for _, e := range v.Engines {
		deaths += e.Counters().Deaths
	}
	assert.Assert(t, deaths <= 2, "%d deaths", deaths)
	assert.Assert(t, errors.Is(last, client.ErrQuarantined), "%v", last)
	assert.NilError(t, sendOnce(t, v.Callers[0], d.Model, "innocent"))
}

func sendOnce(t *testing.T, host netip.AddrPort, service, prompt string) error {
	t.Helper()
	c := &client.Client{Hosts: []netip.AddrPort{host}, Key: devel.CallerKey, MaxAttempts: 1}
	defer c.Close()
	for _, err := range c.Stream(t.Context(), client.Prompt{Model: service, Text: prompt, MaxTokens: 5}) {
		if err != nil {
			return err
		}
	}
	return nil
}
