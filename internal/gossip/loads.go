package gossip

import (
	"cmp"
	"slices"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// loadsOf lists loads in a stable order, so that equal states make equal digests.
func loadsOf(own map[string]pool.Load) []ServerLoad {
	loads := make([]ServerLoad, 0, len(own))
	for id, l := range own {
		loads = append(loads, ServerLoad{Server: id, Runs: l.Runs, Tokens: l.Tokens, Pending: l.Pending})
	}
	slices.SortFunc(loads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}
