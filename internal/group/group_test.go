package group

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	failure := errors.New("listener broke")
	untilEnd := func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
	tests := []struct {
		name       string
		isStopped  bool
		activities []func(context.Context) error
		drained    bool
		err        error
	}{
		{"stopped from outside", true, []func(context.Context) error{untilEnd, untilEnd}, true, nil},
		{"one ends with an error", false, []func(context.Context) error{untilEnd, func(context.Context) error { return failure }}, false, failure},
		{"one ends by itself", false, []func(context.Context) error{untilEnd, func(context.Context) error { return nil }}, false, nil},
		{"an error while the others end", true, []func(context.Context) error{untilEnd, func(ctx context.Context) error {
			<-ctx.Done()
			return failure
		}}, true, failure},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tc.isStopped {
				cancel()
			}
			drained := false
			err := Run(ctx, t.Context(), func() { drained = true }, tc.activities)
			assert.ErrorIs(t, err, tc.err)
			assert.Equal(t, drained, tc.drained)
		})
	}
}
