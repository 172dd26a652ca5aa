package books_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/bench/books"
)

// TestBookingsRunAtMostOnceUnderRandomFaults runs the hosts' own code with random rates of lost and late answers,
// resends, host crashes and store failures.
func TestBookingsRunAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		probability := func(name string) float64 { return rapid.Float64Range(0, 0.4).Draw(t, name) }
		f := books.Run(books.Params{
			Seed:     rapid.Uint64().Draw(t, "seed"),
			Hosts:    rapid.IntRange(2, 5).Draw(t, "hosts"),
			Bookings: 12,
			Faults: books.Faults{
				Unreached: probability("unreached"), Refused: probability("refused"), LostBefore: probability("lost before"),
				LostAfter: probability("lost after"), Slow: probability("slow"), StoreLost: probability("store lost"),
				StoreLate: probability("store late"), StoreDropped: probability("store dropped"), StoreDown: probability("store down"),
				StoreSlow: probability("store slow"), Partitioned: probability("cut"), Deaths: probability("deaths"), Impatient: probability("impatient"),
			},
		})
		assert.Equal(t, f.DoubleRuns, 0)
		assert.Equal(t, f.FalseNotRun, 0)
		assert.Equal(t, f.WrongAnswers, 0)
		assert.Equal(t, f.Completed+f.Refused, f.Requests)
	})
}

func TestBaselinesViolateInvariants(t *testing.T) {
	tests := []struct {
		name        string
		policy      books.Policy
		doubleRuns  bool
		falseNotRun bool
	}{
		{"recorded", books.Recorded, false, false},
		{"unrecorded", books.Unrecorded, true, false},
		{"retrying", books.Retrying, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := books.Params{Policy: tt.policy, Seed: 1, Hosts: 8, Bookings: 1000, Faults: books.AllFaults()}
			f := books.Run(p)
			assert.Equal(t, f.DoubleRuns > 0, tt.doubleRuns, "%+v", f)
			assert.Equal(t, f.FalseNotRun > 0, tt.falseNotRun, "%+v", f)
			assert.DeepEqual(t, f, books.Run(p))
		})
	}
}

func TestBookingsRunAtMostOnceUnderPairsOfFaults(t *testing.T) {
	for i, f := range books.PairsOfFaults() {
		got := books.Run(books.Params{Seed: uint64(i), Hosts: 8, Bookings: 50, Faults: f})
		assert.Equal(t, got.DoubleRuns+got.FalseNotRun+got.WrongAnswers, 0, "%+v: %+v", f, got)
	}
}

func TestEachBookingCompletesWithoutFaults(t *testing.T) {
	f := books.Run(books.Params{Seed: 1, Hosts: 8, Bookings: 300})
	assert.Equal(t, f.Completed, 300)
	assert.Equal(t, f.BackendSends, 300)
	assert.Equal(t, f.StoreWrites, 600)
	assert.Equal(t, f.StoreReads, 300)
}
