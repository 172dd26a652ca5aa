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

// watchKeepAlive is the time without changes after which a watch sends an empty event.
const watchKeepAlive = time.Second

// Server serves the object API over HTTP.
type Server struct {
	Memory *Memory
	// ReadsPerSecond and WritesPerSecond limit the rates of calls; zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64

	// Hosts provides the list that GET /v1/hosts returns.
	Hosts HostHistory

	mu     sync.Mutex
	faults Faults
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
}

// Handler returns the object API and, under /control, the one for faults, hosts and counts.
func (s *Server) Handler() http.Handler {
	s.reads = newLimiter(s.ReadsPerSecond)
	s.writes = newLimiter(s.WritesPerSecond)
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

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// reject counts the call, waits for Faults.Delay, and reports whether it has refused the call.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count *int) bool {
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
	if s.reject(w, r, s.reads, &s.counts.Reads) {
		return
	}
	query := r.URL.Query()
	if query.Has("prefix") {
		writeJSON(w, s.Memory.List(query.Get("prefix")))
		return
	}
	o, err := s.Memory.Get(query.Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, o)
}

// expectedVersion returns the version that a conditional change expects, or answers 400 and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (object.Version, bool) {
	version, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect must be a version number", http.StatusBadRequest)
		return 0, false
	}
	return object.Version(version), true
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if s.reject(w, r, s.writes, &s.counts.Writes) {
		return
	}
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, err := s.Memory.Put(r.URL.Query().Get("key"), value, expect)
	s.loseResponse()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if s.reject(w, r, s.writes, &s.counts.Writes) {
		return
	}
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	err := s.Memory.Delete(r.URL.Query().Get("key"), expect)
	s.loseResponse()
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loseResponse aborts the response after a change took effect, Faults.LoseAnswers times.
func (s *Server) loseResponse() {
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
	if s.reject(w, r, s.reads, &s.counts.Watches) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version number", http.StatusBadRequest)
		return
	}
	s.streamEvents(w, r, r.URL.Query().Get("prefix"), object.Version(after))
}

// streamEvents writes the changes under prefix after a version until the caller disconnects or the API goes down.
func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, prefix string, after object.Version) {
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		events, changed, err := s.Memory.Since(prefix, after)
		if err != nil {
			writeError(w, err)
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

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
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
