// Package relay streams the tokens of one generation from an engine to a caller.
//
// Machine makes the decisions; a session does the I/O of one request.
package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// Placer assigns backend servers to requests.
type Placer interface {
	Place(ctx context.Context, r sched.Request) (sched.Ticket, error)
}

// Engines is a client for model engines.
type Engines interface {
	Start(ctx context.Context, addr netip.AddrPort, r engine.Request) (engine.Stream, error)
	Resume(ctx context.Context, addr netip.AddrPort, id, generation string, offset int) (engine.Stream, error)
	// Cancel returns nil or engine.ErrGone once the engine does not run the request, nor a start of it that arrives later.
	Cancel(ctx context.Context, addr netip.AddrPort, id string) error
	Progress(ctx context.Context, addr netip.AddrPort, id string) (engine.Progress, error)
	// DiscardPool stops the use of the idle connections to an engine, because one to it failed or timed out.
	DiscardPool(addr netip.AddrPort)
}

// Sink receives the tokens of one answer in order.
type Sink interface {
	// Token sends one token to the caller; an error means that the caller has left, or, if it is a *refuse.Error, why it gets no more.
	Token(text string) error
}

// Guard quarantines requests that crash backend servers.
type Guard interface {
	// Check returns a *refuse.Error if requests with this fingerprint are quarantined.
	Check(ctx context.Context, f poison.Fingerprint) error
	// Avoid returns the backend servers on which such a request must not start if there are others.
	Avoid(f poison.Fingerprint) []string
	// Started records that such a request starts on a backend server.
	Started(f poison.Fingerprint, backend string) *poison.Run
}

// Meter counts starts, resumes and invariant violations for the metrics.
type Meter interface {
	Started(ctx context.Context, service string)
	Resumed(ctx context.Context, service string)
	Violated(ctx context.Context, service string)
}

// Summary describes a complete answer.
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
	// Continues reports whether a service allows another generation to continue after the delivered tokens of a
	// lost one; nil means that none does.
	Continues func(service string) bool
	// Budget bounds the host's retries; nil allows them all.
	Budget *budget.Retry
	// Guard may be nil; then no request is quarantined.
	Guard Guard
	// Decisions records the steps of each request; nil records none.
	Decisions *board.Decisions
	// Meter may be nil; then nothing is counted.
	Meter Meter
	Log   *slog.Logger

	cancels sync.WaitGroup
}

// Run places the request, passes each token to the sink once and in order, and returns when the answer is complete.
// If it can't be completed, Run returns a *refuse.Error that says how many tokens were delivered.
func (r *Relay) Run(ctx context.Context, placement sched.Request, request engine.Request, sink Sink) (Summary, error) {
	return newSession(r, placement, request, sink).run(ctx)
}

// Close waits for the pending cancels of abandoned attempts, at most a second after the last Run has returned.
func (r *Relay) Close() { r.cancels.Wait() }
