package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/entry"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	callerKey = "key-of-the-chemists"
	bodyLimit = 256
)

// script is a fake relay and call runner with fixed answers.
type script struct {
	tokens   []string
	pause    time.Duration
	answer   call.Answer
	err      error
	lastCall call.Call
}

func (s *script) Run(_ context.Context, _ sched.Request, _ engine.Request, sink relay.Sink) (relay.Summary, error) {
	for _, t := range s.tokens {
		time.Sleep(s.pause)
		if err := sink.Token(t); err != nil {
			return relay.Summary{}, err
		}
	}
	return relay.Summary{Tokens: len(s.tokens), Finish: "stop"}, s.err
}

type calls struct{ script *script }

func (c calls) Run(_ context.Context, received call.Call) (call.Answer, error) {
	c.script.lastCall = received
	return c.script.answer, c.script.err
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// serve starts the API with the script as its back end.
func serve(t *testing.T, s *script, limits config.Limits) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newAPI(t, s, calls{s}, limits).Handler())
	t.Cleanup(server.Close)
	return server
}

// newAPI returns an API with the given back ends.
func newAPI(t *testing.T, relayer entry.Relayer, runner entry.CallRunner, limits config.Limits) *entry.API {
	t.Helper()
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	table := config.Table{
		Services: []config.Service{
			{Name: "assay-model", Kind: config.ServiceModel, Model: "assay"},
			{Name: "millbook", Kind: config.ServicePlain, Routes: []config.Route{{Method: "GET", Path: "/records", Repeatable: true}}},
			{Name: "sealed", Kind: config.ServicePlain},
		},
		Workspaces: []config.Workspace{{Name: "chemists", KeyHashes: []string{hash(callerKey)}}},
		Backends:   []config.Backend{{Name: "b", Service: "millbook", Domain: "trent-mill", Address: addr, MaxRunning: 1}},
		Rows: []config.Row{
			{Workspace: "chemists", Service: "assay-model", Weight: 1, MaxOutputTokens: 100},
			{Workspace: "chemists", Service: "millbook", Weight: 1},
		},
	}
	text, err := json.Marshal(table)
	assert.NilError(t, err)
	b := &board.Board{}
	_, err = b.Config.Apply(object.Object{Key: object.KeyTable, Version: 1, Value: text})
	assert.NilError(t, err)
	b.Process.SetReady()
	metrics, err := metric.New()
	assert.NilError(t, err)
	return &entry.API{Board: b, Relay: relayer, Calls: runner, Limits: limits, Metrics: metrics, Log: slog.New(slog.DiscardHandler)}
}

func limits() config.Limits {
	l := config.Default().Limits
	l.BodyBytes = bodyLimit
	return l
}

var (
	requestID = regexp.MustCompile(`req-[0-9a-f]+`)
	created   = regexp.MustCompile(`"created":\d+`)
)

