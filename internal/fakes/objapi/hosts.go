package objapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/object"
)

const rosterHistory = 4096

// HostHistory is the platform's knowledge of its entry hosts over time; its zero value is empty.
type HostHistory struct {
	mu     sync.Mutex
	states []object.HostList
}

// Put adds or replaces a host.
func (r *HostHistory) Put(h object.Host, now time.Time) {
	r.change(now, func(hosts map[string]object.Host) { hosts[h.Name] = h })
}

// Remove takes a host off the list.
func (r *HostHistory) Remove(name string, now time.Time) {
	r.change(now, func(hosts map[string]object.Host) { delete(hosts, name) })
}

// At returns the list as it was at a moment.
func (r *HostHistory) At(at time.Time) object.HostList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := object.HostList{AsOf: at, Hosts: []object.Host{}}
	for _, s := range slices.Backward(r.states) {
		if !s.AsOf.After(at) {
			list.Hosts = s.Hosts
			break
		}
	}
	return list
}

func (r *HostHistory) change(now time.Time, edit func(map[string]object.Host)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make(map[string]object.Host)
	if len(r.states) > 0 {
		for _, h := range r.states[len(r.states)-1].Hosts {
			hosts[h.Name] = h
		}
	}
	edit(hosts)
	next := slices.SortedFunc(maps.Values(hosts), func(a, b object.Host) int { return strings.Compare(a.Name, b.Name) })
	r.states = append(r.states, object.HostList{AsOf: now, Hosts: next})
	if len(r.states) > rosterHistory {
		r.states = slices.Clone(r.states[rosterHistory/2:])
	}
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	lag, down := s.faults.HostLag, s.faults.HostsDown
	s.counts.Reads++
	s.mu.Unlock()
	if down || !s.reads.Allow() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	answer(w, s.Hosts.At(time.Now().Add(-lag)))
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var h object.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Hosts.Put(h, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeHost(w http.ResponseWriter, r *http.Request) {
	s.Hosts.Remove(chi.URLParam(r, "name"), time.Now())
	w.WriteHeader(http.StatusNoContent)
}
