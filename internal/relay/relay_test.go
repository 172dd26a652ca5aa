package relay_test

import (
	"log/slog"
	"strconv"
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

func faultyEngine(change func(*faults)) faults {
	f := healthy()
	change(&f)
	return f
}

func TestRelayFinishesOrReportsProgress(t *testing.T) {
	const tokens = 100
	refusing := faultyEngine(func(f *faults) { f.refuse = true })
	startsLost := faultyEngine(func(f *faults) { f.loseStart = true })
	unreachable := faultyEngine(func(f *faults) { f.unreachable = true })
	tests := []struct {
		name    string
		engines []faults
		leaveAt int
		// want is the number of delivered tokens; run is empty for a complete answer.
		want   int
		run    refuse.Run
		starts int
	}{
		{"healthy", []faults{healthy()}, 0, tokens, "", 1},
		{"crashes before the first token", []faults{faultyEngine(func(f *faults) { f.crashesAt = 0 }), healthy()}, 0, tokens, "", 2},
		{"crashes after the first token", []faults{faultyEngine(func(f *faults) { f.crashesAt = 1 }), healthy()}, 0, 1, refuse.Partial, 1},
		{"crashes at the last token", []faults{faultyEngine(func(f *faults) { f.crashesAt = tokens }), healthy()}, 0, tokens, refuse.Partial, 1},
		{"connection hangs before the first token", []faults{faultyEngine(func(f *faults) { f.hangsAt = 0 }), healthy()}, 0, tokens, "", 1},
		{"connection hangs mid-stream", []faults{faultyEngine(func(f *faults) { f.hangsAt = 40 }), healthy()}, 0, tokens, "", 1},
		{"connection hangs before the end", []faults{faultyEngine(func(f *faults) { f.hangsAt = tokens }), healthy()}, 0, tokens, "", 1},
		{"frame of another request", []faults{faultyEngine(func(f *faults) { f.foreignFrameAt = 7 })}, 0, tokens, "", 1},
		{"another generation mid-stream", []faults{faultyEngine(func(f *faults) { f.newGenerationAt = 9 }), healthy()}, 0, 9, refuse.Partial, 2},
		{"late first answer", []faults{faultyEngine(func(f *faults) { f.delay = 9 * time.Second })}, 0, tokens, "", 1},
		{"start without an answer", []faults{faultyEngine(func(f *faults) { f.noFrames = true }), healthy()}, 0, tokens, "", 1},
		{"starts lost on hanging connections", []faults{startsLost, startsLost, healthy()}, 0, tokens, "", 1},
		{"no answer to start or probe", []faults{faultyEngine(func(f *faults) { f.noFrames, f.noProgress = true, true }), healthy()}, 0, tokens, "", 2},
		{"all refuse", []faults{refusing, unreachable}, 0, 0, refuse.NotRun, 0},
		{"refusal after a crash", []faults{faultyEngine(func(f *faults) { f.crashesAt = 0 }), refusing}, 0, 0, refuse.MayHaveRun, 1},
		{"caller leaves", []faults{healthy()}, 5, 5, refuse.Partial, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(tokens, tt.engines...)
				placer := &firstPlacer{fleet: fleet}
				r := &relay.Relay{Placer: placer, Engines: fleet, Log: slog.New(slog.DiscardHandler), Guard: &poison.Table{}, Budget: &budget.Retry{}}
				sink := &caller{leaveAt: tt.leaveAt}
				sum, err := r.Run(t.Context(), sched.Request{Service: "m"}, engine.Request{ID: "req", Prompt: "p"}, sink)
				returned := time.Now()
				r.Close()
				checkTokens(t, sink.tokens, tt.want)
				starts, runsLeft := 0, 0
				for _, e := range fleet.engines {
					starts += e.starts
					runsLeft += len(e.runs)
					for _, at := range e.cancels {
						assert.Assert(t, at.Sub(returned) < time.Second)
					}
				}
				assert.Equal(t, starts, tt.starts)
				if tt.run == "" {
					assert.NilError(t, err)
					assert.Equal(t, runsLeft, 1, "an engine holds an abandoned run")
					assert.Equal(t, sum, relay.Summary{Tokens: tokens, Finish: "stop"})
					return
				}
				refusal := refuse.From(err)
				assert.Equal(t, runsLeft, 0, "an engine holds an abandoned run")
				assert.Equal(t, refusal.Run, tt.run)
				assert.Equal(t, refusal.TokensDelivered, tt.want)
			})
		})
	}
}

