package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Name     string
	Revision int64
	Created  int64
	Spec     json.RawMessage
}

func (o object) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.Name, "revision": o.Revision, "created": o.Created, "finalizers": []string{}, "deletionPending": false},
		"spec":     o.Spec, "status": nil,
	}
}

type event struct {
	kind    string
	object  object
	deleted bool
}

// store stands in for the platform's store: objects by kind and name, lists, watches, conditional writes.
type store struct {
	listener net.Listener
	server   *http.Server
	rec      *record

	mu       sync.Mutex
	revision int64
	era      int64
	objects  map[string]map[string]object
	events   []event
	oldest   int64
	changed  chan struct{}
	isDown   bool
	conns    map[net.Conn]struct{}
}

func newStore(rec *record, address string, era int64) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, rec: rec, revision: 100, era: era, objects: map[string]map[string]object{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, oldest: 100}
	s.server = &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st == http.StateNew {
			s.conns[c] = struct{}{}
		}
		if st == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or an engine does, and returns its revision, which is the confirmation.
func (s *store) put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, raw)
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) int64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o, found := s.objects[kind][name]
	if !found {
		o = object{Name: name, Created: s.revision}
	}
	o.Revision, o.Spec = s.revision, raw
	s.objects[kind][name] = o
	s.notify(event{kind, o, false})
	return s.revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) bool {
	o, found := s.objects[kind][name]
	if !found {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Revision = s.revision
	s.notify(event{kind, o, true})
	return true
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyOfStore is a copy from which the store can come back.
type copyOfStore struct {
	revision int64
	objects  map[string]map[string]object
}

func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{revision: s.revision, objects: map[string]map[string]object{}}
	for kind, all := range s.objects {
		c.objects[kind] = map[string]object{}
		for name, o := range all {
			c.objects[kind][name] = o
		}
	}
	return c
}

// goAway resets all connections, and new ones until the store is back.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	for c := range s.conns {
		reset(c)
	}
}

// comeBack ends an absence; with a copy, the store comes back from that in its next era.
func (s *store) comeBack(c *copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
	if c == nil {
		return
	}
	s.era++
	s.revision, s.objects, s.events, s.oldest = c.revision, c.objects, nil, c.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

const objectsPath = "/tarragonspur/objects/"

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isDown := s.isDown
	era := s.era
	s.mu.Unlock()
	if isDown {
		panic(http.ErrAbortHandler)
	}
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(404)
			return
		}
		answer(w, 200, o.encode())
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []any{}
	names := []string{}
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		items = append(items, s.objects[kind][name].encode())
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for isOver := false; ; {
		s.mu.Lock()
		if s.isDown || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since < s.oldest || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.object.Revision > since {
				events = append(events, map[string]any{"object": e.object.encode(), "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Metadata struct {
			Name     string
			Revision int64
		}
		Spec json.RawMessage
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	name, _, _ = strings.Cut(name, "/")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		answer(w, http.StatusConflict, o.encode())
		return
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
		return
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Revision:
		answer(w, http.StatusConflict, o.encode())
		return
	}
	s.rec.add("store: %s %s/%s", r.Method, kind, name)
	if r.Method == http.MethodDelete {
		s.removeLocked(kind, name)
		answer(w, 200, o.encode())
		return
	}
	s.putLocked(kind, name, in.Spec)
	answer(w, 200, s.objects[kind][name].encode())
}

func (s *store) String() string { return fmt.Sprintf("era %d, revision %d", s.era, s.revision) }
