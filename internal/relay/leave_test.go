package relay

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// leavingSink is a caller that leaves while a token is written to it.
type leavingSink struct{ leave context.CancelFunc }

func (s leavingSink) Token(string) error {
	s.leave()
	return context.Canceled
}

// TestCallerThatLeavesWithinATokenLeavesRunWithoutAnEnd guards against the end of an answer that is lost if the caller's context has
// ended too: Run never returned then, and used a processor until the host stopped.
func TestCallerThatLeavesWithinATokenLeavesRunWithoutAnEnd(t *testing.T) {
	const runs, limit = 40, 5 * time.Second
	r := &Relay{Placer: onePlacer{}, Engines: &listEngines{}, Log: slog.New(slog.DiscardHandler)}
	for n := range runs {
		ctx, leave := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := r.Run(ctx, sched.Request{}, engine.Request{ID: "req"}, leavingSink{leave})
			ended <- err
		}()
		select {
		case err := <-ended:
			assert.Equal(t, refuse.From(err).Run, refuse.MayHaveRun)
		case <-time.After(limit):
			t.Fatalf("run %d has not ended", n)
		}
	}
	r.Close()
}