// checkTokens checks that the tokens are the first ones of one generation.
func checkTokens(t *testing.T, got []string, want int) {
	t.Helper()
	assert.Equal(t, len(got), want)
	for i, token := range got {
		generation, _, _ := strings.Cut(got[0], "/")
		assert.Equal(t, token, generation+"/"+strconv.Itoa(i)+" ")
	}
}

func TestHangingStreamResumesWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(200, faultyEngine(func(f *faults) { f.hangsAt = 50 }))
		r := &relay.Relay{Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.DiscardHandler)}
		sink := &caller{}
		_, err := r.Run(t.Context(), sched.Request{}, engine.Request{ID: "req"}, sink)
		assert.NilError(t, err)
		assert.Equal(t, fleet.engines[0].resumes, 1)
		gap := sink.at[50].Sub(sink.at[49])
		assert.Assert(t, gap < 3*time.Second, "gap %s", gap)
	})
}

func TestSlowEngineIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, faultyEngine(func(f *faults) { f.gap = 4 * time.Second }))
		r := &relay.Relay{Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.DiscardHandler)}
		sink := &caller{}
		_, err := r.Run(t.Context(), sched.Request{}, engine.Request{ID: "req"}, sink)
		assert.NilError(t, err)
		assert.Equal(t, fleet.engines[0].resumes, 0)
		assert.Equal(t, fleet.engines[0].starts, 1)
	})
}

func TestGenerationContinuesOnAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(30, faultyEngine(func(f *faults) { f.crashesAt = 10 }), healthy())
		r := &relay.Relay{
			Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.DiscardHandler),
			Continues: func(service string) bool { return service == "m" },
		}
		sink := &caller{}
		sum, err := r.Run(t.Context(), sched.Request{Service: "m"}, engine.Request{ID: "req", Prompt: "p", MaxTokens: 99}, sink)
		r.Close()
		assert.NilError(t, err)
		assert.Equal(t, sum.Tokens, 40)
		checkTokens(t, sink.tokens[:10], 10)
		checkTokens(t, sink.tokens[10:], 30)
		continuation := fleet.engines[1].lastRequest
		assert.Equal(t, continuation.Prompt, "p"+strings.Join(sink.tokens[:10], ""))
		assert.Equal(t, continuation.MaxTokens, 89)
	})
}

func TestCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dying := faultyEngine(func(f *faults) { f.crashesAt = 0 })
		fleet := newFleet(10, dying, dying, dying, dying)
		table := &poison.Table{}
		r := &relay.Relay{Placer: &firstPlacer{fleet: fleet}, Engines: fleet, Log: slog.New(slog.DiscardHandler), Guard: table}
		request := engine.Request{ID: "req", Prompt: "killer"}
		placement := sched.Request{Workspace: "w", Service: "m"}
		for range 3 {
			_, err := r.Run(t.Context(), placement, request, &caller{})
			assert.Assert(t, refuse.From(err).Run != refuse.Partial)
		}
		r.Close()
		deaths := 0
		for _, e := range fleet.engines {
			deaths += e.boot
		}
		assert.Equal(t, deaths, 2)
		_, err := r.Run(t.Context(), placement, request, &caller{})
		assert.Equal(t, refuse.From(err).Code, refuse.CodeQuarantined)
		assert.NilError(t, table.Check(t.Context(), poison.FingerprintOf("w", "m", "innocent")))
	})
}
