package bench

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/bench/books"
)

const (
	bookingHosts   = 8
	bookingsAtOnce = 1000
	bookingsOfPair = 50
)

// bookings measures calls that may not be repeated under every fault, at once, singly and in pairs.
type bookings struct{}

// Name names the scenario.
func (bookings) Name() string { return "bookings" }

// Policies lists the product's policy and two baselines.
func (bookings) Policies() []string { return []string{PolicyOwn, "unrecorded", "retrying"} }

// Run measures one policy.
func (b bookings) Run(ctx context.Context, policy string, seed uint64) (Result, error) {
	p := bookingParams(policy, seed)
	sum := books.Run(p)
	for i, faults := range books.PairsOfFaults() {
		if ctx.Err() != nil {
			return Result{}, errors.Wrap(ctx.Err(), "measure bookings")
		}
		p.Seed, p.Bookings, p.Faults = seed*1000+uint64(i), bookingsOfPair, faults
		sum = sum.Plus(books.Run(p))
	}
	return Result{
		Scenario: b.Name(), Policy: policy, Seed: seed,
		Requests: &sum.Requests, Completed: &sum.Completed, Refused: &sum.Refused,
		DoubleRuns: &sum.DoubleRuns, FalseNotRun: &sum.FalseNotRun,
		Extra: map[string]float64{
			"wrong_answers":            float64(sum.WrongAnswers),
			"caller_sendings":          float64(sum.CallerSends),
			"backend_sends":            float64(sum.BackendSends),
			"store_writes_per_sending": float64(sum.StoreWrites) / float64(sum.CallerSends),
			"store_reads_per_sending":  float64(sum.StoreReads) / float64(sum.CallerSends),
		},
	}, nil
}

// bookingParams returns the run with all faults at once.
func bookingParams(policy string, seed uint64) books.Params {
	p := books.Params{Seed: seed, Hosts: bookingHosts, Bookings: bookingsAtOnce, Faults: books.AllFaults()}
	switch policy {
	case "unrecorded":
		p.Policy = books.Unrecorded
	case "retrying":
		p.Policy = books.Retrying
	}
	return p
}
