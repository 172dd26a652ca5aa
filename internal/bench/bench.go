// Package bench simulates the product's policies and their baselines in virtual time and compares the results.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// PolicyOwn is the name of the product's own policy.
const PolicyOwn = "tarragonspur"

// ErrNoScenario is returned by ByName for an unknown name.
var ErrNoScenario = errors.New("no such scenario")

// Result holds the figures of one run of a scenario; nil fields were not measured.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Requests  *int `json:"requests,omitempty"`
	Completed *int `json:"completed,omitempty"`
	Refused   *int `json:"refused,omitempty"`
	// Cut counts streams that ended incomplete and without an error.
	Cut *int `json:"cut,omitempty"`

	OutputTokensPerS *float64 `json:"output_tokens_per_s,omitempty"`
	// StallTimeS sums the time beyond 200 ms between two tokens over all streams.
	StallTimeS      *float64 `json:"stall_time_s,omitempty"`
	CompleteMeanS   *float64 `json:"complete_mean_s,omitempty"`
	CompleteP95S    *float64 `json:"complete_p95_s,omitempty"`
	Preemptions     *int     `json:"preemptions,omitempty"`
	FirstTokenP95MS *float64 `json:"first_token_p95_ms,omitempty"`
	TokenGapP95MS   *float64 `json:"token_gap_p95_ms,omitempty"`
	TokenGapP99MS   *float64 `json:"token_gap_p99_ms,omitempty"`
	ShareError      *float64 `json:"share_error,omitempty"`
	OverloadStarts  *int     `json:"overload_starts,omitempty"`

	DoubleRuns       *int `json:"double_runs,omitempty"`
	DuplicateTokens  *int `json:"duplicate_tokens,omitempty"`
	MissingTokens    *int `json:"missing_tokens,omitempty"`
	MixedGenerations *int `json:"mixed_generations,omitempty"`
	FalseNotRun      *int `json:"false_not_run,omitempty"`
	LateStarts       *int `json:"late_starts,omitempty"`

	InForceP99S       *float64 `json:"in_force_p99_s,omitempty"`
	Reverts           *int     `json:"reverts,omitempty"`
	ControlBytesPerS  *float64 `json:"control_bytes_per_s,omitempty"`
	ControlCPUPercent *float64 `json:"control_cpu_percent,omitempty"`
	ControlMemoryMB   *float64 `json:"control_memory_mb,omitempty"`

	// Extra holds the scenario's other figures, by snake-case name with the unit.
	Extra map[string]float64 `json:"extra,omitempty"`
}

// Ptr returns a pointer to a measured value.
func Ptr[T any](v T) *T { return &v }

// Scenario is an experiment that compares policies.
type Scenario interface {
	// Name returns the scenario's name on the command line.
	Name() string
	// Policies returns the names of the policies to compare, the product's own first.
	Policies() []string
	// Run measures one policy; the same seed gives the same figures.
	Run(ctx context.Context, policy string, seed uint64) (Result, error)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	list := []Scenario{
		bookings{},
		faultsScenario{},
		crowded{},
		shares{},
		changeScenario{},
		scaleScenario{},
	}
	list = append(list, domainScenario{})
	return append(list, coldScenarios()...)
}

// ByName returns the named scenarios, or all of them if no name is given; an unknown name is an ErrNoScenario.
func ByName(names []string) ([]Scenario, error) {
	all := Scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []Scenario
	for _, name := range names {
		found := false
		for _, s := range all {
			if s.Name() == name {
				chosen = append(chosen, s)
				found = true
			}
		}
		if !found {
			return nil, errors.Wrapf(ErrNoScenario, "%q", name)
		}
	}
	return chosen, nil
}

// WriteJSON writes the results as JSON, one object per line.
func WriteJSON(w io.Writer, results []Result) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	return nil
}

// WriteTable writes the results of one scenario as a table with one row per field and one column per policy.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	resultType := reflect.TypeFor[Result]()
	for i := range resultType.NumField() {
		name, _, _ := strings.Cut(resultType.Field(i).Tag.Get("json"), ",")
		if resultType.Field(i).Type.Kind() == reflect.Map {
			continue
		}
		writeRow(t, name, results, func(r Result) string { return format(reflect.ValueOf(r).Field(i)) })
	}
	for _, name := range extraNames(results) {
		writeRow(t, name, results, func(r Result) string {
			v, ok := r.Extra[name]
			if !ok {
				return ""
			}
			return format(reflect.ValueOf(v))
		})
	}
	return errors.Wrap(t.Flush(), "write table")
}

// writeRow writes one row, unless all its cells are empty.
func writeRow(w io.Writer, name string, results []Result, cell func(Result) string) {
	row, isMeasured := name, false
	for _, r := range results {
		text := cell(r)
		isMeasured = isMeasured || text != ""
		row += "\t" + text
	}
	if isMeasured {
		fmt.Fprintln(w, row)
	}
}

func extraNames(results []Result) []string {
	names := make(map[string]bool)
	for _, r := range results {
		for name := range r.Extra {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// format returns the text of a value, which is empty for a nil pointer.
func format(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return ""
		}
		v = v.Elem()
	}
	if v.CanFloat() {
		return fmt.Sprintf("%.4g", v.Float())
	}
	return fmt.Sprint(v.Interface())
}
