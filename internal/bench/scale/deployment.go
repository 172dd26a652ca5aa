// Package scale measures what the hosts' own control code costs as the fleet grows.
//
// Each host runs its failure detector, its ledger of lent capacity, its distribution of the configuration and its
// scheduler. A fake network delivers the messages between hosts with a fixed delay and without loss. Engines are not
// simulated: a request runs for a time drawn in advance, and an engine's load follows from its number of requests.
package scale

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Sizes of the full deployment. Smaller deployments have proportionally fewer hosts, engines and requests, and the same
// numbers of workspaces and models.
const (
	fullHosts             = 340
	fullEngines           = 2300
	fullRequestsPerSecond = 5700
	workspaceCount        = 1400
	modelCount            = 5
	// modelsPerWorkspace is the number of models that each workspace uses.
	modelsPerWorkspace = 2
	// engineSlots is the number of requests that a warm engine sustains, engineMemory its memory in tokens.
	engineSlots  = 64
	engineMemory = 65536
	// 5,700 requests a second of 316 output tokens give the full deployment's 1.8 million tokens a second.
	outputTokens = 316
	tokenGap     = 53 * time.Millisecond
	promptTokens = 400
)

// domain is a failure domain with its region.
type domain struct{ name, region string }

func domains() []domain {
	return []domain{
		{"east-1", "east"},
		{"east-2", "east"},
		{"east-3", "east"},
		{"west-1", "west"},
		{"west-2", "west"},
		{"west-3", "west"},
	}
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i) }

func domainOf(i int) domain { return domains()[i%len(domains())] }

func modelName(i int) string { return fmt.Sprintf("model-%d", i%modelCount) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// newState returns the configuration of a fleet with the given number of engines.
func newState(engines int) change.State {
	s := change.State{Version: 1, ID: "scale"}
	for i := range modelCount {
		s.Table.Services = append(s.Table.Services, config.Service{Name: modelName(i), Kind: config.ServiceModel, Model: modelName(i)})
	}
	for i := range workspaceCount {
		hash := fmt.Sprintf("%064x", i)
		s.Table.Workspaces = append(s.Table.Workspaces, config.Workspace{Name: workspaceName(i), KeyHashes: []string{hash}})
		for j := range modelsPerWorkspace {
			s.Table.Rows = append(s.Table.Rows, config.Row{
				Workspace: workspaceName(i), Service: modelName(i + j), Weight: float64(1 + i%16), Lend: true,
			})
		}
	}
	for i := range engines {
		s.Table.Backends = append(s.Table.Backends, config.Backend{
			Name: fmt.Sprintf("engine-%d", i), Service: modelName(i / len(domains())), Domain: domainOf(i).name,
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
			MaxRunning: engineSlots, ColdRunning: engineSlots, MemoryTokens: engineMemory,
		})
	}
	for _, d := range domains() {
		s.Domains = append(s.Domains, config.Domain{Name: d.name, Region: d.region, State: config.DomainIn})
	}
	return s
}

// newHost returns the host with index i.
func newHost(i int) board.Host {
	d := domainOf(i)
	return board.Host{
		Name: hostName(i), Domain: d.name, Region: d.region, Incarnation: 1, State: board.HostLive,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8444),
	}
}
