// Package plots draws the scenarios' results as bar charts, the product beside its baselines.
package plots

import (
	"image/color"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/tarragonspur/tarragonspur/internal/bench"
)

const (
	panelWidth  = 9 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
	barWidth    = 26 * vg.Millimeter / 4
	columns     = 2
	// maxPanels bounds the metrics that one image shows.
	maxPanels = 6
)

// metric is a value that an image may show; value returns false for a result that lacks it.
type metric struct {
	name  string
	value func(bench.Result) (float64, bool)
}

// metrics returns the metrics in the order in which they are shown.
func metrics() []metric {
	ofInt := func(field func(bench.Result) *int) func(bench.Result) (float64, bool) {
		return func(r bench.Result) (float64, bool) {
			v := field(r)
			if v == nil {
				return 0, false
			}
			return float64(*v), true
		}
	}
	ofFloat := func(field func(bench.Result) *float64) func(bench.Result) (float64, bool) {
		return func(r bench.Result) (float64, bool) {
			v := field(r)
			if v == nil {
				return 0, false
			}
			return *v, true
		}
	}
	return []metric{
		{"stall_time_s", ofFloat(func(r bench.Result) *float64 { return r.StallTimeS })},
		{"preemptions", ofInt(func(r bench.Result) *int { return r.Preemptions })},
		{"output_tokens_per_s", ofFloat(func(r bench.Result) *float64 { return r.OutputTokensPerS })},
		{"complete_mean_s", ofFloat(func(r bench.Result) *float64 { return r.CompleteMeanS })},
		{"complete_p95_s", ofFloat(func(r bench.Result) *float64 { return r.CompleteP95S })},
		{"token_gap_p99_ms", ofFloat(func(r bench.Result) *float64 { return r.TokenGapP99MS })},
		{"share_error", ofFloat(func(r bench.Result) *float64 { return r.ShareError })},
		{"overload_starts", ofInt(func(r bench.Result) *int { return r.OverloadStarts })},
		{"late_starts", ofInt(func(r bench.Result) *int { return r.LateStarts })},
		{"double_runs", ofInt(func(r bench.Result) *int { return r.DoubleRuns })},
		{"duplicate_tokens", ofInt(func(r bench.Result) *int { return r.DuplicateTokens })},
		{"mixed_generations", ofInt(func(r bench.Result) *int { return r.MixedGenerations })},
		{"false_not_run", ofInt(func(r bench.Result) *int { return r.FalseNotRun })},
		{"in_force_p99_s", ofFloat(func(r bench.Result) *float64 { return r.InForceP99S })},
		{"reverts", ofInt(func(r bench.Result) *int { return r.Reverts })},
		{"control_bytes_per_s", ofFloat(func(r bench.Result) *float64 { return r.ControlBytesPerS })},
		{"control_cpu_percent", ofFloat(func(r bench.Result) *float64 { return r.ControlCPUPercent })},
		{"control_memory_mb", ofFloat(func(r bench.Result) *float64 { return r.ControlMemoryMB })},
	}
}

// Save draws the results of one scenario to DIR/SCENARIO.png, with a bar chart for each of the first maxPanels metrics,
// and returns the file's path. Without any metric, it writes nothing and returns an empty path.
func Save(dir string, results []bench.Result) (string, error) {
	panels, err := panelsOf(results)
	if err != nil || len(panels) == 0 {
		return "", err
	}
	rows := (len(panels) + columns - 1) / columns
	canvas := vgimg.New(columns*panelWidth, vg.Length(rows)*panelHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Centimeter / 2, PadY: vg.Centimeter / 2, PadTop: 4, PadRight: 8}
	for i, p := range panels {
		p.Draw(tiles.At(draw.New(canvas), i%columns, i/columns))
	}
	path := filepath.Join(dir, results[0].Scenario+".png")
	return path, write(path, vgimg.PngCanvas{Canvas: canvas})
}

// panelsOf returns a bar chart for each measured metric, up to maxPanels.
func panelsOf(results []bench.Result) ([]*plot.Plot, error) {
	var panels []*plot.Plot
	for _, m := range metrics() {
		values, names := valuesOf(m, results)
		if len(values) == 0 || len(panels) == maxPanels {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", m.name)
		}
		bars.Color = color.RGBA{R: 70, G: 120, B: 170, A: 255}
		p := plot.New()
		p.Title.Text = m.name
		p.Y.Min = 0
		p.Add(bars)
		p.NominalX(names...)
		p.X.Tick.Label.Rotation = 0.5
		p.X.Tick.Label.XAlign = draw.XRight
		panels = append(panels, p)
	}
	return panels, nil
}

// valuesOf returns a metric's values and, in the same order, the names of the policies that measured it.
func valuesOf(m metric, results []bench.Result) (plotter.Values, []string) {
	var values plotter.Values
	var names []string
	for _, r := range results {
		if v, ok := m.value(r); ok {
			values = append(values, v)
			names = append(names, strings.ReplaceAll(r.Policy, "_", " "))
		}
	}
	return values, names
}
