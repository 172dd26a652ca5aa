// Package assist lets hosts end runs for each other at backend servers that only some of them reach.
package assist

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/assist/astpb"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// ErrUnknown says that no other host found out whether a run has ended.
var ErrUnknown = errors.New("no other host reached the backend server")

// Mover ends runs. Its errors are those of front.Copies.
type Mover interface {
	Move(ctx context.Context, at netip.AddrPort, run string, to netip.AddrPort) (front.Copy, error)
}

// Servers is the host's view of backend servers.
type Servers interface {
	// ServerAt returns the backend server at an address.
	ServerAt(address netip.AddrPort) (pool.Server, bool)
	// WaitToResume returns how long a backend server wants no request that can't wait.
	WaitToResume(id string) time.Duration
	// Sent records a request to a backend server.
	Sent(id string)
}

// endingOf returns what the error of a call to end a run says.
func endingOf(err error) astpb.Ending {
	switch {
	case err == nil:
		return astpb.Ending_ENDING_MOVED
	case errors.Is(err, front.ErrNoRun):
		return astpb.Ending_ENDING_ABSENT
	case errors.Is(err, front.ErrRefused):
		return astpb.Ending_ENDING_REFUSED
	case errors.Is(err, syscall.ECONNREFUSED):
		return astpb.Ending_ENDING_GONE
	default:
		return astpb.Ending_ENDING_UNSPECIFIED
	}
}

// errorOf is the reverse of endingOf.
func errorOf(e astpb.Ending) error {
	switch e {
	case astpb.Ending_ENDING_MOVED:
		return nil
	case astpb.Ending_ENDING_ABSENT:
		return front.ErrNoRun
	case astpb.Ending_ENDING_REFUSED:
		return front.ErrRefused
	case astpb.Ending_ENDING_GONE:
		return syscall.ECONNREFUSED
	default:
		return ErrUnknown
	}
}
