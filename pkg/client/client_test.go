package client_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/pkg/client"
)

// handler is how a fake host handles one attempt.
type handler func(w http.ResponseWriter, r *http.Request)

func refuse(status int, code, run string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"code":%q,"message":"m","run":%q,"request_id":"r"}}`, code, run)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondCreated(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) }

func streamTokens(n int, ending string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := range n {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", i)
		}
		fmt.Fprint(w, ending)
	}
}

const streamEnd = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

// startHost starts a fake host that uses one handler for each attempt, the last one for all further attempts, and records
// their headers.
func startHost(t *testing.T, handlers ...handler) (*client.Client, *[]http.Header) {
	t.Helper()
	var headers []http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		headers = append(headers, r.Header)
		handlers[min(len(headers), len(handlers))-1](w, r)
	}))
	c := &client.Client{Hosts: []netip.AddrPort{addressOf(s)}, Key: "k", Sendings: 3}
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c, &headers
}

func TestBook(t *testing.T) {
	tests := []struct {
		name         string
		handlers     []handler
		wantAttempts int
		wantCode     error
		wantRun      error
	}{
		{"answered", []handler{respondCreated}, 1, nil, nil},
		{"overloaded, then answered", []handler{refuse(429, "overloaded", "not_run"), respondCreated}, 2, nil, nil},
		{"connection aborted, then answered", []handler{abortConnection, respondCreated}, 2, nil, nil},
		{"bad request is final", []handler{refuse(400, "bad_request", "not_run")}, 1, client.ErrBadRequest, client.ErrNotRun},
		{"quarantine is final", []handler{refuse(422, "quarantined", "not_run")}, 1, client.ErrQuarantined, client.ErrNotRun},
		{"never run", []handler{refuse(503, "no_backend", "not_run")}, 3, client.ErrNoBackend, client.ErrNotRun},
		{"an earlier attempt may have run", []handler{abortConnection, refuse(503, "no_backend", "not_run")}, 3, client.ErrNoBackend, client.ErrMayHaveRun},
		{"a backend server's own error is a response", []handler{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }}, 1, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, headers := startHost(t, tt.handlers...)
			_, err := c.Book(t.Context(), client.Call{Service: "s", Method: http.MethodPost, Path: "/bookings", Body: []byte("b")})
			assert.Equal(t, len(*headers), tt.wantAttempts)
			for i, h := range *headers {
				assert.Equal(t, h.Get("Idempotency-Key"), (*headers)[0].Get("Idempotency-Key"))
				assert.Equal(t, h.Get("Idempotency-Attempt"), fmt.Sprint(i+1))
			}
			if tt.wantCode == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, tt.wantCode), "%v", err)
			assert.Assert(t, errors.Is(err, tt.wantRun), "%v", err)
		})
	}
}

func TestStream(t *testing.T) {
	errorEvent := "event: error\ndata: {\"error\":{\"code\":\"interrupted\",\"message\":\"m\",\"run\":\"partial\",\"tokens_delivered\":2}}\n\n"
	tests := []struct {
		name         string
		handlers     []handler
		wantTokens   int
		wantAttempts int
		wantCode     error
		wantRun      error
	}{
		{"whole", []handler{streamTokens(3, streamEnd)}, 3, 1, nil, nil},
		{"refused, then complete", []handler{refuse(429, "overloaded", "not_run"), streamTokens(3, streamEnd)}, 3, 2, nil, nil},
		{"cut before the first token", []handler{abortConnection, streamTokens(3, streamEnd)}, 3, 2, nil, nil},
		{"cut after the first token", []handler{streamTokens(1, ""), streamTokens(3, streamEnd)}, 1, 1, client.ErrConnection, client.ErrPartial},
		{"done without finish", []handler{streamTokens(1, "data: [DONE]\n\n")}, 1, 1, client.ErrConnection, client.ErrPartial},
		{"error event", []handler{streamTokens(2, errorEvent)}, 2, 1, client.ErrInterrupted, client.ErrPartial},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, headers := startHost(t, tt.handlers...)
			got := 0
			var gotErr error
			for token, err := range c.Stream(t.Context(), client.Prompt{Model: "m", Text: "p"}) {
				if err != nil {
					gotErr = err
					break
				}
				assert.Equal(t, token, fmt.Sprintf("t%d", got))
				got++
			}
			assert.Equal(t, got, tt.wantTokens)
			assert.Equal(t, len(*headers), tt.wantAttempts)
			if tt.wantCode == nil {
				assert.NilError(t, gotErr)
				return
			}
			assert.Assert(t, errors.Is(gotErr, tt.wantCode) && errors.Is(gotErr, tt.wantRun), "%v", gotErr)
			var e *client.Error
			assert.Assert(t, errors.As(gotErr, &e))
			assert.Equal(t, e.TokensDelivered, tt.wantTokens)
		})
	}
}

func TestCallerStopsReading(t *testing.T) {
	c, _ := startHost(t, streamTokens(1000, streamEnd))
	got := 0
	for _, err := range c.Stream(t.Context(), client.Prompt{Model: "m", Text: "p"}) {
		assert.NilError(t, err)
		if got++; got == 5 {
			break
		}
	}
	assert.Equal(t, got, 5)
}
