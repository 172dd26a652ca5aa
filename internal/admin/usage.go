package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/survey"
)

// idleRate is the rate of tokens a second below which a row without requests counts as idle.
const idleRate = 0.1

// UsageReport is what the deployment serves by row of the table.
type UsageReport struct {
	Rows []RowReport `json:"rows"`
	// Unreached names the hosts that could not be asked; what they serve is missing.
	Unreached []string `json:"unreached"`
}

// RowReport compares what one workspace gets of one service with what it is entitled to.
type RowReport struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// EntitledShare is the weight's part among the rows of the service that are active; zero for an idle row.
	EntitledShare float64 `json:"entitled_share"`
	// ObtainedShare is the part of the service's tokens, or answers, over about the last 10 s.
	ObtainedShare   float64 `json:"obtained_share"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	Waiting         int     `json:"waiting"`
	Running         int     `json:"running"`
	// Completed counts whole answers and Refused the others by code, since the start of each host.
	Completed int            `json:"whole"`
	Refused   map[string]int `json:"refused"`
}

func (a *Admin) usage(w http.ResponseWriter, r *http.Request) {
	u := a.Fleet.Usage(r.Context())
	a.reply(w, UsageReport{Rows: compare(a.Board.Config.View(), u), Unreached: u.Unreached})
}

func compare(view *board.View, u survey.Usage) []RowReport {
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
		one := RowReport{
			Workspace: key.Workspace, Service: key.Service, TokensPerSecond: use.TokensPerSecond,
			Waiting: use.Waiting, Running: use.Running, Refused: make(map[string]int),
		}
		if isActive(use) && weights[key.Service] > 0 {
			one.EntitledShare = view.Rows[key].Weight / weights[key.Service]
		}
		if rates[key.Service] > 0 {
			one.ObtainedShare = use.TokensPerSecond / rates[key.Service]
		}
		for code, n := range use.Ended {
			if code == "" {
				one.Completed = n
				continue
			}
			one.Refused[code] = n
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b RowReport) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), strings.Compare(a.Workspace, b.Workspace))
	})
	return list
}

func isActive(u board.RowUse) bool { return u.Waiting+u.Running > 0 || u.TokensPerSecond >= idleRate }
