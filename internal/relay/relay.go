// Package relay carries one generation's tokens from an engine to a caller.
//
// Machine decides, and a session around it does the I/O of one request.
package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

const (
	askTimeout    = 300 * time.Millisecond
	cancelTimeout = 300 * time.Millisecond
	cancelPause   = 50 * time.Millisecond
	cancelBound   = time.Second
)

// Placer grants starts on backend servers.
type Placer interface {
	Place(ctx context.Context, r sched.Request) (sched.Ticket, error)
}

// Engines speaks to model engines.
type Engines interface {
	Start(ctx context.Context, addr netip.AddrPort, r engine.Request) (engine.Stream, error)
	Resume(ctx context.Context, addr netip.AddrPort, id, generation string, offset int) (engine.Stream, error)
	Cancel(ctx context.Context, addr netip.AddrPort, id string) error
	Progress(ctx context.Context, addr netip.AddrPort, id string) (engine.Progress, error)
	// DiscardPool keeps new work off the idle connections to an engine, because one to it failed or went silent.
	DiscardPool(addr netip.AddrPort)
}

// Sink takes the tokens of one generation in order.
type Sink interface {
	// Token passes one token on; an error says that the caller has left.
	Token(text string) error
}

// Guard bars requests that make backend servers die.
type Guard interface {
	// Check returns a *refuse.Error if requests with this fingerprint are barred.
	Check(ctx context.Context, f poison.Fingerprint) error
	// Avoid returns the backend servers on which such a request must not start if there are others.
	Avoid(f poison.Fingerprint) []string
	// Started notes that such a request starts on a backend server.
	Started(f poison.Fingerprint, backend string) *poison.Run
}

// Meter counts what operators watch.
type Meter interface {
	Started(ctx context.Context, service string)
	Resumed(ctx context.Context, service string)
	Violated(ctx context.Context, service string)
}

// Summary is the end of a whole generation.
type Summary struct {
	Tokens int
	// Finish is "stop" or "length".
	Finish string
}

// Relay runs generations.
type Relay struct {
	Placer  Placer
	Engines Engines
	Rules   Rules
	// Continues reports whether a service allows another generation to go on after the tokens that the caller
	// has of a lost one; nil means that none does.
	Continues func(service string) bool
	// Budget bounds the host's retries; nil allows them all.
	Budget *budget.Retry
	// Guard is nil where no request is barred.
	Guard Guard
	// Decisions takes the steps of each request; nil records none.
	Decisions *board.Decisions
	// Meter is nil where nothing is counted.
	Meter Meter
	Log   *slog.Logger

	cancels sync.WaitGroup
}

// Run places the request, passes each token to the sink once and in order, and returns when the generation is whole.
// It returns a *refuse.Error that says how far the generation came when it can't be made whole.
func (r *Relay) Run(ctx context.Context, place sched.Request, ask engine.Request, sink Sink) (Summary, error) {
	return newSession(r, place, ask, sink).run(ctx)
}

// Close waits for the cancels of abandoned work, at most a second.
func (r *Relay) Close() { r.cancels.Wait() }

// abandon ends a generation on its engine in the background: it learns first whether the engine died with the
// run, where that is asked, and then sends the cancel again until cancelBound has passed.
func (r *Relay) abandon(ctx context.Context, addr netip.AddrPort, id string, run *poison.Run) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelBound)
	r.cancels.Go(func() {
		defer stop()
		r.judge(ctx, addr, id, run)
		for ctx.Err() == nil && r.cancel(ctx, addr, id) != nil {
			select {
			case <-time.After(cancelPause):
			case <-ctx.Done():
			}
		}
	})
}

// judge tells an engine that died from a connection that failed: a dead one refuses connections, or has
// restarted and does not know the request.
func (r *Relay) judge(ctx context.Context, addr netip.AddrPort, id string, run *poison.Run) {
	if run == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	_, err := r.Engines.Progress(ctx, addr, id)
	if err == nil || ctx.Err() != nil || errors.Is(err, engine.ErrRefused) {
		run.Survived()
		return
	}
	run.Died()
}

func (r *Relay) cancel(ctx context.Context, addr netip.AddrPort, id string) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	return r.Engines.Cancel(ctx, addr, id)
}
