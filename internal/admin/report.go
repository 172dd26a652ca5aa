package admin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/survey"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const defaultRecords = 50

// Status is what operators see of the whole fleet.
type Status struct {
	// Version is the version in force on the host that answers.
	Version change.Version  `json:"version"`
	Hosts   []survey.Status `json:"hosts"`
	Domains []DomainStatus  `json:"domains"`
	// Unreached names the hosts that could not be asked.
	Unreached []string `json:"unreached"`
	// Backends is what the answering host knows.
	Backends []BackendStatus `json:"backends"`
}

// DomainStatus sums up one failure domain.
type DomainStatus struct {
	Name  string             `json:"name"`
	State config.DomainState `json:"state"`
	Hosts int                `json:"hosts"`
	Ready int                `json:"ready"`
	// LowestVersion and HighestVersion are the versions in force on the hosts that answered.
	LowestVersion  change.Version `json:"lowest_version"`
	HighestVersion change.Version `json:"highest_version"`
	// OldestS is the greatest age in seconds among the hosts that answered; nil means that one never knew.
	OldestS   *float64 `json:"oldest_s"`
	Unreached int      `json:"unreached"`
}

// BackendStatus is what the answering host knows of one backend server.
type BackendStatus struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Domain       string `json:"domain"`
	OutOfService bool   `json:"out"`
	Running      int    `json:"running"`
	Limit        int    `json:"limit"`
	Failures     int    `json:"failures"`
	// ReportedS is the age in seconds of the last load report; nil means never.
	ReportedS *float64 `json:"reported_s"`
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	hosts := a.Fleet.Status(r.Context())
	state := a.Board.Config.State()
	s := Status{Version: state.Version, Hosts: hosts, Domains: []DomainStatus{}, Unreached: []string{}, Backends: a.backends(time.Now())}
	domains := a.domains(state)
	for _, h := range hosts {
		if !slices.ContainsFunc(domains, func(d Domain) bool { return d.Name == h.Domain }) {
			domains = append(domains, Domain{Domain: config.Domain{Name: h.Domain, State: config.DomainIn}})
		}
	}
	for _, d := range domains {
		s.Domains = append(s.Domains, sumUp(d, hosts))
	}
	for _, h := range hosts {
		if !h.Reached {
			s.Unreached = append(s.Unreached, h.Host)
		}
	}
	a.reply(w, s)
}

func sumUp(d Domain, hosts []survey.Status) DomainStatus {
	s := DomainStatus{Name: d.Name, State: d.State}
	var oldest float64
	unknown := false
	for _, h := range hosts {
		if h.Domain != d.Name {
			continue
		}
		s.Hosts++
		if !h.Reached {
			s.Unreached++
			continue
		}
		if h.Ready {
			s.Ready++
		}
		if s.LowestVersion == 0 || h.Version < s.LowestVersion {
			s.LowestVersion = h.Version
		}
		s.HighestVersion = max(s.HighestVersion, h.Version)
		if h.AgeS == nil {
			unknown = true
			continue
		}
		oldest = max(oldest, *h.AgeS)
	}
	if !unknown && s.Hosts > s.Unreached {
		s.OldestS = &oldest
	}
	return s
}

func (a *Admin) backends(now time.Time) []BackendStatus {
	view := a.Board.Config.View()
	list := []BackendStatus{}
	for _, b := range view.Table.Backends {
		known := a.Board.Backends.Get(b.Name)
		s := BackendStatus{
			Name: b.Name, Service: b.Service, Domain: b.Domain, OutOfService: b.Draining || view.IsOut(b.Domain),
			Running: known.Running, Limit: b.MaxRunning, Failures: known.Failures,
		}
		if !known.Reported.IsZero() {
			age := now.Sub(known.Reported).Seconds()
			s.ReportedS = &age
		}
		list = append(list, s)
	}
	return list
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	a.reply(w, a.Fleet.Explain(r.Context(), chi.URLParam(r, "id")))
}

func (a *Admin) audit(w http.ResponseWriter, r *http.Request) {
	a.records(w, r, func(change.Edit) bool { return true })
}

func (a *Admin) auditRecord(w http.ResponseWriter, r *http.Request) {
	record, err := a.Trail.Find(r.Context(), a.tip()+2, chi.URLParam(r, "id"))
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.reply(w, record)
}

func (a *Admin) tip() change.Version { return a.Board.Config.State().Version }

// records answers with the changes before a version that have an edit which matches, newest first.
func (a *Admin) records(w http.ResponseWriter, r *http.Request, match func(change.Edit) bool) {
	before, err := number(r, "before", uint64(a.tip()+1))
	if err != nil {
		a.refuse(w, err)
		return
	}
	limit, err := number(r, "limit", defaultRecords)
	if err != nil {
		a.refuse(w, err)
		return
	}
	all, err := a.Trail.Before(r.Context(), change.Version(before), int(min(limit, 1<<16)))
	if err != nil {
		a.refuse(w, err)
		return
	}
	list := []change.Change{}
	for _, c := range all {
		for _, e := range c.Edits {
			if match(e) {
				list = append(list, c)
				break
			}
		}
	}
	a.reply(w, list)
}

func number(r *http.Request, name string, otherwise uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse.New(refuse.CodeBadRequest, name+" must be a number")
	}
	return v, nil
}
