package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: linearizable, always up, with its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision int64
}

const (
	objectsPath = "/tarragonspur/objects/"
	pageSize    = 500
	// storeDelay is the time of a call as on the data sheets.
	storeDelay = 4 * time.Millisecond
)

func newStore(address string) (*store, error) {
	s := &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o, exists := s.objects[kind][name]
	if !exists {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name == "":
		s.list(w, r, kind)
	default:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, exists := s.objects[kind][o.Metadata.Name]; exists {
		reply(w, http.StatusConflict, existing)
		return
	}
	reply(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Spec))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
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
	hasMore := len(items) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": hasMore, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
