// Package plat is a stand-in for the users' platform: its store and its backend servers.
package plat

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outage is how the store fails.
type Outage int

// The ways in which the store fails.
const (
	// Up answers.
	Up Outage = iota
	// Busy answers 503 to new calls.
	Busy
	// Unresponsive answers nothing.
	Unresponsive
	// Lossy does what it is asked to and loses the answer.
	Lossy
)

// Store is the platform's store. Its server must be closed.
type Store struct {
	*httptest.Server

	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision int64
	// dropped is the newest revision whose history is gone.
	dropped int64
	outage  Outage
	calls   int
	// page is the number of items in one answer to a list.
	page    int
	changed chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type event struct {
	kind    string
	at      int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

const objectsPath = "/tarragonspur/objects/"

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{objects: make(map[string]map[string]object), revision: 1, page: 50, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	return s
}

// Address returns the address that the store listens on.
func (s *Store) Address() netip.AddrPort { return netip.MustParseAddrPort(s.Listener.Addr().String()) }

// Close ends the store and all calls that wait.
func (s *Store) Close() {
	s.SetOutage(Busy)
	s.Server.Close()
}

// SetOutage makes the store fail, or answer again.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	s.outage = o
	s.wake()
	s.mu.Unlock()
	if o != Up {
		s.CloseClientConnections()
	}
}

// Compact drops the history up to now.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object; text that is no JSON is kept as a JSON text.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{kind: kind, at: s.revision, Object: o})
	s.wake()
	return o
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{kind: kind, at: s.revision, Object: o, Deleted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	outage := s.outage
	s.mu.Unlock()
	switch outage {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		s.stayDumb(r.Context())
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodPost:
		s.create(w, r, kind, outage == Lossy)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name == "":
		s.list(w, r, kind)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// stayDumb returns when the caller is gone or the store is not silent any more.
func (s *Store) stayDumb(ctx context.Context) {
	for {
		s.mu.Lock()
		outage, changed := s.outage, s.changed
		s.mu.Unlock()
		if outage != Unresponsive {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) create(w http.ResponseWriter, r *http.Request, kind string, isLost bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.objects[kind][o.Metadata.Name]; ok {
		answer(w, http.StatusConflict, known)
		return
	}
	made := s.put(kind, o.Metadata.Name, o.Spec)
	if isLost {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, made)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("sinceRevision")
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > s.page
	if more {
		items = items[:s.page]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events, at, changed, gone := s.after(kind, since), s.revision, s.changed, since < s.dropped
		outage := s.outage
		s.mu.Unlock()
		switch {
		case outage != Up:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) after(kind string, since int64) []event {
	events := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.at > since {
			events = append(events, e)
		}
	}
	return events
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
