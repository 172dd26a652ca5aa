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
	idlePause    = 2 * time.Millisecond
	maxBodyBytes = 8 << 20
)

// record is what the server keeps of one generation, also after its end.
type record struct {
	request    string
	generation string
	tokens     int
	finish     string
	cancelled  bool
	changed    chan struct{}
}

// Server answers as an engine over HTTP with one JSON object a line.
type Server struct {
	Params Params

	mu     sync.Mutex
	core   *Core
	faults Faults
	epoch  int
	// silences counts the times at which open streams went silent.
	silences int
	records  map[string]*record
	reports  []engine.Load
	orders   []engine.Order
	fence    uint64
	carried  engine.Order
	// loaded is the time at which the last order is carried out.
	loaded time.Time
}

// Orders returns the orders that the engine has taken.
func (s *Server) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// NewServer returns an engine that has just started; Run makes it decode.
func NewServer(p Params) *Server {
	return &Server{Params: p, core: NewCore(p), records: make(map[string]*record)}
}

// Handler returns the engine's interface and, under /control, the switch for faults.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/generations", s.alive(s.start))
	r.Get("/v1/generations/{id}/stream", s.alive(s.resume))
	r.Get("/v1/generations/{id}", s.alive(s.progress))
	r.Delete("/v1/generations/{id}", s.alive(s.cancel))
	r.Get("/v1/load", s.alive(s.load))
	r.Get("/v1/cache_events", s.alive(s.cacheEvents))
	r.Post("/v1/orders", s.alive(s.order))
	r.Put("/control/faults", s.setFaults)
	r.Get("/control/counters", s.getCounters)
	return r
}

// Run decodes until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		took := s.step()
		if took == 0 {
			took = idlePause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(took):
		}
	}
}

// SetFaults replaces the failures that the stand-in brings about.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Dead && !s.faults.Dead {
		s.die()
	}
	if f.StallStreams && !s.faults.StallStreams {
		s.silences++
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

// Counters returns what the stand-in has counted.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Counters
}

// die loses all generations; the caller holds the lock.
func (s *Server) die() {
	s.core.Die()
	s.epoch++
	for _, r := range s.records {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	s.records = make(map[string]*record)
}

func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.IsDead() && !s.faults.Dead {
		s.die()
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
	s.report()
	if took > 0 {
		took += s.faults.Slow
	}
	return took
}

// report keeps load reports for as long as they may lag.
func (s *Server) report() {
	now := time.Now()
	if len(s.orders) > 0 && !now.Before(s.loaded) {
		s.carried = s.orders[len(s.orders)-1]
		s.core.Params.Model = s.carried.Model
	}
	l := s.core.Load(now)
	l.Version, l.Adapters, l.Role = s.carried.Version, s.carried.Adapters, s.carried.Role
	s.reports = append(s.reports, l)
	for len(s.reports) > 1 && s.reports[1].At.Before(now.Add(-s.faults.ReportLag)) {
		s.reports = s.reports[1:]
	}
}

func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
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
	if s.faults.Refuse {
		s.mu.Unlock()
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.faults.KillPrompt != "" && strings.Contains(req.Prompt, s.faults.KillPrompt) {
		s.die()
		s.core.Restart()
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if req.Adapter != "" && !slices.Contains(s.carried.Adapters, req.Adapter) {
		s.mu.Unlock()
		http.Error(w, "adapter is not carried", http.StatusBadRequest)
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
	s.follow(w, r, rec, 0, delay)
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	rec := s.records[chi.URLParam(r, "id")]
	s.mu.Unlock()
	if rec == nil || rec.generation != r.URL.Query().Get("generation") {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	s.follow(w, r, rec, offset, 0)
}

// follow writes the frames of a generation from an offset on until its end.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, rec *record, offset int, delay time.Duration) {
	s.mu.Lock()
	epoch, silences := s.epoch, s.silences
	s.mu.Unlock()
	ticks.Sleep(r.Context(), delay)
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		s.mu.Lock()
		tokens, finish, changed := rec.tokens, rec.finish, rec.changed
		lost := s.epoch != epoch || rec.cancelled
		silent := s.silences != silences
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if silent {
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
	answer(w, engine.Progress{Generation: rec.generation, Tokens: rec.tokens, Finished: rec.finish != ""})
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := chi.URLParam(r, "id")
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
	if len(s.reports) == 0 {
		s.report()
	}
	answer(w, s.reports[0])
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
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
	answer(w, kept)
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
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	s.fence = o.Fence
	s.orders = append(s.orders, o)
	s.loaded = time.Now().Add(s.faults.LoadTime)
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

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counters()) }

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
