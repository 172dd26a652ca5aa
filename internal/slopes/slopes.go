// Package slopes measures what the hosts' control code costs and keeps the page of capacities in step with it.
package slopes

import (
	"context"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/bench/scale"
	"github.com/tarragonspur/tarragonspur/internal/change"
)

// Sizes of the two fleets whose difference gives a slope.
const (
	smallHosts = 8
	largeHosts = 40
)

// Slope is one measured figure.
type Slope struct {
	// Name names the figure and its unit.
	Name  string
	Value float64
	// Timed says that the figure is processor time, which depends on the machine and what else it does.
	Timed bool
}

// Measure measures all slopes; it takes about a minute.
func Measure(ctx context.Context, seed uint64) ([]Slope, error) {
	small, err := scale.Run(ctx, smallHosts, seed)
	if err != nil {
		return nil, err
	}
	large, err := scale.Run(ctx, largeHosts, seed)
	if err != nil {
		return nil, err
	}
	list := ofFleets(small, large)
	more, err := ofConfiguration()
	return append(list, more...), err
}

// ofFleets returns the figures of the larger fleet and what each further host adds.
func ofFleets(small, large scale.Figures) []Slope {
	hosts := float64(large.Hosts - small.Hosts)
	var list []Slope
	for _, name := range scale.Roles() {
		list = append(list,
			Slope{Name: name + " bytes/s a host at 40 hosts", Value: large.Bytes[name]},
			Slope{Name: name + " bytes/s a host for each further host", Value: (large.Bytes[name] - small.Bytes[name]) / hosts},
			Slope{Name: name + " % of a core a host at 40 hosts", Value: large.CPU[name], Timed: true},
		)
	}
	perHost := float64(large.Arrived) / float64(large.Hosts)
	return append(list,
		Slope{Name: "place bytes a request", Value: large.Bytes["place"] * large.Window.Seconds() / perHost},
		Slope{Name: "control memory MB a host at 40 hosts", Value: large.MemoryMB},
		Slope{Name: "store reads/s of the fleet for each host", Value: (large.StoreReads + float64(large.Watches)) / float64(large.Hosts)},
		Slope{Name: "watches of the fleet at 40 hosts", Value: float64(large.Watches)},
	)
}

// ofConfiguration returns the sizes of the configuration at two years' size.
func ofConfiguration() ([]Slope, error) {
	state := scale.FullState()
	plain, err := json.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	next := state.WithEdits(nil)
	next.Table.Rows = append(next.Table.Rows[:0:0], state.Table.Rows...)
	next.Table.Rows[0].Weight++
	entry, err := change.Encode(change.Change{
		Version: state.Version + 1, ID: "01234567890123456789012345", Previous: state.ID, Operator: "operator",
		Edits: change.Diff(state, next),
	})
	if err != nil {
		return nil, err
	}
	return []Slope{
		{Name: "configuration KB as JSON", Value: float64(len(plain)) / (1 << 10)},
		{Name: "bytes of one change of a row", Value: float64(len(entry.Raw))},
	}, nil
}

// Differs reports whether two values of one slope are further apart than a part of the larger one.
func Differs(a, b, part float64) bool {
	return math.Abs(a-b) > part*max(math.Abs(a), math.Abs(b))
}
