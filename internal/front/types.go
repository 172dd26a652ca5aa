// Package front is the reverse proxy towards callers: it finds a request's route, workspace and backend server, forwards
// the request unchanged and returns a complete answer, or an error that states whether the request may have run.
package front

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

// Call holds the headers of a caller's request in decoded form.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if it states none.
	Timeout time.Duration
	Key     string
	// Parts are the IDs of the prompt's parts, in order. Requests share parts; the last one belongs to this request or its
	// session.
	Parts []string
	// Prompt and MaxOutput are token counts stated by the caller; OutputHint is its estimate of the output tokens.
	Prompt     int
	MaxOutput  int
	OutputHint int
	// LastEvent is the ID of the event after which a stream is to be resumed; empty for a new stream.
	LastEvent string
	// Header holds the headers that are passed on to the backend server unchanged.
	Header http.Header
}

// Copy identifies a copy of a run's engine memory (its KV cache).
type Copy struct {
	// Address is the backend server in whose namespace Name is valid.
	Address netip.AddrPort
	Name    string
}

// ForwardMetadata is what the host adds to a request that it forwards to a backend server.
type ForwardMetadata struct {
	Server    string
	Workspace string
	// Timeout is the time left for the backend server to answer.
	Timeout time.Duration
	// StandbyAddress is the backend server that receives the run's standby copy as it grows; invalid for no copy.
	StandbyAddress netip.AddrPort
	// ResumeFrom is the copy that the run is resumed from; empty for a new run.
	ResumeFrom Copy
	LastEvent  string
}

// Reply holds the headers of an answer in decoded form.
type Reply struct {
	// ID is the attempt that the answer belongs to; empty if the answer states none.
	ID string
	// IsNotRun reports whether the backend server states that it did not run the request.
	IsNotRun bool
	// IsSigned reports whether the answer carries the backend server's signature.
	IsSigned bool
	// Instance is the ID of the backend server that answered; empty if the answer states none.
	Instance string
	// States is what the backend server states of itself.
	States notice.Statement
}

// HeaderCodec translates between the platform's headers and the types of this package.
type HeaderCodec interface {
	Decode(r *http.Request) Call
	Encode(c Call, s ForwardMetadata) http.Header
	Reply(status int, h http.Header) Reply
	// ResponseHeaders returns the headers of a backend server's answer that the caller receives.
	ResponseHeaders(h http.Header) http.Header
}

// Copies copies the engine memory of runs between backend servers.
type Copies interface {
	// Copy sends the memory of a run from backend server at to another one and returns the copy. The run continues meanwhile. Its errors
	// may be ErrNoRun or ErrRefused.
	Copy(ctx context.Context, at netip.AddrPort, run string, to netip.AddrPort) (Copy, error)
	// Move is a Copy that ends the run first.
	Move(ctx context.Context, at netip.AddrPort, run string, to netip.AddrPort) (Copy, error)
	// Connect opens a connection to backend server at for MoveOver.
	Connect(ctx context.Context, at netip.AddrPort) (*send.Conn, error)
	// MoveOver is Move over an open connection to backend server at, which it closes.
	MoveOver(ctx context.Context, conn *send.Conn, at netip.AddrPort, run string, to netip.AddrPort) (Copy, error)
	// Free deletes a copy that a backend server holds.
	Free(ctx context.Context, at netip.AddrPort, name string) error
}

// Others ends runs through other hosts.
type Others interface {
	// Move is Move of Copies by a host that reaches the backend server.
	Move(ctx context.Context, at pool.Server, run string, to pool.Server) (Copy, error)
}

// Errors of Copies.
var (
	// ErrNoRun says that a backend server does not work on a run.
	ErrNoRun = errors.New("backend server has no such run")
	// ErrRefused says that a backend server refused a call; whether it works on the run is open.
	ErrRefused = errors.New("backend server refused the call")
	// ErrUnanswered says of an ErrRefused that the backend server was connected to and did not answer, such as one that resets connections
	// because it has as many as it accepts.
	ErrUnanswered = errors.New("backend server did not answer the call")
)

// RoutingState is the configuration and the backend servers that requests are routed by.
type RoutingState struct {
	Tables *policy.Holder
	Pool   *pool.Pool
}
