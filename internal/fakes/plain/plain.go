// Package plain is a stand-in for a plain service that books slots, classifies notes and reads records.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxBodyBytes = 1 << 20

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// Dead drops all connections.
	Dead bool `json:"dead"`
	// Refuse answers 503 before anything ran.
	Refuse bool `json:"refuse"`
	// Delay is added to each call before it runs.
	Delay time.Duration `json:"delay"`
	// LoseAnswers makes that many calls run without an answer.
	LoseAnswers int `json:"lose_answers"`
	// KillBody makes the service die when a body contains it; empty for none.
	KillBody string `json:"kill_body"`
}

// Run is one run of a call.
type Run struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// RunLog counts the runs of calls over all servers of a service; its zero value is ready.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns all runs so far.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *RunLog) add(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs)
}

// Server is one backend server of a plain service.
type Server struct {
	Name   string
	RunLog *RunLog

	mu     sync.Mutex
	faults Faults
}

// Answer is what each call returns.
type Answer struct {
	Server string `json:"server"`
	Run    int    `json:"run"`
	Kind   string `json:"kind"`
	Echo   string `json:"echo,omitempty"`
}

// Handler returns the service and, under /control, the switch for faults.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/control/faults", s.setFaults)
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.RunLog.Runs()) })
	r.HandleFunc("/*", s.serve)
	return r
}

// SetFaults replaces the failures that the stand-in brings about.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	if f.KillBody != "" && strings.Contains(string(body), f.KillBody) {
		s.faults.Dead = true
		f.Dead = true
	}
	s.mu.Unlock()
	if f.Dead {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	run := s.RunLog.add(Run{Server: s.Name, Method: r.Method, Path: r.URL.Path, Body: string(body)})
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	kind := strings.Trim(r.URL.Path, "/")
	status := http.StatusOK
	if kind == "bookings" {
		status = http.StatusCreated
	}
	reply(w, status, Answer{Server: s.Name, Run: run, Kind: kind, Echo: string(body)})
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

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
