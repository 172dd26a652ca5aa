package objapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const watchKeepAlive = time.Second

// Server answers the object API over HTTP.
type Server struct {
	Memory *Memory
	// ReadsPerSecond and WritesPerSecond limit calls; zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64

	// Hosts is what GET /v1/hosts lists.
	Hosts HostHistory

	mu     sync.Mutex
	faults Faults
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
}

// Handler returns the object API and, under /control, the switch for faults.
func (s *Server) Handler() http.Handler {
	s.reads = limiter(s.ReadsPerSecond)
	s.writes = limiter(s.WritesPerSecond)
	r := chi.NewRouter()
	r.Get("/v1/objects", s.read)
	r.Put("/v1/objects", s.put)
	r.Delete("/v1/objects", s.remove)
	r.Get("/v1/watch", s.watch)
	r.Get("/v1/hosts", s.listHosts)
	r.Put("/control/faults", s.setFaults)
	r.Put("/control/hosts", s.putHost)
	r.Delete("/control/hosts/{name}", s.removeHost)
	r.Get("/control/counts", s.getCounts)
	return r
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// SetFaults replaces the failures that the stand-in brings about.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls taken so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// isRefused waits out the delay and reports whether the call was refused.
func (s *Server) isRefused(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count *int) bool {
	s.mu.Lock()
	f := s.faults
	*count++
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		}
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return true
	}
	if !limit.Allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return true
	}
	return false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if s.isRefused(w, r, s.reads, &s.counts.Reads) {
		return
	}
	query := r.URL.Query()
	if query.Has("prefix") {
		answer(w, s.Memory.List(query.Get("prefix")))
		return
	}
	o, err := s.Memory.Get(query.Get("key"))
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, o)
}

// expected returns the version that a conditional change is based on, or answers that it is missing.
func expected(w http.ResponseWriter, r *http.Request) (object.Version, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect must be a version", http.StatusBadRequest)
		return 0, false
	}
	return object.Version(version), true
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if s.isRefused(w, r, s.writes, &s.counts.Writes) {
		return
	}
	expect, ok := expected(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.Memory.Put(r.URL.Query().Get("key"), value, expect)
	s.loseAnswer()
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if s.isRefused(w, r, s.writes, &s.counts.Writes) {
		return
	}
	expect, ok := expected(w, r)
	if !ok {
		return
	}
	err := s.Memory.Delete(r.URL.Query().Get("key"), expect)
	s.loseAnswer()
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loseAnswer drops the connection after the change took effect, as often as the faults say.
func (s *Server) loseAnswer() {
	s.mu.Lock()
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if s.isRefused(w, r, s.reads, &s.counts.Watches) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	s.follow(w, r, r.URL.Query().Get("prefix"), object.Version(after))
}

func (s *Server) follow(w http.ResponseWriter, r *http.Request, prefix string, after object.Version) {
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		events, changed, err := s.Memory.Since(prefix, after)
		if err != nil {
			fail(w, err)
			return
		}
		for _, e := range events {
			after = e.Object.Version
			if enc.Encode(e) != nil {
				return
			}
		}
		if len(events) == 0 && enc.Encode(object.Event{}) != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(watchKeepAlive):
		case <-r.Context().Done():
			return
		}
		if s.isDown() {
			return
		}
	}
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counts()) }

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, object.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, object.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, object.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
