package call

import "github.com/cockroachdb/errors"

// ErrInvariant marks a violated invariant; it ends the call that it was found on and no other.
var ErrInvariant = errors.New("invariant violated")

// Invariant names a condition that must hold before each send of a call.
type Invariant string

// InvariantSingleSend says that a call that may not be repeated has not reached a backend server before.
const InvariantSingleSend Invariant = "single_send"

// invariantChecker counts the sends of a call independently of the Machine that decides on them. It is an always-on
// assertion ("Always-On Assertions & Fail-Stop"): a violation ends the call before it is sent again.
type invariantChecker struct{ reached int }

// check returns an error marked ErrInvariant if sending the call would violate an invariant.
func (l *invariantChecker) check(c Call) error {
	if c.Repeatable || l.reached == 0 {
		return nil
	}
	return errors.Mark(errors.Newf("%s: request %s has reached %d backend servers", InvariantSingleSend, c.Place.ID, l.reached), ErrInvariant)
}

// countSend counts a send that a backend server may have run.
func (l *invariantChecker) countSend(e Event) {
	if e == EventLost || e == EventAnswered {
		l.reached++
	}
}
