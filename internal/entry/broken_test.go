package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/entry"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// inTurn places a request on the first backend server that is not excluded.
type inTurn []config.Backend

func (p inTurn) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	if len(r.Exclude) >= len(p) {
		return nil, refuse.New(refuse.CodeNoBackend, "none left")
	}
	return permit{p[len(r.Exclude)], &atomic.Int64{}}, nil
}

// marks counts the deaths of backend servers that are held against requests.
type marks struct{ died atomic.Int32 }

func (m *marks) Marked(poison.Mark)               { m.died.Add(1) }
func (*marks) Started(poison.Fingerprint, string) {}
func (*marks) Barred(poison.Fingerprint)          {}
func (*marks) Lifted(poison.Fingerprint)          {}

// answerText returns a sound answer.
func answerText(status int, kind, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), kind, len(body), body)
}

// post sends a request to the interface and returns what the caller gets.
func post(t *testing.T, e *entry.API, path, body string) (status int, header http.Header, text string) {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header, string(got)
}

// assertMayHaveRun checks that a caller got the refusal of a request that may have run.
func assertMayHaveRun(t *testing.T, status int, text string) {
	t.Helper()
	var refusal errorAnswer
	assert.NilError(t, json.Unmarshal([]byte(text), &refusal), "%d %q", status, text)
	assert.Equal(t, refusal.Error.Run, string(refuse.MayHaveRun), "%d %s", status, text)
	assert.Assert(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "%d %s", status, text)
}

// TestBrokenAnswersOfPlainServicesReachNoCaller guards against a broken answer that callers get, or after which a booking is sent to
// another server.
func TestBrokenAnswersOfPlainServicesReachNoCaller(t *testing.T) {
	for _, fault := range broken.Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			first := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(answerText(http.StatusCreated, "text/plain", "whole")) }}
			second := &broken.Server{Answer: func(*http.Request) string { return answerText(http.StatusCreated, "text/plain", "whole") }}
			sender := call.NewHTTPSender()
			defer sender.Close()
			placed := inTurn{{Name: "first", Address: first.Start(t)}, {Name: "second", Address: second.Start(t)}}
			runner := &call.Runner{Placer: placed, Sender: sender, Budget: &budget.Retry{}, Clock: call.SystemClock{}}
			status, header, text := post(t, newAPI(t, &script{}, runner, limits()), "/v1/services/millbook/bookings", "b")
			assertMayHaveRun(t, status, text)
			assert.Equal(t, header.Get("Content-Type"), "application/json")
			assert.Equal(t, len(first.Requests()), 1)
			assert.Equal(t, len(second.Requests()), 0, "it may have run")
		})
	}
}

// TestBrokenAnswersOfEnginesReachNoCaller guards against a broken answer whose tokens callers get, or after which a generation that may go
// on is started at another engine, for single answers and streams.
func TestBrokenAnswersOfEnginesReachNoCaller(t *testing.T) {
	const sound = "sound"
	const prompt = `{"model":"assay-model","prompt":"p","max_tokens":5,"stream":%t}`
	answer := func(r *http.Request) string {
		if r.Method != http.MethodPost {
			return answerText(http.StatusOK, "application/json", "{}")
		}
		var request engine.Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return answerText(http.StatusBadRequest, "text/plain", err.Error())
		}
		const frames = `{"request":%q,"generation":"g","offset":0,"token":"t"}` + "\n" + `{"request":%q,"generation":"g","offset":1,"finish":"stop"}` + "\n"
		return answerText(http.StatusOK, "application/json", fmt.Sprintf(frames, request.ID, request.ID))
	}
	for _, fault := range append(broken.Faults(), broken.Fault{Name: sound, Apply: func(answer string) string { return answer }}) {
		for _, isStream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream %t", fault.Name, isStream), func(t *testing.T) {
				t.Parallel()
				first := &broken.Server{Answer: func(r *http.Request) string { return fault.Apply(answer(r)) }}
				second := &broken.Server{Answer: answer}
				engines := engine.NewClient()
				defer engines.Close()
				deaths := &marks{}
				relays := &relay.Relay{
					Placer:  inTurn{{Name: "first", Address: first.Start(t)}, {Name: "second", Address: second.Start(t)}},
					Engines: engines, Rules: relay.Rules{ResumeTimeout: 300 * time.Millisecond, StopTimeout: 300 * time.Millisecond},
					Guard: &poison.Table{Broadcaster: deaths}, Budget: &budget.Retry{}, Log: slog.New(slog.DiscardHandler),
				}
				status, _, text := post(t, newAPI(t, relays, calls{&script{}}, limits()), "/v1/completions", fmt.Sprintf(prompt, isStream))
				relays.Close()
				if fault.Name == sound {
					assert.Equal(t, status, http.StatusOK)
					assert.Assert(t, strings.Contains(text, `"text":"t"`), text)
					return
				}
				assertMayHaveRun(t, status, text)
				assert.Equal(t, len(second.Requests()), 0, "the generation may go on at the first engine")
				assert.Equal(t, deaths.died.Load(), int32(0), "an engine that answers has not crashed")
			})
		}
	}
}
