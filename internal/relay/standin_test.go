package relay_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// standIns are model engines behind HTTP servers of their own. The first one's stream breaks before its first token, and
// the engine then answers nothing for silence; its generation continues.
type standIns struct {
	engines  []*model.Server
	backends []config.Backend
	silence  time.Duration

	// broken is set when the first stream has broken; overlaps counts the starts received while another engine worked on the
	// request.
	broken   atomic.Bool
	overlaps atomic.Int32
}

func startStandIns(t *testing.T, count int, silence time.Duration) *standIns {
	t.Helper()
	s := &standIns{silence: silence}
	for i := range count {
		params := model.DefaultParams("m")
		params.Length = func(engine.Request) int { return 150 }
		e := model.NewServer(params)
		server := httptest.NewServer(s.handler(i, e.Handler()))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- e.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			assert.NilError(t, <-ended)
			server.CloseClientConnections()
			server.Close()
		})
		s.engines = append(s.engines, e)
		s.backends = append(s.backends, config.Backend{Name: server.URL, Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	}
	return s
}

func (s *standIns) handler(index int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			for i, e := range s.engines {
				if i != index && e.IsAtWork("req") {
					s.overlaps.Add(1)
				}
			}
		}
		if index > 0 {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method == http.MethodPost {
			ctx, stop := context.WithTimeout(r.Context(), 20*time.Millisecond)
			defer stop()
			time.AfterFunc(s.silence, func() { s.broken.Store(false) })
			s.broken.Store(true)
			next.ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
			panic(http.ErrAbortHandler)
		}
		if s.broken.Load() {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Place places each request on the first engine that is not excluded.
func (s *standIns) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	for _, b := range s.backends {
		if !slices.Contains(r.Exclude, b.Name) {
			return &fakeTicket{placer: &firstPlacer{}, backend: b}, nil
		}
	}
	return nil, refuse.New(refuse.CodeNoBackend, "none left")
}

// TestStandInsWorkOnOneRequestAtATime checks over HTTP that no engine receives a request that another one works on.
func TestStandInsWorkOnOneRequestAtATime(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		wantRun refuse.Run
	}{
		{"the path is back after a second", 900 * time.Millisecond, ""},
		{"the path is not back in time", time.Minute, refuse.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startStandIns(t, 2, tt.silence)
			c := engine.NewClient()
			defer c.Close()
			r := &relay.Relay{
				Placer: s, Engines: c, Log: slog.New(slog.DiscardHandler), Guard: &poison.Table{},
				Rules: relay.Rules{StopTimeout: 2 * time.Second},
			}
			request := engine.Request{ID: "req", Prompt: "p", PromptTokens: 1, MaxTokens: 150}
			sum, err := r.Run(t.Context(), sched.Request{Service: "m"}, request, &caller{})
			r.Close()
			assert.Equal(t, s.overlaps.Load(), int32(0), "two engines worked on the request")
			if tt.wantRun != "" {
				assert.Equal(t, refuse.From(err).Run, tt.wantRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, sum.Tokens, 150)
		})
	}
}
