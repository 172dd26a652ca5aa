package store_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/store"
)

// TestBrokenAnswersOfTheObjectAPI guards against a broken answer that passes for an object, for a write or a removal that took effect, or
// for one that certainly did not.
func TestBrokenAnswersOfTheObjectAPI(t *testing.T) {
	answer := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	get := func(ctx context.Context, c *store.Client) error {
		_, err := c.Get(ctx, "k")
		return err
	}
	list := func(ctx context.Context, c *store.Client) error {
		_, err := c.List(ctx, "k")
		return err
	}
	hosts := func(ctx context.Context, c *store.Client) error {
		_, err := c.Hosts(ctx)
		return err
	}
	put := func(ctx context.Context, c *store.Client) error {
		_, err := c.Put(ctx, "k", []byte("v"), 1)
		return err
	}
	remove := func(ctx context.Context, c *store.Client) error { return c.Delete(ctx, "k", 1) }
	watch := func(ctx context.Context, c *store.Client) error {
		seen := false
		err := c.Watch(ctx, "", 0, func(object.Event) { seen = true })
		if seen {
			return nil
		}
		return err
	}
	const event = `{"object":{"key":"a","value":"YQ=="}}`
	for _, tc := range []struct {
		name, sound string
		call        func(ctx context.Context, c *store.Client) error
		// want is the result after the sound answer, wantBroken after a broken one.
		want, wantBroken error
	}{
		{"get", answer(http.StatusOK, "{}"), get, nil, object.ErrUnavailable},
		{"get of what is not there", answer(http.StatusNotFound, ""), get, object.ErrNotFound, object.ErrUnavailable},
		{"list", answer(http.StatusOK, "{}"), list, nil, object.ErrUnavailable},
		{"hosts", answer(http.StatusOK, "{}"), hosts, nil, object.ErrUnavailable},
		{"put", answer(http.StatusOK, "{}"), put, nil, object.ErrUnknown},
		{"put in conflict", answer(http.StatusConflict, ""), put, object.ErrConflict, object.ErrUnknown},
		{"put while unavailable", answer(http.StatusServiceUnavailable, ""), put, object.ErrUnavailable, object.ErrUnknown},
		{"delete", answer(http.StatusOK, ""), remove, nil, object.ErrUnknown},
		{"delete of what is not there", answer(http.StatusNotFound, ""), remove, object.ErrNotFound, object.ErrUnknown},
		{"watch", answer(http.StatusOK, event), watch, nil, object.ErrUnavailable},
		{"watch of compacted changes", answer(http.StatusGone, ""), watch, object.ErrCompacted, object.ErrUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &broken.Server{Answer: func(*http.Request) string { return tc.sound }}
			c := store.NewClient(s.Start(t))
			defer c.Close()
			err := tc.call(t.Context(), c)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
		for _, fault := range broken.Faults() {
			t.Run(tc.name+"/"+fault.Name, func(t *testing.T) {
				s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(tc.sound) }}
				c := store.NewClient(s.Start(t))
				defer c.Close()
				err := tc.call(t.Context(), c)
				assert.Assert(t, errors.Is(err, tc.wantBroken), "%v", err)
				assert.Assert(t, !errors.IsAny(err, object.ErrNotFound, object.ErrConflict, object.ErrCompacted), "%v", err)
				assert.Equal(t, len(s.Requests()), 1, "no call is made again")
			})
		}
	}
}

// TestRedirectRemovesNothing guards against a redirect of a removal, which would read another page and pass for the removal.
func TestRedirectRemovesNothing(t *testing.T) {
	s := &broken.Server{Answer: func(r *http.Request) string {
		if r.URL.Path == "/elsewhere" {
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		}
		return "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	}}
	c := store.NewClient(s.Start(t))
	defer c.Close()
	assert.Assert(t, c.Delete(t.Context(), "k", 1) != nil)
	assert.Equal(t, len(s.Requests()), 1)
}
