// Package front serves callers: it finds a request's route, workspace and backend server, forwards it unchanged and
// carries the answer back whole or refuses honestly.
package front

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// Call is what a caller asked, read from its headers.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	Key     string
	// Prompt and MaxOutput are the numbers of tokens that the caller states; OutputHint is its estimate.
	Prompt     int
	MaxOutput  int
	OutputHint int
	// LastEvent is the ID of the event after which a stream is to go on; empty for a new stream.
	LastEvent string
	// Header holds what is passed on to the backend server unchanged.
	Header http.Header
}

// Copy names a copy of a run's memory.
type Copy struct {
	// Address is the backend server that the copy's name belongs to.
	Address netip.AddrPort
	Name    string
}

// ForwardMetadata is what the host adds to a request for one backend server.
type ForwardMetadata struct {
	Server    string
	Workspace string
	// Timeout is the time that the backend server may take.
	Timeout time.Duration
	// StandbyAddress is where the run's memory is to be copied as it grows; invalid for nowhere.
	StandbyAddress netip.AddrPort
	// ResumeFrom is the copy that the run goes on from; empty for a new run.
	ResumeFrom Copy
	LastEvent  string
}

// Reply is what an answer's headers say.
type Reply struct {
	// ID is the attempt that the answer belongs to.
	ID string
	// IsNotRun says that the backend server did not run the request.
	IsNotRun bool
	// IsSigned says that the answer carries the backend server's signature.
	IsSigned bool
}

// Dialect translates headers.
type Dialect interface {
	Decode(r *http.Request) Call
	Encode(c Call, s ForwardMetadata) http.Header
	Reply(status int, h http.Header) Reply
	// Answer returns the headers of a backend server's answer that the caller receives.
	Answer(h http.Header) http.Header
}

// Copies moves the memory of runs between backend servers.
type Copies interface {
	// Copy sends what a run holds to another backend server and returns the copy's name. The run goes on meanwhile.
	Copy(ctx context.Context, at netip.AddrPort, run string, to netip.AddrPort) (Copy, error)
	// Free gives up a copy that a backend server holds.
	Free(ctx context.Context, at netip.AddrPort, name string) error
}

// RoutingState are the tables that requests are decided by.
type RoutingState struct {
	Tables *policy.Holder
	Pool   *pool.Pool
}
