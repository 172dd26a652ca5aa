// Package group runs the activities of a host together and ends them together.
package group

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Run runs the activities until the first of them ends, or until ctx ends and drain has returned. Then it ends them
// all and returns their errors. The activities get a context that ends with abort at the latest.
func Run(ctx, abort context.Context, drain func(), activities []func(context.Context) error) error {
	work, stop := context.WithCancel(abort)
	defer stop()
	ended := make(chan error, len(activities))
	for _, run := range activities {
		go func() { ended <- run(work) }()
	}
	var first error
	left := len(activities)
	select {
	case first = <-ended:
		left--
	case <-ctx.Done():
		drain()
	}
	stop()
	for range left {
		first = errors.CombineErrors(first, <-ended)
	}
	return first
}
