package call

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// Guard quarantines calls that crash backend servers.
type Guard interface {
	// Check returns a *refuse.Error if calls with this fingerprint are quarantined.
	Check(ctx context.Context, f poison.Fingerprint) error
	// Avoid returns the backend servers on which such a call must not start if there are others.
	Avoid(f poison.Fingerprint) []string
	// Started records that such a call starts on a backend server.
	Started(f poison.Fingerprint, backend string) *poison.Run
}

// isGuarded reports whether the call has a distinctive fingerprint. A call without body and query is the same for
// all callers of its path, so it is in progress on every backend server that crashes, whatever the cause.
func (t *execution) isGuarded() bool {
	return t.Guard != nil && len(t.call.Body)+len(t.call.Query) > 0
}

// place waits for a backend server, if possible one on which no other call suspected of crashes runs.
func (t *execution) place(ctx context.Context) (sched.Ticket, error) {
	if !t.isGuarded() {
		return t.Placer.Place(ctx, t.call.Place)
	}
	if err := t.Guard.Check(ctx, t.print); err != nil {
		return nil, err
	}
	avoiding := t.call.Place
	avoiding.Exclude = append(t.Guard.Avoid(t.print), t.call.Place.Exclude...)
	ticket, err := t.Placer.Place(ctx, avoiding)
	if errors.Is(err, &refuse.Error{Code: refuse.CodeNoBackend}) && len(avoiding.Exclude) > len(t.call.Place.Exclude) {
		return t.Placer.Place(ctx, t.call.Place)
	}
	return ticket, err
}

// startGuarded records that the call starts on a backend server; it returns nil if the call is not guarded.
func (t *execution) startGuarded(backend string) *poison.Run {
	if !t.isGuarded() {
		return nil
	}
	return t.Guard.Started(t.print, backend)
}

// reportEnd records how a guarded send ended. A connection that breaks before the answer counts as a crash of the
// backend server, because a plain service has no other sign of one; a timeout and a broken answer do not.
func reportEnd(run *poison.Run, s SendResult) {
	switch {
	case s.Event == EventAnswered:
		run.Ended(true)
	case s.Event != EventLost, isContextError(s.Err), errors.IsAny(s.Err, ErrAnswerTooLarge, ErrNoMemory, head.ErrInvalid), s.Err == nil:
		run.Ended(false)
	default:
		run.Died()
	}
}

func fingerprint(c Call) poison.Fingerprint {
	return poison.FingerprintOf(c.Place.Workspace, c.Place.Service, c.Method+" "+c.Path+"?"+c.Query+"\n"+string(c.Body))
}
