// Package group runs the activities of a host concurrently and stops all of them together.
package group

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Run runs the activities until one of them returns, or until ctx ends and drain has returned. It then cancels the
// context of the others, waits for them and returns the combined errors. That context also ends with abort.
func Run(ctx, abort context.Context, drain func(), activities []func(context.Context) error) error {
	work, stop := context.WithCancel(abort)
	defer stop()
	ended := make(chan error, len(activities))
	for _, run := range activities {
		go func() { ended <- run(work) }()
	}
	var first error
	running := len(activities)
	select {
	case first = <-ended:
		running--
	case <-ctx.Done():
		drain()
	}
	stop()
	for range running {
		first = errors.CombineErrors(first, <-ended)
	}
	return first
}
