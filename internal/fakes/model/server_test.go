package model_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
)

// TestStartThatArrivesAfterItsCancelRuns checks that an engine that has answered a cancel never runs the request.
func TestStartThatArrivesAfterItsCancelRuns(t *testing.T) {
	s := model.NewServer(model.DefaultParams("m"))
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	c := engine.NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.NilError(t, c.Cancel(t.Context(), addr, "req"))
	_, err := c.Start(ctx, addr, engine.Request{ID: "req", Prompt: "p", PromptTokens: 1, MaxTokens: 3})
	assert.Assert(t, errors.Is(err, engine.ErrGone), "%v", err)
	assert.Equal(t, s.Counters().Starts, 0)
	_, err = c.Progress(t.Context(), addr, "req")
	assert.Assert(t, errors.Is(err, engine.ErrGone), "%v", err)
}
