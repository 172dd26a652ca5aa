package model

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// idlePollPeriod is the pause between two steps of an idle engine.
	idlePollPeriod = 2 * time.Millisecond
	maxBodyBytes   = 8 << 20
)

// record is the state of one generation, kept also after its end.
type record struct {
	request    string
	generation string
	// tokens is the number of tokens generated so far.
	tokens int
	// finish is the finish reason; it is empty until the end.
	finish    string
	cancelled bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Server is an engine's HTTP interface; streams have one JSON object a line.
type Server struct {
	Params Params

	mu     sync.Mutex
	core   *Core
	faults Faults
	// crashCount counts crashes; streams opened at a lower count are aborted.
	crashCount int
	// stallCount counts how often StallStreams was set; streams opened at a lower count send nothing more.
	stallCount int
	records    map[string]*record
	// cancelled holds the IDs of cancelled requests, which are not run if they arrive later.
	cancelled   map[string]bool
	loadReports []engine.Load
	orders      []engine.Order
	// fence is the fencing token of the last accepted order.
	fence uint64
	// applied is the last order that was carried out.
	applied engine.Order
	// appliesAt is the time at which the last accepted order is carried out.
	appliesAt time.Time
}

// Orders returns all orders that the engine has accepted.
func (s *Server) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// NewServer returns an engine that has just started; it decodes while Run runs.
func NewServer(p Params) *Server {
	return &Server{Params: p, core: NewCore(p), records: make(map[string]*record), cancelled: make(map[string]bool)}
}

// Handler returns the engine's interface and, under /control, the one for faults and counters.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/generations", s.unlessDead(s.start))
	r.Get("/v1/generations/{id}/stream", s.unlessDead(s.resume))
	r.Get("/v1/generations/{id}", s.unlessDead(s.progress))
	r.Delete("/v1/generations/{id}", s.unlessDead(s.cancel))
	r.Get("/v1/load", s.unlessDead(s.load))
	r.Get("/v1/cache_events", s.unlessDead(s.cacheEvents))
	r.Post("/v1/orders", s.unlessDead(s.order))
	r.Put("/control/faults", s.setFaults)
	r.Get("/control/counters", s.getCounters)
	return r
}

// Run decodes until ctx ends and returns nil.
func (s *Server) Run(ctx context.Context) error {
	for {
		took := s.step()
		if took == 0 {
			took = idlePollPeriod
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(took):
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Dead && !s.faults.Dead {
		s.crash()
	}
	if f.StallStreams && !s.faults.StallStreams {
		s.stallCount++
	}
	if !f.Dead && s.faults.Dead {
		s.core.Restart()
	}
	if f.Cold {
		s.core.ResetWarmUp()
		f.Cold = false
	}
	s.faults = f
}

// Counters returns the engine's counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Counters
}

// crash drops all generations; the caller holds s.mu.
func (s *Server) crash() {
	s.core.Crash()
	s.crashCount++
	for _, r := range s.records {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	s.records = make(map[string]*record)
	s.cancelled = make(map[string]bool)
}

// IsAtWork reports whether the engine works on an attempt of the request.
func (s *Server) IsAtWork(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if r.finish == "" && (id == request || strings.HasPrefix(id, request+"-")) {
			return true
		}
	}
	return false
}

func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.IsDead() && !s.faults.Dead {
		s.crash()
		s.core.Restart()
	}
	frames, took := s.core.Step()
	for _, f := range frames {
		r := s.records[f.Request]
		if r == nil || r.generation != f.Generation {
			continue
		}
		r.tokens = f.Offset
		if f.Finish == "" {
			r.tokens = f.Offset + 1
		}
		r.finish = f.Finish
		close(r.changed)
		r.changed = make(chan struct{})
	}
	s.recordLoad()
	if took > 0 {
		took += s.faults.Slow
	}
	return took
}

