package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Domain is a failure domain with its numbers of hosts and backend servers.
type Domain struct {
	config.Domain
	Hosts    int `json:"hosts"`
	Backends int `json:"backends"`
}

func (a *Admin) listDomains(w http.ResponseWriter, _ *http.Request) {
	s := a.Board.Config.State()
	a.replyConfig(w, s.Version, a.domains(s))
}

// domains returns the failure domains that the configuration, the backend servers or the hosts name, sorted by name.
func (a *Admin) domains(s change.State) []Domain {
	list := []Domain{}
	index := make(map[string]int)
	getOrAdd := func(name, region string) *Domain {
		i, ok := index[name]
		if !ok {
			i = len(list)
			index[name] = i
			list = append(list, Domain{Domain: config.Domain{Name: name, Region: region, State: config.DomainIn}})
		}
		return &list[i]
	}
	for _, d := range s.Domains {
		getOrAdd(d.Name, d.Region).State = d.State
	}
	for _, h := range a.Board.Hosts.All() {
		getOrAdd(h.Domain, h.Region).Hosts++
	}
	for _, b := range s.Table.Backends {
		getOrAdd(b.Domain, "").Backends++
	}
	slices.SortFunc(list, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// setDomainState returns a handler that takes a failure domain out of service or back in.
func (a *Admin) setDomainState(state config.DomainState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		force := r.URL.Query().Get("force") == "true"
		a.commit(w, r, func(s change.State) ([]change.Edit, error) {
			domains := a.domains(s)
			i := slices.IndexFunc(domains, func(d Domain) bool { return d.Name == name })
			if i < 0 {
				return nil, notFoundError(name)
			}
			current := domains[i].Domain
			if current.State == state {
				return nil, nil
			}
			next := current
			next.State = state
			edit := change.Edit{To: &change.Item{Domain: &next}}
			if slices.ContainsFunc(s.Domains, func(d config.Domain) bool { return d.Name == name }) {
				edit.From = &change.Item{Domain: &current}
			}
			return checkStillServed(s, []change.Edit{edit}, force)
		})
	}
}

// setBackendDraining returns a handler that takes a backend server out of service or back in.
func (a *Admin) setBackendDraining(draining bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		force := r.URL.Query().Get("force") == "true"
		a.commit(w, r, func(s change.State) ([]change.Edit, error) {
			from, ok := backendKind().find(s.Table, name)
			if !ok {
				return nil, notFoundError(name)
			}
			if from.Draining == draining {
				return nil, nil
			}
			to := from
			to.Draining = draining
			edit := change.Edit{From: &change.Item{Backend: &from}, To: &change.Item{Backend: &to}}
			return checkStillServed(s, []change.Edit{edit}, force)
		})
	}
}

// checkStillServed returns the edits, or a refusal if they take the last backend server of a service out of service.
// With force, it does not check.
func checkStillServed(s change.State, edits []change.Edit, force bool) ([]change.Edit, error) {
	if force {
		return edits, nil
	}
	after := servedServices(s.WithEdits(edits))
	var unserved []string
	for service := range servedServices(s) {
		if !after[service] {
			unserved = append(unserved, service)
		}
	}
	if len(unserved) == 0 {
		return edits, nil
	}
	slices.Sort(unserved)
	return nil, refuse.New(refuse.CodeConflict, fmt.Sprintf("nothing else serves %s; force=true does it all the same", strings.Join(unserved, ", ")))
}

// servedServices returns the services that have a backend server in service.
func servedServices(s change.State) map[string]bool {
	out := make(map[string]bool)
	for _, d := range s.Domains {
		out[d.Name] = d.State == config.DomainOut
	}
	services := make(map[string]bool)
	for _, b := range s.Table.Backends {
		if !b.Draining && !out[b.Domain] {
			services[b.Service] = true
		}
	}
	return services
}
