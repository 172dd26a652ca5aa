// Package plat is a fake of the users' platform: its store and its backend servers.
package plat

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outage is a failure mode of the store.
type Outage int

// The failure modes of the store.
const (
	// Up is normal operation.
	Up Outage = iota
	// Busy answers new calls with status 503.
	Busy
	// Unresponsive accepts calls and never answers.
	Unresponsive
	// Lossy creates objects, writes their status and lists them, but aborts the responses to these changes and to watches.
	Lossy
)

// pageBytes bounds the bytes of a response to a list that holds more than one item.
const pageBytes = 1 << 20

// Store is a fake of the platform's store; it must be closed with Close.
type Store struct {
	*httptest.Server

	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision int64
	// compactedTo is the newest revision whose history has been dropped.
	compactedTo int64
	outage      Outage
	// era is the store's era; 0 while it names none.
	era int64
	// writes are those of the operator and the servers, which calls over HTTP are not.
	writes   []write
	calls    int
	statuses []string
	// pageSize bounds the number of items in one response to a list.
	pageSize int
	// changed is closed and replaced at each change of objects, history or outage.
	changed chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// append appends the object's JSON. The spec is copied as it is: package json refuses one that is nested too deeply.
func (o object) append(text []byte) []byte {
	name, _ := json.Marshal(o.Metadata.Name)
	text = fmt.Appendf(text, `{"metadata":{"name":%s,"revision":%d},"spec":`, name, o.Metadata.Revision)
	text = append(text, o.Spec...)
	if len(o.Status) > 0 {
		text = append(append(text, `,"status":`...), o.Status...)
	}
	return append(text, '}')
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type event struct {
	kind     string
	revision int64
	object   object
	deleted  bool
}

const (
	objectsPath = "/tarragonspur/objects/"
	// statusSuffix follows the name in calls that write an object's status.
	statusSuffix = "/status"
)

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{objects: make(map[string]map[string]object), revision: 1, pageSize: 50, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	return s
}

// Address returns the address that the store listens on.
func (s *Store) Address() netip.AddrPort { return netip.MustParseAddrPort(s.Listener.Addr().String()) }

// Close stops the store and ends pending calls.
func (s *Store) Close() {
	s.SetOutage(Busy)
	s.Server.Close()
}

// SetOutage sets the failure mode. All modes but Up also close the open connections.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	s.outage = o
	s.notifyWatchers()
	s.mu.Unlock()
	if o != Up {
		s.CloseClientConnections()
	}
}

// Compact drops the history, so that watches of earlier revisions fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.revision
	s.notifyWatchers()
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

// Put writes an object; spec is encoded as JSON.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutText(kind, name, text)
}

// PutText writes an object whose spec is the given JSON, valid or not.
func (s *Store) PutText(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, write{kind: kind, name: name, spec: spec})
	s.put(kind, name, spec)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	return s.change(kind, name, object{Spec: spec, Status: s.objects[kind][name].Status})
}

// change stores an object with the next revision.
func (s *Store) change(kind, name string, o object) object {
	s.revision++
	o.Metadata = metadata{Name: name, Revision: s.revision}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o})
	s.notifyWatchers()
	return o
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, write{kind: kind, name: name, isDeleted: true})
	s.delete(kind, name)
}

func (s *Store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o, deleted: true})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves create, list and watch calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	outage, era := s.outage, s.era
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	}
	switch outage {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		s.awaitResponsive(r.Context())
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodPost:
		s.create(w, r, kind, outage == Lossy)
	case r.Method == http.MethodPut && strings.HasSuffix(name, statusSuffix):
		s.replaceStatus(w, r, kind, strings.TrimSuffix(name, statusSuffix), outage == Lossy)
	case r.Method == http.MethodPut:
		s.replace(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind, era)
	case name == "":
		s.list(w, r, kind, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// awaitResponsive returns when the outage is no longer Unresponsive or the caller has disconnected.
func (s *Store) awaitResponsive(ctx context.Context) {
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

func (s *Store) create(w http.ResponseWriter, r *http.Request, kind string, loseResponse bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.objects[kind][o.Metadata.Name]; ok {
		writeJSON(w, http.StatusConflict, existing.append(nil))
		return
	}
	created := s.put(kind, o.Metadata.Name, o.Spec)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, created.append(nil))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[kind][name]; !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	replaced := s.put(kind, name, o.Spec)
	writeJSON(w, http.StatusOK, replaced.append(nil))
}

// replaceStatus writes an object's status unless the call carries another revision than the object's.
func (s *Store) replaceStatus(w http.ResponseWriter, r *http.Request, kind, name string, loseResponse bool) {
	var call object
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case call.Metadata.Revision != 0 && call.Metadata.Revision != o.Metadata.Revision:
		writeJSON(w, http.StatusConflict, o.append(nil))
		return
	}
	if !bytes.Equal(o.Status, call.Status) {
		o.Status = call.Status
		o = s.change(kind, name, o)
		s.statuses = append(s.statuses, string(call.Status))
	}
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o.append(nil))
}

// Statuses returns each status that has been written, in order.
func (s *Store) Statuses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.statuses)
}

func (s *Store) remove(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[kind][name]; !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.delete(kind, name)
	writeJSON(w, http.StatusOK, []byte("{}"))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != era {
		// The answer would name another era than that of its objects.
		panic(http.ErrAbortHandler)
	}
	after := r.URL.Query().Get("sinceRevision")
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > s.pageSize
	if more {
		items = items[:s.pageSize]
	}
	text := []byte(`{"items":[`)
	for i, o := range items {
		if i > 0 && len(text)+len(o.Spec) > pageBytes {
			more = true
			break
		}
		if i > 0 {
			text = append(text, ',')
		}
		text = o.append(text)
	}
	writeJSON(w, http.StatusOK, fmt.Appendf(text, `],"hasMore":%t,"at":%d}`, more, s.revision))
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, era int64) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events, revision, changed, isCompacted := s.eventsSince(kind, since), s.revision, s.changed, since < s.compactedTo || s.era > 0 && since > s.revision
		outage, isReturned := s.outage, s.era != era
		s.mu.Unlock()
		switch {
		case outage != Up || isReturned:
			panic(http.ErrAbortHandler)
		case isCompacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			text := []byte(`{"events":[`)
			for i, e := range events {
				if i > 0 {
					text = append(text, ',')
				}
				text = fmt.Appendf(e.object.append(append(text, `{"object":`...)), `,"deleted":%t}`, e.deleted)
			}
			writeJSON(w, http.StatusOK, fmt.Appendf(text, `],"at":%d}`, revision))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) eventsSince(kind string, since int64) []event {
	events := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > since {
			events = append(events, e)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has disconnected needs no response.
	_, _ = w.Write(body)
}
