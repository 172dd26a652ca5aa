// Package canary moves a service's traffic to the backend servers of a new version as an operator orders it, and decides
// from the answers at all hosts whether the version replaces the old one or is given up.
package canary

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// State is the state of an order.
type State int

// The states of an order. The numbers travel between hosts.
const (
	// Unset is the state of an order whose status has not been written.
	Unset State = iota
	// InProgress is the state of an order in force.
	InProgress
	// Completed means that the new version has replaced the old one.
	Completed
	// Reverted means that the new version has been given up.
	Reverted
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case InProgress:
		return "in_progress"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "unset"
	}
}

// IsFinal reports whether an order in this state is past.
func (s State) IsFinal() bool { return s == Completed || s == Reverted }

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	Name     string
	Service  string
	Target   string
	Duration time.Duration
	// Status is the state that was written last, StatusTarget the target that it was written for.
	Status       State
	StatusTarget string
	// Revision is the revision of the object in the store; 0 if the order is known from other hosts' reports only.
	Revision int64
}

// State returns the order's state; a status that was written for another target does not count.
func (o Order) State() State {
	if o.StatusTarget != o.Target {
		return Unset
	}
	return o.Status
}

// Config bounds what a version that turns out to be bad may receive.
type Config struct {
	// Share is the part of a service's requests, and Tolerance the number beyond it, that a bad version may get.
	Share     float64
	Tolerance int
	// Revert is the time after the 50th bad answer from which the version gets no requests.
	Revert time.Duration
}

// Errors of StatusStore.
var (
	// ErrChanged means that the object has another revision than the one that the status was written for.
	ErrChanged = errors.New("order has changed")
	// ErrGone means that the order no longer exists.
	ErrGone = errors.New("order does not exist")
)

// StatusStore writes the status of orders.
type StatusStore interface {
	// WriteStatus writes an order's state if the order still has the given revision. It returns the order as it is in the
	// store, also with ErrChanged. Any other error but ErrGone leaves open whether the write took effect.
	WriteStatus(ctx context.Context, o Order, s State) (Order, error)
}
