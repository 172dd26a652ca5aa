package relay_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// TestEngineReceivesARequestThatAnotherOneWorksOn checks that an engine is sent a request only when no other one works on
// an earlier attempt of it.
func TestEngineReceivesARequestThatAnotherOneWorksOn(t *testing.T) {
	const tokens = 400
	tests := []struct {
		name  string
		fault func(*faults)
		// starts counts the requests that engines ran; run is empty for a complete answer.
		starts int
		run    refuse.Run
		// proof is how the log says that the first attempt is known to have ended.
		proof string
	}{
		{"the connection breaks before the first token", func(f *faults) { f.breaksAt = 0 }, 2, "", "cancelled"},
		{"and the path is silent for a while", func(f *faults) { f.breaksAt, f.silence = 0, 800*time.Millisecond }, 2, "", "cancelled"},
		{"and the path stays silent", func(f *faults) { f.breaksAt, f.silence = 0, time.Hour }, 1, refuse.MayHaveRun, "none"},
		{"and the engine's process has ended", func(f *faults) { f.breaksAt, f.stopsListening = 0, true }, 2, "", "not_listening"},
		{"and the engine does not have the request any more", func(f *faults) { f.breaksAt, f.forgets = 0, true }, 2, "", "gone"},
		{"the start has no answer", func(f *faults) { f.noFrames, f.silence = true, 3*time.Second }, 2, "", "cancelled"},
		{"the start arrives before its cancel", func(f *faults) { f.lateStart, f.silence = 3900*time.Millisecond, 4*time.Second }, 2, "", "cancelled"},
		{"the start arrives after its cancel", func(f *faults) { f.lateStart, f.silence = 4500*time.Millisecond, 4*time.Second }, 1, "", "cancelled"},
		{"the engine refuses probes", func(f *faults) { f.noFrames, f.noProgress = true, true }, 2, "", "cancelled"},
		{"mid-stream, and another generation continues", func(f *faults) { f.breaksAt, f.silence = 10, 7*time.Second }, 2, "", "cancelled"},
		{"mid-stream, and the path stays silent", func(f *faults) { f.breaksAt, f.silence = 10, time.Hour }, 1, refuse.Partial, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(tokens, faultyEngine(tt.fault), healthy())
				var log bytes.Buffer
				r := &relay.Relay{
					Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.NewTextHandler(&log, nil)),
					Guard: &poison.Table{}, Budget: &budget.Retry{},
					Continues: func(string) bool { return true },
				}
				_, err := r.Run(t.Context(), sched.Request{Service: "m"}, engine.Request{ID: "req", Prompt: "p", MaxTokens: 9999}, &caller{})
				r.Close()
				synctest.Wait()
				assert.Equal(t, fleet.engines[0].overlaps+fleet.engines[1].overlaps, 0, "two engines worked on the request")
				assert.Equal(t, fleet.engines[0].starts+fleet.engines[1].starts, tt.starts)
				assert.Assert(t, strings.Contains(log.String(), "attempt=1 "), log.String())
				assert.Assert(t, strings.Contains(log.String(), "proof="+tt.proof+" "), log.String())
				if tt.run == "" {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, refuse.From(err).Run, tt.run)
			})
		})
	}
}

// TestCallerLeavesWhileAnAttemptIsStopped checks that the answer ends immediately and the engine still gets the cancel.
func TestCallerLeavesWhileAnAttemptIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(400, faultyEngine(func(f *faults) { f.breaksAt, f.silence = 0, 800*time.Millisecond }), healthy())
		r := &relay.Relay{Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.DiscardHandler)}
		ctx, leave := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer leave()
		_, err := r.Run(ctx, sched.Request{Service: "m"}, engine.Request{ID: "req", Prompt: "p"}, &caller{})
		left := time.Now()
		assert.Equal(t, refuse.From(err).Run, refuse.MayHaveRun)
		assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
		r.Close()
		assert.Assert(t, time.Since(left) < time.Second)
		assert.Equal(t, len(fleet.engines[0].runs), 0, "the engine holds the abandoned run")
		assert.Equal(t, fleet.engines[1].starts, 0)
	})
}
