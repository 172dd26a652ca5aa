package bench

import (
	"context"
	"fmt"

	"github.com/tarragonspur/tarragonspur/internal/bench/scale"
)

// scaleScenario measures the cost of the hosts' control code in fleets of several sizes.
type scaleScenario struct{}

// Name returns "scale".
func (scaleScenario) Name() string { return "scale" }

// Policies returns the sizes, in hosts, as policies; the product's own is the full size.
func (scaleScenario) Policies() []string {
	return []string{PolicyOwn, "hosts_8", "hosts_40", "hosts_120"}
}

// Run measures one size.
func (scaleScenario) Run(ctx context.Context, policy string, seed uint64) (Result, error) {
	hosts := 340
	if policy != PolicyOwn {
		if _, err := fmt.Sscanf(policy, "hosts_%d", &hosts); err != nil {
			return Result{}, err
		}
	}
	g, err := scale.Run(ctx, hosts, seed)
	if err != nil {
		return Result{}, err
	}
	r := Result{Scenario: "scale", Policy: policy, Seed: seed, Requests: Ptr(g.Arrived), Refused: Ptr(g.Refused)}
	bytes, cpu := 0.0, 0.0
	r.Extra = map[string]float64{
		"hosts": float64(g.Hosts), "engines": float64(g.Engines), "started": float64(g.Started),
		"store_reads_per_s": g.StoreReads + float64(g.Watches), "watches": float64(g.Watches),
	}
	for name, v := range g.Bytes {
		bytes += v
		r.Extra["bytes_per_s_"+name] = v
		r.Extra["calls_per_s_"+name] = g.Calls[name]
		r.Extra["cpu_percent_"+name] = g.CPU[name]
		cpu += g.CPU[name]
	}
	r.ControlBytesPerS, r.ControlCPUPercent, r.ControlMemoryMB = Ptr(bytes), Ptr(cpu), Ptr(g.MemoryMB)
	return r, nil
}
