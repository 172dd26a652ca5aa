// Package slopes measures how the cost of the hosts' control code grows with the fleet, and compares the capacity page
// with the measurements.
package slopes

import (
	"context"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/bench/scale"
	"github.com/tarragonspur/tarragonspur/internal/change"
)

// Numbers of hosts of the two fleets; a slope is their difference in cost divided by that in hosts.
const (
	smallHosts = 8
	largeHosts = 40
)

// Slope is one measured value.
type Slope struct {
	// Name is the name with the unit; the page's table has it as its key.
	Name  string
	Value float64
	// IsCPUTime says that the value is processor time, which depends on the machine and its other load.
	IsCPUTime bool
}

// Measure runs both fleets with the seed and returns all slopes; it takes about a minute.
func Measure(ctx context.Context, seed uint64) ([]Slope, error) {
	small, err := scale.Run(ctx, smallHosts, seed)
	if err != nil {
		return nil, err
	}
	large, err := scale.Run(ctx, largeHosts, seed)
	if err != nil {
		return nil, err
	}
	list := fleetSlopes(small, large)
	more, err := configurationSlopes()
	return append(list, more...), err
}

// fleetSlopes returns the costs of the larger fleet and the growth for each further host.
func fleetSlopes(small, large scale.Figures) []Slope {
	hosts := float64(large.Hosts - small.Hosts)
	var list []Slope
	for _, name := range scale.Roles() {
		list = append(list,
			Slope{Name: name + " bytes/s a host at 40 hosts", Value: large.Bytes[name]},
			Slope{Name: name + " bytes/s a host for each further host", Value: (large.Bytes[name] - small.Bytes[name]) / hosts},
			Slope{Name: name + " % of a core a host at 40 hosts", Value: large.CPU[name], IsCPUTime: true},
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

// configurationSlopes returns the sizes of the configuration and of one change, for the state expected in two years.
func configurationSlopes() ([]Slope, error) {
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

// Differs reports whether two values differ by more than tolerance, a fraction of the larger absolute value.
func Differs(a, b, tolerance float64) bool {
	return math.Abs(a-b) > tolerance*max(math.Abs(a), math.Abs(b))
}
