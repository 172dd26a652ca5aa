package ctrl_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/ctrl"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/secure"
)

// TestBrokenAnswersToOperators guards against a broken answer that passes for a change that was accepted, for one that was refused, or
// for what an operator asked to see.
func TestBrokenAnswersToOperators(t *testing.T) {
	const (
		accepted = `{"id":"x","version":7,"changed":true}`
		refused  = `{"error":{"code":"forbidden","message":"scope","run":"not_run"}}`
	)
	answer := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	source, err := secure.NewCertificateSource(writeSelfSigned(t, "entry-a"))
	assert.NilError(t, err)
	encrypted, err := source.Client()
	assert.NilError(t, err)
	for _, fault := range broken.Faults() {
		for _, tc := range []struct {
			name, sound string
			tls         *tls.Config
		}{
			{"accepted", answer(http.StatusOK, accepted), nil},
			{"refused", answer(http.StatusForbidden, refused), nil},
			{"accepted on an encrypted connection", answer(http.StatusOK, accepted), encrypted},
		} {
			t.Run(fault.Name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(tc.sound) }}
				if tc.tls != nil {
					l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					s.Listener = tls.NewListener(l, source.Server())
				}
				c := &ctrl.Client{Address: s.Start(t), Key: "k", TLS: tc.tls}
				t.Cleanup(c.Close)
				_, _, err := c.Get(t.Context(), "/table", nil)
				assert.Assert(t, errors.Is(err, ctrl.ErrUnreachable), "%v", err)
				_, err = c.Change(t.Context(), http.MethodPut, "/table", nil, nil, nil)
				assert.Assert(t, errors.Is(err, ctrl.ErrUnknownOutcome), "%v", err)
				requests := s.Requests()[1:]
				assert.Equal(t, len(requests), 3, "a change is sent again under its ID")
				for _, r := range requests {
					assert.Equal(t, r.Header.Get("Idempotency-Key"), requests[0].Header.Get("Idempotency-Key"))
				}
			})
		}
	}
}
