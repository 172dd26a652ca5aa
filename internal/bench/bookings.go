package bench

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/bench/books"
)

const (
	bookingHosts          = 8
	bookingsWithAllFaults = 1000
	bookingsPerPair       = 50
)

// bookings measures calls that must run at most once, under all faults together, each fault alone and each pair.
type bookings struct{}

// Name returns "bookings".
func (bookings) Name() string { return "bookings" }

// Policies lists the product's policy and two baselines.
func (bookings) Policies() []string { return []string{PolicyOwn, "unrecorded", "retrying"} }

// Run measures one policy.
func (b bookings) Run(ctx context.Context, policy string, seed uint64) (Result, error) {
	p := bookingParams(policy, seed)
	total := books.Run(p)
	for i, faults := range books.PairsOfFaults() {
		if ctx.Err() != nil {
			return Result{}, errors.Wrap(ctx.Err(), "measure bookings")
		}
		p.Seed, p.Bookings, p.Faults = seed*1000+uint64(i), bookingsPerPair, faults
		total = total.Plus(books.Run(p))
	}
	return Result{
		Scenario: b.Name(), Policy: policy, Seed: seed,
		Requests: &total.Requests, Completed: &total.Completed, Refused: &total.Refused,
		DoubleRuns: &total.DoubleRuns, FalseNotRun: &total.FalseNotRun,
		Extra: map[string]float64{
			"wrong_answers":            float64(total.WrongAnswers),
			"caller_sendings":          float64(total.CallerSends),
			"backend_sends":            float64(total.BackendSends),
			"store_writes_per_sending": float64(total.StoreWrites) / float64(total.CallerSends),
			"store_reads_per_sending":  float64(total.StoreReads) / float64(total.CallerSends),
		},
	}, nil
}

// bookingParams returns the parameters of the simulation with all faults together.
func bookingParams(policy string, seed uint64) books.Params {
	p := books.Params{Seed: seed, Hosts: bookingHosts, Bookings: bookingsWithAllFaults, Faults: books.AllFaults()}
	switch policy {
	case "unrecorded":
		p.Policy = books.Unrecorded
	case "retrying":
		p.Policy = books.Retrying
	}
	return p
}
