package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request that reached a server.
type arrival struct {
	server  string
	attempt string
	path    string
	at      time.Time
	// isMisdirected reports that the server answered 421 and did not run the request.
	isMisdirected bool
	// endedAt is when the server's work on it ended, isWhole whether its whole answer was written.
	endedAt time.Time
	isWhole bool
}

// server is a stand-in for a backend server: plain requests take work, those with Token-Usage are streams of events.
type server struct {
	rig     *rig
	service string
	zone    string
	address string
	slots   int

	work    time.Duration
	prefill time.Duration
	gap     time.Duration
	// deadlyPart is the part of a prompt, never the last, under which the server crashes when it begins to write an answer.
	deadlyPart string
	// afterFirstEvent delays the crash until the answer's first event has been written.
	afterFirstEvent bool
	// limit is what the server states in Server-Limit; empty for nothing.
	limit string
	// downtime is the time from a crash to the next start.
	downtime time.Duration

	mu        sync.Mutex
	id        string
	born      int64
	isLeaving bool
	listener  net.Listener
	conns     map[net.Conn]bool
	http      *http.Server
}

// start opens the listener and registers the server; each start is a new lifetime.
func (s *server) start(id string) error {
	s.mu.Lock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.id, s.born, s.isLeaving, s.listener, s.conns = id, time.Now().UnixMilli(), false, l, make(map[net.Conn]bool)
	conns := s.conns
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			conns[c] = true
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.register()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	id, born, state := s.id, s.born, "healthy"
	if s.isLeaving {
		state = "draining"
	}
	s.mu.Unlock()
	s.rig.store.put("servers", id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": born,
	})
}

// leave reports draining; the server goes on with what it has.
func (s *server) leave() {
	s.mu.Lock()
	s.isLeaving = true
	s.mu.Unlock()
	s.register()
	s.rig.log("server %s reports that it is draining", s.id)
}

// state makes the server state a limit in all its answers from now on.
func (s *server) state(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.rig.log("server %s states Server-Limit: %s from now on", s.id, limit)
}

// stop closes the listener and resets all connections.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// crash ends the server without a word and starts it again under its ID after some seconds.
func (s *server) crash(attempt string) {
	s.mu.Lock()
	isDown := s.listener == nil
	id := s.id
	s.mu.Unlock()
	if isDown {
		return
	}
	s.rig.log("server %s crashes under request %s", id, attempt)
	s.rig.noteCrash()
	s.stop()
	time.AfterFunc(s.downtime, func() {
		if err := s.start(id); err != nil {
			s.rig.log("server %s could not start again: %v", id, err)
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/tarragonspur/") {
		// No engine has room for a copy.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	id, isLeaving, limit := s.id, s.isLeaving, s.limit
	s.mu.Unlock()
	a := &arrival{server: id, attempt: r.Header.Get("Attempt-Id"), path: r.URL.Path, at: time.Now()}
	expected := r.Header.Get("Expected-Instance")
	a.isMisdirected = expected != "" && expected != id
	s.rig.arrived(a)
	h := w.Header()
	h.Set("Instance-Id", id)
	h.Set("Attempt-Id", a.attempt)
	if isLeaving {
		h.Set("Server-Leaving", "1")
	}
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
	if a.isMisdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Kv-From") != "" {
		// No engine had room for a copy, so that none exists.
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Token-Usage") != "" {
		s.rig.ended(a, s.stream(w, r, a))
	} else {
		isDone := sleep(r.Context(), s.work)
		if isDone {
			h.Set("Response-Signature", signature(a.attempt, len(body)))
			_, err = fmt.Fprintf(w, "done %s", a.attempt)
			s.rig.ended(a, err == nil)
			return
		}
		s.rig.ended(a, false)
	}
}

// stream writes as many events as the request asks for and reports whether it wrote all.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival) bool {
	if !sleep(r.Context(), s.prefill) {
		return false
	}
	isDeadly := s.deadlyPart != "" && hasDeadlyPart(r.Header.Get("Prefix-Hash"), s.deadlyPart)
	if isDeadly && !s.afterFirstEvent {
		s.crash(a.attempt)
		return false
	}
	events, _ := strconv.Atoi(r.Header.Get("Rig-Events"))
	h := w.Header()
	h.Set("Response-Signature", signature(a.attempt, events))
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := range events {
		if n > 0 && !sleep(r.Context(), s.gap) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, a.attempt, n); err != nil {
			return false
		}
		if flush.Flush() != nil {
			return false
		}
		if isDeadly {
			// The event is on its way; the crash comes before the next one.
			time.Sleep(s.gap / 2)
			s.crash(a.attempt)
			return false
		}
	}
	return true
}

// hasDeadlyPart reports whether a prompt has the part, not counting its last one.
func hasDeadlyPart(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(p), ":"); id == part {
			return true
		}
	}
	return false
}

func signature(attempt string, n int) string { return fmt.Sprintf("%s.%d", attempt, n) }

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