// recordLoad carries out a due order, appends a load report and drops old ones, so that the first is ReportLag old.
func (s *Server) recordLoad() {
	now := time.Now()
	if len(s.orders) > 0 && !now.Before(s.appliesAt) {
		s.applied = s.orders[len(s.orders)-1]
		s.core.Params.Model = s.applied.Model
	}
	l := s.core.Load(now)
	l.Version, l.Adapters, l.Role = s.applied.Version, s.applied.Adapters, s.applied.Role
	s.loadReports = append(s.loadReports, l)
	for len(s.loadReports) > 1 && s.loadReports[1].At.Before(now.Add(-s.faults.ReportLag)) {
		s.loadReports = s.loadReports[1:]
	}
}

// unlessDead aborts requests while Faults.Dead is set.
func (s *Server) unlessDead(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		dead := s.faults.Dead
		s.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.cancelled[req.ID] {
		s.mu.Unlock()
		http.Error(w, "cancelled", http.StatusGone)
		return
	}
	if s.faults.Refuse {
		s.mu.Unlock()
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.faults.KillPrompt != "" && strings.Contains(req.Prompt, s.faults.KillPrompt) {
		s.crash()
		s.core.Restart()
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if req.Adapter != "" && !slices.Contains(s.applied.Adapters, req.Adapter) {
		s.mu.Unlock()
		http.Error(w, "adapter is not loaded", http.StatusBadRequest)
		return
	}
	generation, err := s.core.Submit(req)
	if err != nil {
		s.mu.Unlock()
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	rec := &record{request: req.ID, generation: generation, changed: make(chan struct{})}
	s.records[req.ID] = rec
	delay := s.faults.Delay
	s.mu.Unlock()
	s.streamFrames(w, r, rec, 0, delay)
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a non-negative integer", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	rec := s.records[chi.URLParam(r, "id")]
	s.mu.Unlock()
	if rec == nil || rec.generation != r.URL.Query().Get("generation") {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	s.streamFrames(w, r, rec, offset, 0)
}

// streamFrames writes the frames of a generation from an offset on. A crash or cancellation aborts the response.
func (s *Server) streamFrames(w http.ResponseWriter, r *http.Request, rec *record, offset int, delay time.Duration) {
	s.mu.Lock()
	crashCount, stallCount := s.crashCount, s.stallCount
	s.mu.Unlock()
	ticks.Sleep(r.Context(), delay)
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		s.mu.Lock()
		tokens, finish, changed := rec.tokens, rec.finish, rec.changed
		lost := s.crashCount != crashCount || rec.cancelled
		stalled := s.stallCount != stallCount
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if stalled {
			<-r.Context().Done()
			return
		}
		for ; offset < tokens; offset++ {
			f := engine.Frame{Request: rec.request, Generation: rec.generation, Offset: offset, Token: Token(rec.generation, offset)}
			if enc.Encode(f) != nil {
				return
			}
		}
		if finish != "" {
			_ = enc.Encode(engine.Frame{Request: rec.request, Generation: rec.generation, Offset: tokens, Finish: finish})
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) progress(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[chi.URLParam(r, "id")]
	if rec == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	writeJSON(w, engine.Progress{Generation: rec.generation, Tokens: rec.tokens, Finished: rec.finish != ""})
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := chi.URLParam(r, "id")
	s.cancelled[id] = true
	s.core.Cancel(id)
	if rec := s.records[id]; rec != nil && rec.finish == "" {
		rec.cancelled = true
		close(rec.changed)
		rec.changed = make(chan struct{})
		delete(s.records, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loadReports) == 0 {
		s.recordLoad()
	}
	writeJSON(w, s.loadReports[0])
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a non-negative integer", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []engine.CacheEvent{}
	for _, e := range s.core.Events(after) {
		if s.faults.EventGap == 0 || e.Sequence%s.faults.EventGap != 0 {
			kept = append(kept, e)
		}
	}
	writeJSON(w, kept)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.IgnoreFence && o.Fence < s.fence {
		http.Error(w, "outdated fencing token", http.StatusPreconditionFailed)
		return
	}
	s.fence = o.Fence
	s.orders = append(s.orders, o)
	s.appliesAt = time.Now().Add(s.faults.LoadTime)
	w.WriteHeader(http.StatusNoContent)
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

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
