// Package entry is the HTTP API for callers.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerAttempt   = "Idempotency-Attempt"
	bearerPrefix    = "Bearer "
)

// Relayer runs generations on model services.
type Relayer interface {
	Run(ctx context.Context, placement sched.Request, request engine.Request, sink relay.Sink) (relay.Summary, error)
}

// CallRunner runs calls to plain services.
type CallRunner interface {
	Run(ctx context.Context, c call.Call) (call.Answer, error)
}

// Demand counts the requests for adapters.
type Demand interface {
	// Record counts a request for an adapter of a service.
	Record(service, adapter string)
}

// API handles the requests of callers.
type API struct {
	Board *board.Board
	// Domain is the host's own failure domain; while it is taken out of service, the readiness check fails.
	Domain string
	Relay  Relayer
	Calls  CallRunner
	// Demand may be nil; then requests for adapters are not counted.
	Demand Demand
	Limits config.Limits
	// Answers is what buffered answers take memory from, of which AnswersBytes may be held; nil means no bound.
	Answers      *memory.Pool
	AnswersBytes int64
	Metrics      *metric.Set
	Log          *slog.Logger
}

// Handler returns the HTTP handler of the API.
func (e *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.ready)
	r.Group(func(r chi.Router) {
		r.Use(e.identify, e.limitBody)
		r.Post("/v1/completions", e.completions)
		r.Post("/v1/chat/completions", e.chat)
		r.Get("/v1/models", e.models)
		r.HandleFunc("/v1/services/{service}/*", e.plain)
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		refuse.New(refuse.CodeNotFound, "no such path").Write(w)
	})
	return r
}

func (e *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.Board.Process.IsReady() || e.Board.Config.View().IsOut(e.Domain) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// caller holds the workspace and the ID of a request, as set by identify.
type caller struct {
	workspace string
	request   string
}

type callerKey struct{}

func callerOf(ctx context.Context) caller {
	c, _ := ctx.Value(callerKey{}).(caller)
	return c
}

// identify authenticates the request by its bearer key and assigns the request ID.
func (e *API) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set(headerRequestID, id)
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		sum := sha256.Sum256([]byte(key))
		workspace := e.Board.Config.View().Keys[hex.EncodeToString(sum[:])]
		if !ok || workspace == "" {
			e.refuse(w, id, refuse.New(refuse.CodeUnauthorized, "the bearer key is missing or unknown"))
			return
		}
		leave := e.Board.Process.Enter()
		defer leave()
		ctx := context.WithValue(r.Context(), callerKey{}, caller{workspace: workspace, request: id})
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return "req-" + hex.EncodeToString(b[:])
}

func (e *API) refuse(w http.ResponseWriter, id string, err error) {
	refusal := *refuse.From(err)
	refusal.RequestID = id
	e.Log.Info("request refused", "request_id", id, "code", refusal.Code, "run", refusal.Run, "error", err)
	refusal.Write(w)
}
