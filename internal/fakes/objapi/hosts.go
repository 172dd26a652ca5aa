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

// maxHostStates bounds the recorded states; at the bound, the older half is dropped.
const maxHostStates = 4096

// HostHistory records the platform's list of entry hosts over time; its zero value is empty.
type HostHistory struct {
	mu     sync.Mutex
	states []object.HostList
}

// Put adds or replaces a host.
func (hist *HostHistory) Put(h object.Host, now time.Time) {
	hist.update(now, func(hosts map[string]object.Host) { hosts[h.Name] = h })
}

// Remove removes a host.
func (hist *HostHistory) Remove(name string, now time.Time) {
	hist.update(now, func(hosts map[string]object.Host) { delete(hosts, name) })
}

// At returns the list as it was at the given time; it is empty if no older state is recorded.
func (hist *HostHistory) At(at time.Time) object.HostList {
	hist.mu.Lock()
	defer hist.mu.Unlock()
	list := object.HostList{AsOf: at, Hosts: []object.Host{}}
	for _, s := range slices.Backward(hist.states) {
		if !s.AsOf.After(at) {
			list.Hosts = s.Hosts
			break
		}
	}
	return list
}

func (hist *HostHistory) update(now time.Time, edit func(map[string]object.Host)) {
	hist.mu.Lock()
	defer hist.mu.Unlock()
	hosts := make(map[string]object.Host)
	if len(hist.states) > 0 {
		for _, h := range hist.states[len(hist.states)-1].Hosts {
			hosts[h.Name] = h
		}
	}
	edit(hosts)
	next := slices.SortedFunc(maps.Values(hosts), func(a, b object.Host) int { return strings.Compare(a.Name, b.Name) })
	hist.states = append(hist.states, object.HostList{AsOf: now, Hosts: next})
	if len(hist.states) > maxHostStates {
		hist.states = slices.Clone(hist.states[maxHostStates/2:])
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
	writeJSON(w, s.Hosts.At(time.Now().Add(-lag)))
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
