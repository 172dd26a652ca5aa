package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/survey"
)

// idleRate is the rate in tokens per second below which a row without requests counts as idle.
const idleRate = 0.1

// UsageReport is the usage of the whole deployment by row of the table.
type UsageReport struct {
	Rows []RowReport `json:"rows"`
	// Unreached names the hosts that could not be reached; their usage is missing.
	Unreached []string `json:"unreached"`
}

// RowReport compares a workspace's share of a service with the share that it is entitled to.
type RowReport struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// EntitledShare is the row's weight divided by the weights of the service's active rows; zero for an idle row.
	EntitledShare float64 `json:"entitled_share"`
	// ObtainedShare is the row's share of the service's tokens, or answers, over about the last 10 s.
	ObtainedShare   float64 `json:"obtained_share"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	Waiting         int     `json:"waiting"`
	Running         int     `json:"running"`
	// Completed counts complete answers and Refused the others by code, since the start of each host.
	Completed int            `json:"whole"`
	Refused   map[string]int `json:"refused"`
}

func (a *Admin) usage(w http.ResponseWriter, r *http.Request) {
	u := a.Fleet.Usage(r.Context())
	a.reply(w, UsageReport{Rows: compareUsage(a.Board.Config.View(), u), Unreached: u.Unreached})
}

// compareUsage returns a report on each row in use, sorted by service and then by descending rate.
func compareUsage(view *board.View, u survey.Usage) []RowReport {
	weights := make(map[string]float64)
	rates := make(map[string]float64)
	for key, use := range u.Rows {
		rates[key.Service] += use.TokensPerSecond
		if isActive(use) {
			weights[key.Service] += view.Rows[key].Weight
		}
	}
	list := make([]RowReport, 0, len(u.Rows))
	for key, use := range u.Rows {
		report := RowReport{
			Workspace: key.Workspace, Service: key.Service, TokensPerSecond: use.TokensPerSecond,
			Waiting: use.Waiting, Running: use.Running, Refused: make(map[string]int),
		}
		if isActive(use) && weights[key.Service] > 0 {
			report.EntitledShare = view.Rows[key].Weight / weights[key.Service]
		}
		if rates[key.Service] > 0 {
			report.ObtainedShare = use.TokensPerSecond / rates[key.Service]
		}
		for code, n := range use.Ended {
			if code == "" {
				report.Completed = n
				continue
			}
			report.Refused[code] = n
		}
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b RowReport) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), strings.Compare(a.Workspace, b.Workspace))
	})
	return list
}

func isActive(u board.RowUse) bool { return u.Waiting+u.Running > 0 || u.TokensPerSecond >= idleRate }
