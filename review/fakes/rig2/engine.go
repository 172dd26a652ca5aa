package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// work says what a backend server does with a request of a path prefix.
type work struct {
	// first is the time until the answer or its first event, gap that between two events, events their number; 0 for a plain answer.
	first, gap time.Duration
	events     int
	// preempted is the pause before the second event of a stream whose memory went to another request and was read in again.
	preempted time.Duration
}

// server stands in for a backend server: it runs up to slots requests at once and refuses others as not run.
type server struct {
	id, address string
	slots       int
	record      *record
	// works are the works by path prefix.
	works map[string]work
	// onRun is called when a run begins; may be nil. late counts the runs that came too late.
	onRun func(id string)
	late  atomic.Int64

	mu      sync.Mutex
	running int
	// runs counts the runs by attempt.
	runs map[string]int
}

func startServer(id, ip string, slots int, works map[string]work, rec *record) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: l.Addr().String(), slots: slots, works: works, record: rec, runs: map[string]int{}}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// entry is the server's entry in the store.
func (s *server) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": s.slots, "state": "healthy",
		"coldRemainingMs": 0, "sequence": 1, "born": started.UnixMilli(),
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Instance-Id", s.id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// The body is read before the request runs, so that the end of the connection is noticed.
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	if s.running >= s.slots || id == "" {
		s.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.record.line("server %s refuses %s as not run", s.id, id)
		return
	}
	s.running++
	s.runs[id]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.record.line("server %s runs %s %s", s.id, id, r.URL.Path)
	if s.onRun != nil {
		s.onRun(id)
	}
	var job work
	for prefix, j := range s.works {
		if strings.HasPrefix(r.URL.Path, prefix) {
			job = j
		}
	}
	h.Set("Response-Signature", "sig-"+id)
	if !s.pause(r, id, job.first) {
		return
	}
	if job.events == 0 {
		_, _ = io.WriteString(w, "answer of "+id+"\n")
		s.record.line("server %s has answered %s", s.id, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	after := -1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		after = n
	}
	for i := after + 1; i < job.events; i++ {
		if i > after+1 && !s.pause(r, id, job.gap) {
			return
		}
		if i == 1 && !s.pause(r, id, job.preempted) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
	}
	s.record.line("server %s has answered %s", s.id, id)
}

// pause waits; false if the caller has closed its channel, which ends the run.
func (s *server) pause(r *http.Request, id string, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		s.record.line("server %s ends %s: its channel was closed", s.id, id)
		return false
	}
}

// ran returns how often an attempt ran.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
