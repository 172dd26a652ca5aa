package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store: objects by kind and name, lists in pages, and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// The sizes of a page of a list.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// put writes an object as the operator or a backend server does, and returns the time of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, text)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.notifyLocked(event{kind: kind, revision: s.revision, Object: *o})
	return o
}

func (s *store) notifyLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/tarragonspur/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		o := s.objects[kind][name]
		if o == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		delete(s.objects[kind], name)
		s.revision++
		s.notifyLocked(event{kind: kind, revision: s.revision, Object: *o, Deleted: true})
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && o == nil:
		reply(w, http.StatusNotFound, struct{}{})
	case o != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	default:
		reply(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := r.URL.Query().Get("sinceRevision")
	var names []string
	for name := range s.objects[kind] {
		if name > since {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size := []*object{}, 0
	for _, name := range names {
		o := s.objects[kind][name]
		if len(items) > 0 && (len(items) == pageItems || size+len(o.Spec) > pageBytes) {
			break
		}
		items, size = append(items, o), size+len(o.Spec)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(names), "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isLast := false; ; {
		s.mu.Lock()
		found, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 || isLast {
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
