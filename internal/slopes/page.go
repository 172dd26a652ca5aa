package slopes

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Markers around the generated table of the page.
const (
	markBegin = "<!-- slopes begin -->"
	markEnd   = "<!-- slopes end -->"
)

// Errors of Replace and Check.
var (
	// ErrNoTable says that the page lacks the markers of the table.
	ErrNoTable = errors.New("page has no table of slopes")
	// ErrOutdated says that the page's values differ from the measured ones.
	ErrOutdated = errors.New("page differs from the measured slopes")
)

// Replace returns the page with its table regenerated, or ErrNoTable.
func Replace(page string, list []Slope) (string, error) {
	before, _, after, err := split(page)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("\n\n| slope | value |\n| --- | --- |\n")
	for _, s := range list {
		name := s.Name
		if s.IsCPUTime {
			name += " (time)"
		}
		fmt.Fprintf(&b, "| %s | %.4g |\n", name, s.Value)
	}
	b.WriteString("\n")
	return before + markBegin + b.String() + markEnd + after, nil
}

// Check compares the page's table with measured slopes. The allowed relative difference is cpuTolerance for processor
// times and tolerance for other values. It returns ErrNoTable, or ErrOutdated with each slope that is missing or
// differs.
func Check(page string, list []Slope, tolerance, cpuTolerance float64) error {
	_, table, _, err := split(page)
	if err != nil {
		return err
	}
	pageValues := parse(table)
	var differences []string
	for _, s := range list {
		allowed := tolerance
		if s.IsCPUTime {
			allowed = cpuTolerance
		}
		v, ok := pageValues[s.Name]
		if !ok || Differs(v, s.Value, allowed) {
			differences = append(differences, fmt.Sprintf("%s: page %.4g, measured %.4g", s.Name, v, s.Value))
		}
	}
	if len(differences) > 0 {
		return errors.Wrap(ErrOutdated, strings.Join(differences, "\n"))
	}
	return nil
}

func split(page string) (before, table, after string, err error) {
	before, rest, ok := strings.Cut(page, markBegin)
	table, after, ok2 := strings.Cut(rest, markEnd)
	if !ok || !ok2 {
		return "", "", "", ErrNoTable
	}
	return before, table, after, nil
}

// parse returns the table's values by slope name; rows without a number are skipped.
func parse(table string) map[string]float64 {
	values := make(map[string]float64)
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(cells[2]), 64)
		if err != nil {
			continue
		}
		name := strings.TrimSuffix(strings.TrimSpace(cells[1]), " (time)")
		values[name] = v
	}
	return values
}
