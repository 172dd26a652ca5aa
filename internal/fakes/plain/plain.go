// Package plain is a fake of a plain service, which books slots, classifies notes and reads records.
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

// Faults are the faults that a Server injects.
type Faults struct {
	// Dead aborts all calls without a response.
	Dead bool `json:"dead"`
	// Refuse answers calls with status 503 without running them.
	Refuse bool `json:"refuse"`
	// Delay is the time that each call waits before it runs.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of calls that run but get no response.
	LoseAnswers int `json:"lose_answers"`
	// KillBody sets Dead when a body contains it; empty disables this.
	KillBody string `json:"kill_body"`
}

// Run is one executed call.
type Run struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// RunLog records the runs of all servers of a service; its zero value is ready to use.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
	// working counts the servers that work on calls with a body, overlaps the calls received while another one did.
	working  map[string]int
	overlaps int
}

// Runs returns all runs so far, in order.
func (log *RunLog) Runs() []Run {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]Run(nil), log.runs...)
}

// Overlaps returns how many calls a server received while another one worked on a call with the same body.
func (log *RunLog) Overlaps() int {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.overlaps
}

// begin records that a server works on a call; the returned function ends that.
func (log *RunLog) begin(body string) (end func()) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.working == nil {
		log.working = make(map[string]int)
	}
	if log.working[body] > 0 {
		log.overlaps++
	}
	log.working[body]++
	return func() {
		log.mu.Lock()
		defer log.mu.Unlock()
		log.working[body]--
	}
}

// add appends a run and returns the number of runs.
func (log *RunLog) add(r Run) int {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.runs = append(log.runs, r)
	return len(log.runs)
}

// Server is one backend server of a plain service.
type Server struct {
	Name   string
	RunLog *RunLog

	mu     sync.Mutex
	faults Faults
}

// Answer is the response to a call.
type Answer struct {
	Server string `json:"server"`
	// Run is the number of the run among those of all servers.
	Run int `json:"run"`
	// Kind is the call's path without slashes at its ends.
	Kind string `json:"kind"`
	// Echo is the call's body.
	Echo string `json:"echo,omitempty"`
}

// Handler returns the service and, under /control, the interface for faults and runs.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/control/faults", s.setFaults)
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.RunLog.Runs()) })
	r.HandleFunc("/*", s.serve)
	return r
}

// SetFaults replaces the injected faults.
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
	defer s.RunLog.begin(string(body))()
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
	writeJSON(w, status, Answer{Server: s.Name, Run: run, Kind: kind, Echo: string(body)})
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
