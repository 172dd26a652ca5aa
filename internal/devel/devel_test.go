package devel_test

import (
	"io"
	"log/slog"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/devel"
)

func TestTryLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	spec, err := devel.SpecByName("federacion")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), spec, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer v.Stop()
	assert.NilError(t, v.WaitReady(t.Context()))
	assert.NilError(t, v.Try(t.Context(), io.Discard))
}
