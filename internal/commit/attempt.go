package commit

import (
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// Step is the next store call of an attempt.
type Step int

// The steps of an attempt.
const (
	// StepPut creates the change's object on the condition that it doesn't exist.
	StepPut Step = iota
	// StepGet reads the change's object back.
	StepGet
	// StepDone says that the outcome is known.
	StepDone
)

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeUnknown says that the change may have been accepted.
	OutcomeUnknown Outcome = iota
	// OutcomeNotAccepted says that no call wrote the change.
	OutcomeNotAccepted
	// OutcomeAccepted says that the change is in the log.
	OutcomeAccepted
	// OutcomeConflict says that another change has the version.
	OutcomeConflict
)

// Attempt is the state machine that writes one change at one version. It does no I/O: the caller makes the call that
// Next returns and reports the response to Put or Get. If the response to a write is lost, the object is read back
// and the IDs are compared.
type Attempt struct {
	Entry change.Entry

	step Step
	// uncertain says that a write may have taken effect although its response was lost.
	uncertain bool
	outcome   Outcome
	winner    change.Change
	err       error
}

// Next returns the next call to make, or StepDone.
func (a *Attempt) Next() Step { return a.step }

// Outcome returns the outcome so far; it also holds for an attempt that is abandoned before StepDone.
func (a *Attempt) Outcome() Outcome {
	if a.step != StepDone && !a.uncertain {
		return OutcomeNotAccepted
	}
	return a.outcome
}

// Winner returns the change that took the version; it is set with OutcomeConflict, unless that
// change could not be decoded.
func (a *Attempt) Winner() change.Change { return a.winner }

// Err returns the error of the last call, or nil.
func (a *Attempt) Err() error { return a.err }

// Put records the response to StepPut.
func (a *Attempt) Put(err error) {
	a.err = err
	switch {
	case err == nil:
		a.finish(OutcomeAccepted)
	case errors.Is(err, object.ErrConflict):
		a.step = StepGet
	case errors.Is(err, object.ErrUnavailable) && !a.uncertain:
		a.finish(OutcomeNotAccepted)
	case errors.Is(err, object.ErrUnavailable):
		a.step = StepGet
	default:
		a.uncertain = true
		a.step = StepGet
	}
}

// Get records the response to StepGet. If the object is absent, it is created again with the same ID: should the
// earlier create still be in flight, one of the two succeeds and both write the same change.
func (a *Attempt) Get(o object.Object, err error) {
	a.err = err
	if errors.Is(err, object.ErrNotFound) {
		a.step = StepPut
		return
	}
	if err != nil {
		return
	}
	stored, err := change.Decode(o.Value)
	if err != nil {
		a.err = err
		a.finish(OutcomeConflict)
		return
	}
	if stored.Change.ID == a.Entry.Change.ID {
		a.finish(OutcomeAccepted)
		return
	}
	a.winner = stored.Change
	a.finish(OutcomeConflict)
}

func (a *Attempt) finish(o Outcome) {
	a.step = StepDone
	a.outcome = o
}
