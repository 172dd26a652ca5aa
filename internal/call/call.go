// Package call carries plain calls to backend servers of plain services.
//
// A call that may not be repeated reaches at most one backend server. A call that may be repeated is
// retried within a budget that the whole host shares, with exponential backoff and full jitter
// (Brooker, "Exponential Backoff And Jitter", 2015), and never past the caller's deadline.
package call

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// ErrClaimed says that another sending of the same idempotency key has claimed the run.
var ErrClaimed = errors.New("idempotency key is claimed")

// Placer grants starts on backend servers.
type Placer interface {
	Place(ctx context.Context, r sched.Request) (sched.Ticket, error)
}

// Budget bounds the retries of a host by its arrivals.
type Budget interface {
	// Arrived counts one call of a caller.
	Arrived()
	// Allow reports whether one more retry is within the budget, and takes it.
	Allow() bool
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until ctx ends, whose error it returns.
	Sleep(ctx context.Context, d time.Duration) error
}

// Sender sends one call to one backend server.
type Sender interface {
	Send(ctx context.Context, addr netip.AddrPort, c Call, o SendOptions) SendResult
}

// SendOptions bound one send.
type SendOptions struct {
	// Limit bounds the send; Left is the time until the caller's deadline.
	Limit time.Duration
	Left  time.Duration
	// Fresh asks for a connection that has carried nothing yet.
	Fresh bool
}

// SendResult is how one send ended.
type SendResult struct {
	Event Event
	// Answer is set with EventAnswered, and with EventRefused if the backend server answered.
	Answer Answer
	// Err is the cause of an event other than EventAnswered.
	Err error
}

// IdempotencyStore remembers over all hosts which calls with an idempotency key ran.
type IdempotencyStore interface {
	// Lookup returns the answer of an earlier sending with the same key; found is false if there was none.
	// An earlier sending that runs is waited for until the call's deadline.
	Lookup(ctx context.Context, c Call) (a Answer, found bool, err error)
	// Claim takes the right to run the call; ErrClaimed says that another sending has it.
	Claim(ctx context.Context, c Call) (Claim, error)
}

// Claim is the right to run a call with an idempotency key.
type Claim interface {
	// Complete records how the call ended; the answer counts in the state Answered only.
	Complete(ctx context.Context, s State, a Answer)
}

// Call is one plain call of a caller.
type Call struct {
	Place  sched.Request
	Method string
	// Path and Query are those behind the service's name.
	Path  string
	Query string
	// RawPath is the path as it was sent where that differs from an encoding of Path; else it is empty.
	RawPath string
	Header  http.Header
	Body    []byte
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// RefusesBeforeRun says that a backend server's status 503 means that no part of the call ran.
	RefusesBeforeRun bool
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// FirstSending says that the caller vouches that it has not sent the key before.
	FirstSending bool
	// Deadline bounds the call as a whole.
	Deadline time.Time
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// SystemClock is the machine's own clock.
type SystemClock struct{}

// Now returns the time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends, whose error it returns.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
