package notice

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVeryLargeLimits guards against limits that overflow a host's arithmetic, whether a server states them or another host does.
func TestVeryLargeLimits(t *testing.T) {
	for _, limit := range []float64{1e6, math.MaxInt32, math.MaxInt64, math.MaxUint64, math.MaxFloat64, math.Inf(1)} {
		for _, hosts := range []int{1, 7, 83, 340} {
			for _, demand := range []float64{0, 0.1, 500} {
				t.Run(fmt.Sprint(limit, hosts, demand), func(t *testing.T) {
					byHost := make(map[string]float64)
					for i := range hosts {
						byHost[fmt.Sprint("h", i)] = demand
					}
					for _, share := range []func(_, _ string, limit float64) float64{
						func(server, _ string, limit float64) float64 { return ShareByDemand(server, limit, "h0", byHost) },
						func(server, _ string, limit float64) float64 { return ShareByRank(server, limit, demand, 0, hosts) },
					} {
						assert.Assert(t, share("s1", "", limit) >= 0 && share("s1", "", limit) <= 1)
						now := time.Hour
						stated, merged := newTable(&now), newTable(&now)
						stated.Share, merged.Share = share, share
						stated.Heard(Server{ID: "s1", Service: "v"}, Statement{Limit: limit})
						merged.Merge("h1", []Report{{Server: "s1", Service: "v", Limit: limit, LimitedAgeMS: 1, UnlimitedAgeMS: -1, LeavingAgeMS: -1}})
						for range 20 {
							now += 300 * time.Millisecond
							for _, table := range []*Table{stated, merged} {
								assert.Assert(t, table.IsLimited("s1"))
								assert.Assert(t, table.Wait("s1", false) >= 0)
								table.Sent("s1")
							}
						}
					}
				})
			}
		}
	}
}

// TestOneHostMoreLeavesTheOthersTheirShares guards against a limit that goes unused because all of its hosts change with their number.
func TestOneHostMoreLeavesTheOthersTheirShares(t *testing.T) {
	const limit, perHost = 3, 0.5
	sharing := func(server string, hosts int) []int {
		var ranks []int
		for rank := range hosts {
			if ShareByRank(server, limit, perHost, rank, hosts) > 0 {
				ranks = append(ranks, rank)
			}
		}
		return ranks
	}
	for hosts := 101; hosts <= 400; hosts++ {
		for i := range 10 {
			server := fmt.Sprint("s", i)
			before, same := sharing(server, hosts), 0
			for _, rank := range sharing(server, hosts+1) {
				if slices.Contains(before, rank) {
					same++
				}
			}
			assert.Assert(t, same >= len(before)-1, "%s: %d of %d hosts keep their share if the last of %d joins", server, same, len(before), hosts+1)
		}
	}
}
