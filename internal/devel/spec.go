// Package devel runs a whole deployment in one process, on loopback, for trials and tests.
package devel

import (
	"github.com/cockroachdb/errors"
)

// ErrUnknownDeployment means that no built-in deployment has the name.
var ErrUnknownDeployment = errors.New("no such deployment")

// Spec describes the services, sizes and sample requests of a deployment.
type Spec struct {
	Name    string
	Regions []Region
	// ModelService and PlainService name the two services; Engines and Servers are the numbers of their backend servers.
	ModelService string
	Engines      int
	PlainService string
	Servers      int
	// BookingPath, ClassifyPath and CataloguePath are paths of the plain service.
	BookingPath   string
	ClassifyPath  string
	CataloguePath string
	// Prompt is a sample prompt for the model service.
	Prompt string
}

// Region is a region with its failure domains.
type Region struct {
	Name    string
	Domains []string
}

var deployments = [...]Spec{
	{
		Name: "hallowbrook",
		Regions: []Region{
			{Name: "midlands-east", Domains: []string{"trent-mill", "soar-lab"}},
			{Name: "midlands-west", Domains: []string{"severn-yard"}},
		},
		ModelService: "assay-model", Engines: 12, PlainService: "millbook", Servers: 3,
		BookingPath: "/bookings", ClassifyPath: "/classify", CataloguePath: "/records",
		Prompt: "Write a trial report on batch 114 of peat-free briquettes.",
	},
	{
		Name: "federacion",
		Regions: []Region{
			{Name: "norte", Domains: []string{"cordoba", "salta"}},
			{Name: "sur", Domains: []string{"neuquen"}},
		},
		ModelService: "modelo", Engines: 9, PlainService: "club-app", Servers: 3,
		BookingPath: "/bookings", ClassifyPath: "/classify", CataloguePath: "/catalogue",
		Prompt: "Write a guide to tumbling rough jasper in four weeks.",
	},
}

// SpecByName returns the spec of a built-in deployment, or ErrUnknownDeployment.
func SpecByName(name string) (Spec, error) {
	for _, d := range deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Spec{}, errors.Wrapf(ErrUnknownDeployment, "%q", name)
}

// Domains returns the failure domains of all regions.
func (d Spec) Domains() []string {
	var all []string
	for _, r := range d.Regions {
		all = append(all, r.Domains...)
	}
	return all
}
