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

// Domain is one failure domain as operators see it.
type Domain struct {
	config.Domain
	Hosts    int `json:"hosts"`
	Backends int `json:"backends"`
}

func (a *Admin) listDomains(w http.ResponseWriter, _ *http.Request) {
	s := a.Board.Config.State()
	a.read(w, s.Version, a.domains(s))
}

// domains joins the failure domains that the configuration, the backend servers and the hosts name.
func (a *Admin) domains(s change.State) []Domain {
	list := []Domain{}
	index := make(map[string]int)
	at := func(name, region string) *Domain {
		i, ok := index[name]
		if !ok {
			i = len(list)
			index[name] = i
			list = append(list, Domain{Domain: config.Domain{Name: name, Region: region, State: config.DomainIn}})
		}
		return &list[i]
	}
	for _, d := range s.Domains {
		at(d.Name, d.Region).State = d.State
	}
	for _, h := range a.Board.Hosts.All() {
		at(h.Domain, h.Region).Hosts++
	}
	for _, b := range s.Table.Backends {
		at(b.Domain, "").Backends++
	}
	slices.SortFunc(list, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// moveDomain takes a failure domain out of service or back in.
func (a *Admin) moveDomain(to config.DomainState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		force := r.URL.Query().Get("force") == "true"
		a.commit(w, r, func(s change.State) ([]change.Edit, error) {
			known := a.domains(s)
			i := slices.IndexFunc(known, func(d Domain) bool { return d.Name == name })
			if i < 0 {
				return nil, missing(name)
			}
			from := known[i].Domain
			if from.State == to {
				return nil, nil
			}
			next := from
			next.State = to
			edit := change.Edit{To: &change.Item{Domain: &next}}
			if slices.ContainsFunc(s.Domains, func(d config.Domain) bool { return d.Name == name }) {
				edit.From = &change.Item{Domain: &from}
			}
			return guard(s, []change.Edit{edit}, force)
		})
	}
}

// moveBackend takes a single backend server out of service or back in.
func (a *Admin) moveBackend(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		force := r.URL.Query().Get("force") == "true"
		a.commit(w, r, func(s change.State) ([]change.Edit, error) {
			from, ok := backendKind().find(s.Table, name)
			if !ok {
				return nil, missing(name)
			}
			if from.Draining == out {
				return nil, nil
			}
			to := from
			to.Draining = out
			edit := change.Edit{From: &change.Item{Backend: &from}, To: &change.Item{Backend: &to}}
			return guard(s, []change.Edit{edit}, force)
		})
	}
}

// guard refuses edits after which a service that is served now has no backend server in service.
func guard(s change.State, edits []change.Edit, force bool) ([]change.Edit, error) {
	if force {
		return edits, nil
	}
	after := served(s.WithEdits(edits))
	var lost []string
	for service := range served(s) {
		if !after[service] {
			lost = append(lost, service)
		}
	}
	if len(lost) == 0 {
		return edits, nil
	}
	slices.Sort(lost)
	return nil, refuse.New(refuse.CodeConflict, fmt.Sprintf("nothing else serves %s; force=true does it all the same", strings.Join(lost, ", ")))
}

// served returns the services that have a backend server in service.
func served(s change.State) map[string]bool {
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
