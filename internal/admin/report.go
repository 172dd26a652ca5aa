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

// defaultRecords is the number of audit records read when the request sets no limit.
const defaultRecords = 50

// Status is the state of all hosts, failure domains and backend servers.
type Status struct {
	// Version is the version in force on the responding host.
	Version change.Version  `json:"version"`
	Hosts   []survey.Status `json:"hosts"`
	Domains []DomainStatus  `json:"domains"`
	// Unreached names the hosts that could not be reached.
	Unreached []string `json:"unreached"`
	// Backends is the responding host's local view.
	Backends []BackendStatus `json:"backends"`
}

// DomainStatus summarizes one failure domain.
type DomainStatus struct {
	Name  string             `json:"name"`
	State config.DomainState `json:"state"`
	Hosts int                `json:"hosts"`
	Ready int                `json:"ready"`
	// LowestVersion and HighestVersion bound the versions in force on the hosts that were reached.
	LowestVersion  change.Version `json:"lowest_version"`
	HighestVersion change.Version `json:"highest_version"`
	// OldestS is the greatest age in seconds of the configuration on the hosts that were reached; nil means that
	// one of them has never learned it, or that none was reached.
	OldestS   *float64 `json:"oldest_s"`
	Unreached int      `json:"unreached"`
}

// BackendStatus is the responding host's local view of one backend server.
type BackendStatus struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Domain       string `json:"domain"`
	OutOfService bool   `json:"out"`
	Running      int    `json:"running"`
	Limit        int    `json:"limit"`
	Failures     int    `json:"failures"`
	// ReportedS is the age in seconds of the last load report; nil means that there was none.
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
		s.Domains = append(s.Domains, summarize(d, hosts))
	}
	for _, h := range hosts {
		if !h.Reached {
			s.Unreached = append(s.Unreached, h.Host)
		}
	}
	a.reply(w, s)
}

func summarize(d Domain, hosts []survey.Status) DomainStatus {
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
		state := a.Board.Backends.Get(b.Name)
		s := BackendStatus{
			Name: b.Name, Service: b.Service, Domain: b.Domain, OutOfService: b.Draining || view.IsOut(b.Domain),
			Running: state.Running, Limit: b.MaxRunning, Failures: state.Failures,
		}
		if !state.Reported.IsZero() {
			age := now.Sub(state.Reported).Seconds()
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
	a.replyRecords(w, r, func(change.Edit) bool { return true })
}

func (a *Admin) auditRecord(w http.ResponseWriter, r *http.Request) {
	record, err := a.Trail.Find(r.Context(), a.currentVersion()+2, chi.URLParam(r, "id"))
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.reply(w, record)
}

func (a *Admin) currentVersion() change.Version { return a.Board.Config.State().Version }

// replyRecords replies with the changes that have a matching edit, newest first. It reads at most as many
// changes as the limit parameter says, below the version in the before parameter.
func (a *Admin) replyRecords(w http.ResponseWriter, r *http.Request, match func(change.Edit) bool) {
	before, err := uintParam(r, "before", uint64(a.currentVersion()+1))
	if err != nil {
		a.refuse(w, err)
		return
	}
	limit, err := uintParam(r, "limit", defaultRecords)
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

// uintParam parses a query parameter, or returns the default value if it is not set.
func uintParam(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse.New(refuse.CodeBadRequest, name+" must be a number")
	}
	return v, nil
}
