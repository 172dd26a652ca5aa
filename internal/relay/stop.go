package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	probeTimeout     = 300 * time.Millisecond
	cancelTimeout    = 300 * time.Millisecond
	cancelRetryPause = 50 * time.Millisecond
	// cancelLimit bounds the cancels after the answer's end.
	cancelLimit = time.Second
)

// endProof says how an abandoned attempt is known to have ended, as logged.
type endProof string

const (
	// proofNone says that nothing is known.
	proofNone endProof = "none"
	// proofCancelled says that the engine answered that it has ended the attempt.
	proofCancelled endProof = "cancelled"
	// proofGone says that the engine answered that it does not have the attempt.
	proofGone endProof = "gone"
	// proofNotListening says that the engine's process has ended.
	proofNotListening endProof = "not_listening"
)

// abandoned is an attempt whose work is to be ended.
type abandoned struct {
	request string
	attempt int
	backend config.Backend
	cause   Cause
	// run is nil if it is known whether the engine crashed.
	run *poison.Run
}

// stopInBackground ends an abandoned attempt on its engine without blocking: with a non-nil run it first finds out whether
// the engine crashed, then it repeats the cancel until the attempt is known to have ended, for at most the limit and, after
// the end of ctx, cancelLimit. The proof is sent on the returned channel.
func (r *Relay) stopInBackground(ctx context.Context, a abandoned, limit time.Duration) <-chan endProof {
	began := time.Now()
	ended := make(chan endProof, 1)
	background, stop := context.WithTimeout(context.WithoutCancel(ctx), limit+cancelLimit)
	release := context.AfterFunc(ctx, func() { time.AfterFunc(cancelLimit, stop) })
	r.cancels.Go(func() {
		defer stop()
		defer release()
		r.reportEngineState(background, a)
		proof := r.cancel(background, a)
		for proof == proofNone && background.Err() == nil {
			select {
			case <-time.After(cancelRetryPause):
				proof = r.cancel(background, a)
			case <-background.Done():
			}
		}
		r.logEnd(background, a, proof, time.Since(began))
		ended <- proof
	})
	return ended
}

// logEnd logs how an abandoned attempt is known to have ended.
func (r *Relay) logEnd(ctx context.Context, a abandoned, proof endProof, took time.Duration) {
	level := slog.LevelInfo
	switch {
	case proof == proofNone:
		level = slog.LevelWarn
	case a.cause == CauseCallerLeft:
		level = slog.LevelDebug
	}
	r.Log.Log(ctx, level, "attempt abandoned", "request_id", a.request, "attempt", a.attempt,
		"backend", a.backend.Name, "cause", a.cause.String(), "proof", string(proof), "took", took)
}

// reportEngineState reports to the attempt's run whether the engine crashed or only the connection failed: a crashed engine
// refuses connections, or has restarted and does not have the request.
func (r *Relay) reportEngineState(ctx context.Context, a abandoned) {
	if a.run == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	_, err := r.Engines.Progress(ctx, a.backend.Address, AttemptID(a.request, a.attempt))
	if err == nil || ctx.Err() != nil || errors.IsAny(err, engine.ErrRefused, head.ErrInvalid) {
		a.run.Survived()
		return
	}
	a.run.Died()
}

// cancel asks the engine once to end the attempt and returns what shows that it has ended.
func (r *Relay) cancel(ctx context.Context, a abandoned) endProof {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	err := r.Engines.Cancel(ctx, a.backend.Address, AttemptID(a.request, a.attempt))
	switch {
	case err == nil:
		return proofCancelled
	case errors.Is(err, engine.ErrGone):
		return proofGone
	case errors.Is(err, engine.ErrNotListening):
		return proofNotListening
	default:
		return proofNone
	}
}
