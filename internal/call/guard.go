package call

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// Guard bars calls that make backend servers die.
type Guard interface {
	// Check returns a *refuse.Error if calls with this fingerprint are barred.
	Check(ctx context.Context, f poison.Fingerprint) error
	// Avoid returns the backend servers on which such a call must not start if there are others.
	Avoid(f poison.Fingerprint) []string
	// Started notes that such a call starts on a backend server.
	Started(f poison.Fingerprint, backend string) *poison.Run
}

// isGuarded reports whether a call can be told from others. A call without body and query is the same for all
// callers of its path, so that it runs on every backend server that dies.
func (t *try) isGuarded() bool {
	return t.Guard != nil && len(t.call.Body)+len(t.call.Query) > 0
}

// place waits for a backend server, apart from those on which another suspect runs.
func (t *try) place(ctx context.Context) (sched.Ticket, error) {
	if !t.isGuarded() {
		return t.Placer.Place(ctx, t.call.Place)
	}
	if err := t.Guard.Check(ctx, t.print); err != nil {
		return nil, err
	}
	apart := t.call.Place
	apart.Exclude = append(t.Guard.Avoid(t.print), t.call.Place.Exclude...)
	ticket, err := t.Placer.Place(ctx, apart)
	if errors.Is(err, &refuse.Error{Code: refuse.CodeNoBackend}) && len(apart.Exclude) > len(t.call.Place.Exclude) {
		return t.Placer.Place(ctx, t.call.Place)
	}
	return ticket, err
}

// guarded notes a call that starts on a backend server; the result is nil where calls are not guarded.
func (t *try) guarded(backend string) *poison.Run {
	if !t.isGuarded() {
		return nil
	}
	return t.Guard.Started(t.print, backend)
}

// tell notes how a guarded send ended. A connection that breaks before the answer counts as the backend
// server's death, for a plain service shows nothing else of it; a send that ran out of time does not.
func tell(run *poison.Run, s SendResult) {
	switch {
	case s.Event == EventAnswered:
		run.Ended(true)
	case s.Event != EventLost, isEnd(s.Err), errors.Is(s.Err, ErrAnswerTooLarge), s.Err == nil:
		run.Ended(false)
	default:
		run.Died()
	}
}

func fingerprint(c Call) poison.Fingerprint {
	return poison.FingerprintOf(c.Place.Workspace, c.Place.Service, c.Method+" "+c.Path+"?"+c.Query+"\n"+string(c.Body))
}
