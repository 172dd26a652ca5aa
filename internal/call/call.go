// Package call sends the calls of callers to the backend servers of plain services, which serve no model.
//
// A call that may not be repeated reaches at most one backend server. A call that may be repeated is
// retried within a budget shared by the whole host, with exponential backoff and full jitter
// (Brooker, "Exponential Backoff And Jitter", 2015), and never past the caller's deadline.
package call

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// ErrClaimed says that another request with the same idempotency key has the right to run the call.
var ErrClaimed = errors.New("idempotency key is claimed")

// Placer assigns backend servers to calls.
type Placer interface {
	Place(ctx context.Context, r sched.Request) (sched.Ticket, error)
}

// Budget bounds the retries of a host in proportion to its arrivals.
type Budget interface {
	// Arrived counts one call of a caller.
	Arrived()
	// Allow reports whether the budget allows one more retry, and takes it from the budget.
	Allow() bool
}

// Clock returns the time and sleeps.
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
	// Limit bounds the duration of the send; Remaining is the time until the caller's deadline.
	Limit     time.Duration
	Remaining time.Duration
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
}

// SendResult is how one send ended.
type SendResult struct {
	Event Event
	// Answer is set with EventAnswered, and with EventRefused if the backend server answered.
	Answer Answer
	// Err is the cause of an event other than EventAnswered.
	Err error
}

// IdempotencyStore records, for all hosts together, which calls with an idempotency key ran.
type IdempotencyStore interface {
	// Lookup returns the answer to an earlier request with the same key; found is false if there was none.
	// If the earlier request is in progress, Lookup waits for it until the call's deadline.
	Lookup(ctx context.Context, c Call) (a Answer, found bool, err error)
	// Claim acquires the right to run the call. It returns ErrClaimed if another request has it.
	Claim(ctx context.Context, c Call) (Claim, error)
}

// Claim is the right to run a call with an idempotency key.
type Claim interface {
	// Complete records how the call ended; the answer is ignored unless the state is Answered.
	Complete(ctx context.Context, s State, a Answer)
}

// Call is one plain call of a caller.
type Call struct {
	Place  sched.Request
	Method string
	// Path is the part of the request's path after the service's name; Query is the raw query.
	Path  string
	Query string
	// RawPath is the encoded path as received if it differs from the default encoding of Path; else it is empty.
	RawPath string
	Header  http.Header
	Body    []byte
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// RefusesBeforeRun says that status 503 from a backend server means that no part of the call ran.
	RefusesBeforeRun bool
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// FirstSending says that the caller guarantees that it has not sent the key before.
	FirstSending bool
	// Deadline bounds the call as a whole.
	Deadline time.Time
	// Memory is what the answer's bytes are taken from, beyond the first of them, until the caller closes it; nil means no bound.
	Memory *memory.Account
}

// Answer is a backend server's complete answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// SystemClock is the Clock of the operating system.
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
