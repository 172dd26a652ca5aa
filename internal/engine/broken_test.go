package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// TestBrokenAnswersOfEngines guards against a broken answer that passes for a stream, for a refusal, or for the proof that a generation
// has ended.
func TestBrokenAnswersOfEngines(t *testing.T) {
	answer := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	open := func(s engine.Stream, err error) error {
		if err == nil {
			s.Close()
		}
		return err
	}
	start := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		return open(c.Start(ctx, at, engine.Request{ID: "r"}))
	}
	resume := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		return open(c.Resume(ctx, at, "r", "g", 0))
	}
	cancel := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error { return c.Cancel(ctx, at, "r") }
	progress := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		_, err := c.Progress(ctx, at, "r")
		return err
	}
	load := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		_, err := c.Load(ctx, at)
		return err
	}
	events := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		_, err := c.CacheEvents(ctx, at, 0)
		return err
	}
	order := func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
		return c.Order(ctx, at, engine.Order{})
	}
	frames := `{"request":"r","generation":"g","offset":0,"token":"t"}` + "\n" + `{"request":"r","generation":"g","offset":1,"finish":"stop"}` + "\n"
	for _, tc := range []struct {
		name, sound string
		call        func(ctx context.Context, c *engine.Client, at netip.AddrPort) error
		// want is the result after the sound answer.
		want error
	}{
		{"start", answer(http.StatusOK, frames), start, nil},
		{"start that is refused", answer(http.StatusServiceUnavailable, ""), start, engine.ErrRefused},
		{"resume", answer(http.StatusOK, frames), resume, nil},
		{"resume of what is gone", answer(http.StatusNotFound, ""), resume, engine.ErrGone},
		{"cancel", answer(http.StatusOK, ""), cancel, nil},
		{"cancel without a body", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", cancel, nil},
		{"cancel of what is gone", answer(http.StatusGone, ""), cancel, engine.ErrGone},
		{"progress", answer(http.StatusOK, "{}"), progress, nil},
		{"load", answer(http.StatusOK, "{}"), load, nil},
		{"cache events", answer(http.StatusOK, "[]"), events, nil},
		{"order", answer(http.StatusAccepted, ""), order, nil},
		{"order that is too old", answer(http.StatusPreconditionFailed, ""), order, engine.ErrFenced},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &broken.Server{Answer: func(*http.Request) string { return tc.sound }}
			c := engine.NewClient()
			defer c.Close()
			err := tc.call(t.Context(), c, s.Start(t))
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
		for _, fault := range broken.Faults() {
			t.Run(tc.name+"/"+fault.Name, func(t *testing.T) {
				s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(tc.sound) }}
				c := engine.NewClient()
				defer c.Close()
				err := tc.call(t.Context(), c, s.Start(t))
				assert.Assert(t, errors.Is(err, engine.ErrBroken) && errors.Is(err, head.ErrInvalid), "%v", err)
				assert.Assert(t, !errors.IsAny(err, engine.ErrRefused, engine.ErrUnreachable, engine.ErrGone, engine.ErrFenced), "%v", err)
				assert.Equal(t, len(s.Requests()), 1, "no call is made again")
			})
		}
	}
}

// TestRedirectEndsNoGeneration guards against a redirect of the call that ends a generation, which would read another page and pass for
// its end.
func TestRedirectEndsNoGeneration(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := &broken.Server{Answer: func(r *http.Request) string {
				if r.URL.Path == "/elsewhere" {
					return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
				}
				return fmt.Sprintf("HTTP/1.1 %d Moved\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", status)
			}}
			c := engine.NewClient()
			defer c.Close()
			err := c.Cancel(t.Context(), s.Start(t), "r")
			assert.Assert(t, errors.Is(err, engine.ErrBroken), "%v", err)
			assert.Equal(t, len(s.Requests()), 1)
		})
	}
}