// transcript sends one request and returns it with its answer; request IDs and creation times are masked.
func transcript(t *testing.T, base, method, path, key, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Idempotency-Key", "a-key")
	req.Header.Set("X-Forwarded-For", "10.0.0.1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var out bytes.Buffer
	fmt.Fprintf(&out, "> %s %s\n", method, path)
	if len(body) <= bodyLimit && body != "" {
		fmt.Fprintf(&out, "> %s\n", body)
	}
	fmt.Fprintf(&out, "< %s\n", resp.Status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Request-Id", "Location", "Server"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(&out, "< %s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&out, "%s", got)
	masked := requestID.ReplaceAllString(out.String(), "req-ID")
	return created.ReplaceAllString(masked, `"created":0`)
}

func TestTranscripts(t *testing.T) {
	interrupted := &refuse.Error{Code: refuse.CodeInterrupted, Message: "the generation broke off", Run: refuse.Partial, TokensDelivered: 2}
	overloaded := &refuse.Error{Code: refuse.CodeOverloaded, Message: "the queue is full", Run: refuse.NotRun, RetryAfter: 1500 * time.Millisecond}
	none := refuse.New(refuse.CodeNoBackend, "no backend server is healthy")
	booked := call.Answer{Status: http.StatusCreated, Body: []byte(`{"slot":7}`), Header: http.Header{
		"Content-Type": {"application/json"}, "Location": {"/bookings/7"}, "Server": {"secret-name"},
	}}
	const stream = `{"model":"assay-model","prompt":"report","stream":true}`
	tests := []struct {
		name   string
		script script
		method string
		path   string
		key    string
		body   string
	}{
		{"stream", script{tokens: []string{"dry ", "peat"}}, "POST", "/v1/completions", callerKey, stream},
		{"whole", script{tokens: []string{"dry ", "peat"}}, "POST", "/v1/completions", callerKey, `{"model":"assay-model","prompt":"report"}`},
		{"chat-stream", script{tokens: []string{"dry "}}, "POST", "/v1/chat/completions", callerKey, `{"model":"assay-model","messages":[{"role":"user","content":"hi"}],"stream":true}`},
		{"chat-whole", script{tokens: []string{"dry "}}, "POST", "/v1/chat/completions", callerKey, `{"model":"assay-model","messages":[{"role":"user","content":"hi"}]}`},
		{"interrupted-stream", script{tokens: []string{"dry ", "peat"}, err: interrupted}, "POST", "/v1/completions", callerKey, stream},
		{"interrupted-whole", script{tokens: []string{"dry ", "peat"}, err: interrupted}, "POST", "/v1/completions", callerKey, `{"model":"assay-model","prompt":"report"}`},
		{"overloaded", script{err: overloaded}, "POST", "/v1/completions", callerKey, stream},
		{"no-backend", script{err: none}, "POST", "/v1/completions", callerKey, stream},
		{"bad-body", script{}, "POST", "/v1/completions", callerKey, `{"model":`},
		{"no-prompt", script{}, "POST", "/v1/completions", callerKey, `{"model":"assay-model"}`},
		{"unknown-model", script{}, "POST", "/v1/completions", callerKey, `{"model":"x","prompt":"report"}`},
		{"too-large", script{}, "POST", "/v1/completions", callerKey, `{"prompt":"` + strings.Repeat("a", bodyLimit) + `"}`},
		{"no-key", script{}, "POST", "/v1/completions", "", stream},
		{"wrong-key", script{}, "POST", "/v1/completions", "wrong", stream},
		{"models", script{}, "GET", "/v1/models", callerKey, ""},
		{"booking", script{answer: booked}, "POST", "/v1/services/millbook/bookings", callerKey, `{"kiln":2}`},
		{"may-have-run", script{err: &refuse.Error{Code: refuse.CodeInterrupted, Message: "the answer was lost", Run: refuse.MayHaveRun}}, "POST", "/v1/services/millbook/bookings", callerKey, `{}`},
		{"unknown-service", script{}, "GET", "/v1/services/none/x", callerKey, ""},
		{"no-row", script{}, "GET", "/v1/services/sealed/x", callerKey, ""},
		{"unknown-path", script{}, "GET", "/v2/other", callerKey, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := serve(t, &tt.script, limits())
			got := transcript(t, server.URL, tt.method, tt.path, tt.key, tt.body)
			golden.Assert(t, got, tt.name+".golden")
		})
	}
}

func TestOnlyListedHeadersReachBackends(t *testing.T) {
	s := &script{answer: call.Answer{Status: http.StatusOK}}
	server := serve(t, s, limits())
	_ = transcript(t, server.URL, "POST", "/v1/services/millbook/bookings?slot=7", callerKey, `{}`)
	assert.Equal(t, s.lastCall.Header.Get("Authorization"), "")
	assert.Equal(t, s.lastCall.Header.Get("X-Forwarded-For"), "")
	assert.Equal(t, s.lastCall.Query, "slot=7")
	assert.Equal(t, s.lastCall.Key, "a-key")
	assert.Equal(t, s.lastCall.Repeatable, false)
}

func TestBodyReadLimitDoesNotEndStream(t *testing.T) {
	l := limits()
	l.BodyRead = config.Duration(100 * time.Millisecond)
	s := &script{tokens: []string{"a ", "b ", "c ", "d "}, pause: 60 * time.Millisecond}
	got := transcript(t, serve(t, s, l).URL, "POST", "/v1/completions", callerKey, `{"model":"assay-model","prompt":"p","stream":true}`)
	assert.Assert(t, strings.HasSuffix(got, "data: [DONE]\n\n"), got)
}

func TestSlowBodyIsCutOff(t *testing.T) {
	l := limits()
	l.BodyRead = config.Duration(50 * time.Millisecond)
	server := serve(t, &script{}, l)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write([]byte(`{"model":`)) }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", reader)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		_ = resp.Body.Close()
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

func TestNotReadyWhileDraining(t *testing.T) {
	b := &board.Board{}
	e := &entry.API{Board: b}
	tests := []struct {
		name string
		prep func()
		want int
	}{
		{"starting", func() {}, http.StatusServiceUnavailable},
		{"ready", b.Process.SetReady, http.StatusOK},
		{"draining", b.Process.SetDraining, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.prep()
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/readyz", nil))
			assert.Equal(t, w.Code, tt.want)
		})
	}
}
