package canary

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// rig is a table with servers and a clock of the test's own.
type rig struct {
	*Table

	mu      sync.Mutex
	at      time.Time
	servers map[pool.Server]pool.Load
}

func (r *rig) now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// pass lets time pass and the table look at it.
func (r *rig) pass(d time.Duration) {
	r.mu.Lock()
	r.at = r.at.Add(d)
	r.mu.Unlock()
	r.ChangeOrders([]Order{}, nil, 0)
	r.Look()
}

// start adds servers of a version.
func (r *rig) start(version string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range n {
		r.servers[pool.Server{ID: fmt.Sprint(version, "-", i), Service: "model", Version: version, Region: "east", Slots: 8, StartedMS: int64(len(r.servers) + 1)}] = pool.Load{}
	}
}

// stop removes the servers of a version.
func (r *rig) stop(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.servers {
		if s.Version == version {
			delete(r.servers, s)
		}
	}
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{at: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), servers: make(map[pool.Server]pool.Load)}
	r.Table = &Table{
		Config: Config{Share: 0.1, Tolerance: 50, Revert: 5 * time.Second}, Host: "h0", Domain: "d1", Incarnation: 1,
		Log: slog.New(slog.DiscardHandler), Now: r.now,
		Servers: func() map[pool.Server]pool.Load {
			r.mu.Lock()
			defer r.mu.Unlock()
			all := make(map[pool.Server]pool.Load, len(r.servers))
			for s, l := range r.servers {
				all[s] = l
			}
			return all
		},
	}
	return r
}

// allowed returns the versions that 500 requests may be run by at first.
func (r *rig) allowed() map[string]int {
	all := make(map[string]int)
	for i := range 500 {
		r.Arrived("model")
		for _, v := range r.Plan("model", "report", fmt.Sprint("r", i), nil, nil).Versions {
			all[v]++
		}
	}
	return all
}

func order(revision int64, target string) Order {
	return Order{Name: "model", Service: "model", Target: target, Duration: 40 * time.Second, Revision: revision}
}

// TestVersionBesideAnotherOneWaitsForAnOrder guards against requests that a version gets just before the order for it is known, and against
// a service without an order whose new servers get none.
func TestVersionBesideAnotherOneWaitsForAnOrder(t *testing.T) {
	r := newRig(t)
	r.SetOrders(nil, 0)
	r.start("v1", 4)
	r.pass(time.Second)
	assert.DeepEqual(t, r.allowed(), map[string]int{"v1": 500})
	r.start("v2", 4)
	r.pass(100 * time.Millisecond)
	assert.DeepEqual(t, r.allowed(), map[string]int{"v1": 500})
	r.pass(2700 * time.Millisecond)
	assert.DeepEqual(t, r.allowed(), map[string]int{"v1": 500})
	r.pass(300 * time.Millisecond)
	assert.DeepEqual(t, r.allowed(), map[string]int{"v1": 500, "v2": 500})
	r.stop("v1")
	r.stop("v2")
	r.start("v3", 1)
	r.pass(100 * time.Millisecond)
	assert.Assert(t, r.allowed()["v3"] == 500, "nothing else is there")
}

// TestHostThatStartsServesTheOldestVersion guards against requests that the target of an order gets because a host has not read it yet.
func TestHostThatStartsServesTheOldestVersion(t *testing.T) {
	r := newRig(t)
	r.start("v2", 2)
	r.start("v1", 2)
	assert.DeepEqual(t, r.allowed(), map[string]int{})
	r.SetOrders(nil, 0)
	r.pass(100 * time.Millisecond)
	assert.DeepEqual(t, r.allowed(), map[string]int{"v2": 500})
}

// TestPlanFollowsTheOrder checks which versions may run a request before, during and after an order.
func TestPlanFollowsTheOrder(t *testing.T) {
	tests := []struct {
		name    string
		then    func(*rig)
		allowed []string
		denied  []string
	}{
		{"in force", func(*rig) {}, []string{"v1", "v2"}, nil},
		{"another version appears", func(r *rig) { r.start("v9", 3); r.pass(4 * time.Second) }, []string{"v1", "v2"}, []string{"v9"}},
		{"reverted", func(r *rig) {
			o := order(9, "v2")
			o.Status, o.StatusTarget = Reverted, "v2"
			r.ChangeOrders([]Order{o}, nil, 9)
			r.pass(10 * time.Second)
		}, []string{"v1"}, []string{"v2"}},
		{"completed", func(r *rig) {
			o := order(9, "v2")
			o.Status, o.StatusTarget = Completed, "v2"
			r.ChangeOrders([]Order{o}, nil, 9)
			r.pass(10 * time.Second)
		}, []string{"v2"}, []string{"v1"}},
		{"a status for another target", func(r *rig) {
			o := order(9, "v2")
			o.Status, o.StatusTarget = Completed, "v1"
			r.ChangeOrders([]Order{o}, nil, 9)
			r.pass(time.Second)
		}, []string{"v1", "v2"}, nil},
		{"disappeared", func(r *rig) { r.ChangeOrders(nil, []string{"model"}, 9); r.pass(10 * time.Second) }, []string{"v1"}, []string{"v2"}},
		{"another target", func(r *rig) {
			r.start("v3", 4)
			r.ChangeOrders([]Order{order(9, "v3")}, nil, 9)
			r.pass(time.Second)
		}, []string{"v1", "v3"}, []string{"v2"}},
		{"another target that is completed", func(r *rig) {
			r.start("v3", 4)
			o := order(9, "v3")
			r.ChangeOrders([]Order{o}, nil, 9)
			r.pass(time.Second)
			o.Revision, o.Status, o.StatusTarget = 10, Completed, "v3"
			r.ChangeOrders([]Order{o}, nil, 10)
			r.pass(5 * time.Second)
		}, []string{"v3"}, []string{"v1", "v2"}},
		{"back to the version before", func(r *rig) {
			r.ChangeOrders([]Order{order(9, "v1")}, nil, 9)
			r.pass(5 * time.Second)
		}, []string{"v1"}, []string{"v2"}},
		{"ordered again after it was reverted", func(r *rig) {
			o := order(9, "v2")
			o.Status, o.StatusTarget = Reverted, "v2"
			r.ChangeOrders([]Order{o}, nil, 9)
			r.pass(time.Second)
			o.Revision, o.Status, o.StatusTarget = 10, Unset, ""
			r.ChangeOrders([]Order{o}, nil, 10)
			r.pass(time.Second)
		}, []string{"v1", "v2"}, nil},
		{"reverted by another host while the store is away", func(r *rig) {
			r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", Verdict: Reverted, Revision: 5}})
		}, []string{"v1"}, []string{"v2"}},
		{"reverted at an earlier order for the same target", func(r *rig) {
			r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", Verdict: Reverted, Revision: 3}})
		}, []string{"v1", "v2"}, nil},
		{"no news from store and hosts", func(r *rig) {
			r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", Revision: 5}})
			r.mu.Lock()
			r.at = r.at.Add(4 * time.Second)
			r.mu.Unlock()
		}, []string{"v1"}, []string{"v2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.SetOrders(nil, 0)
			r.start("v1", 4)
			r.pass(time.Second)
			r.start("v2", 4)
			r.ChangeOrders([]Order{order(5, "v2")}, nil, 5)
			r.pass(time.Second)
			tc.then(r)
			got := r.allowed()
			for _, v := range tc.allowed {
				assert.Assert(t, got[v] > 0, "%s: %v", v, got)
			}
			for _, v := range tc.denied {
				assert.Equal(t, got[v], 0, "%v", got)
			}
		})
	}
}

// TestOrderKnownToOtherHostsOnlyIsFollowed guards against a host that can't reach the store and sends everything to a version that is on trial.
func TestOrderKnownToOtherHostsOnlyIsFollowed(t *testing.T) {
	r := newRig(t)
	r.start("v1", 4)
	r.start("v2", 4)
	r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", DurationMS: 40000, Base: []string{"v1"}, AgeMS: 3000, Revision: 5}})
	r.pass(4 * time.Second)
	r.Merge([]Report{{Name: "model", Service: "model", Target: "v2", DurationMS: 40000, Base: []string{"v1"}, AgeMS: 7000, Revision: 5}})
	got := r.allowed()
	assert.Assert(t, got["v2"] > 0 && got["v2"] <= 50, "%v", got)
	assert.Equal(t, got["v1"], 500-got["v2"])
}

// TestHostThatStartsDuringAnOrderTakesItsEvidence guards against evidence that is lost because the hosts that have it know an earlier revision.
func TestHostThatStartsDuringAnOrderTakesItsEvidence(t *testing.T) {
	r := newRig(t)
	o := order(6, "v2")
	o.Status, o.StatusTarget = InProgress, "v2"
	r.SetOrders([]Order{o}, 0)
	r.start("v1", 4)
	r.start("v2", 4)
	r.Merge([]Report{{
		Name: "model", Service: "model", Target: "v2", DurationMS: 40000, Base: []string{"v1"}, AgeMS: 9000, Revision: 5,
		Sources: []Source{{Domain: "d2", Host: "h7", Arrivals: 900, Rows: []Row{{Route: 1, Kind: newRow, Sent: 72, Answers: 70}}}},
	}})
	r.pass(time.Second)
	assert.Equal(t, r.Status().Target.Answers, 70)
	got := r.allowed()
	assert.Assert(t, got["v2"] <= 40, "the share counts what others have sent: %v", got)
}

// TestRepeatedRequestsGoToTheOldVersion guards against a second send to a version that has just failed.
func TestRepeatedRequestsGoToTheOldVersion(t *testing.T) {
	r := newRig(t)
	r.SetOrders([]Order{order(5, "v2")}, 0)
	r.start("v1", 4)
	r.start("v2", 4)
	r.pass(time.Second)
	for i := range 500 {
		assert.DeepEqual(t, r.Plan("model", "report", fmt.Sprint("r", i), []string{"v2"}, nil).Versions, []string{"v1"})
	}
	begun := "v2"
	p := r.Plan("model", "report", "r", []string{"v2"}, &begun)
	assert.DeepEqual(t, p.Versions, []string{"v2"})
	assert.DeepEqual(t, p.Fallback, []string{"v1", "v2"})
}

// TestColdServersAreNoEvidenceOfSlowness guards against a good version that is given up because its servers are cold.
func TestColdServersAreNoEvidenceOfSlowness(t *testing.T) {
	r := newRig(t)
	cold := pool.Server{ID: "c", Service: "model", Version: "v2", Region: "east", Slots: 8, ColdRemaining: 5 * time.Second}
	r.servers[cold] = pool.Load{}
	r.start("v1", 4)
	o := order(5, "v2")
	// The load test, in which speeds don't count, begins after 40 s.
	o.Duration = 200 * time.Second
	r.SetOrders([]Order{o}, 0)
	r.pass(time.Second)
	answer := func(s pool.Server, took time.Duration) {
		sample := r.Sent("model", "report", s, 0)
		r.mu.Lock()
		r.at = r.at.Add(took)
		r.mu.Unlock()
		sample.Answered(false)
	}
	var old pool.Server
	for s := range r.servers {
		if s.Version == "v1" {
			old = s
		}
	}
	for range 20 {
		answer(old, 50*time.Millisecond)
	}
	answer(cold, time.Second)
	r.pass(100 * time.Millisecond)
	assert.Equal(t, r.Status().Target.Slow, 0)
	r.pass(5 * time.Second)
	answer(cold, time.Second)
	r.pass(100 * time.Millisecond)
	assert.Equal(t, r.Status().Target.Slow, 1)
}

// TestTrialLoadsServersLikeOldOnes guards against a trial spread over all of the target's servers, which shows nothing under load, and against
// one on so few that a good version looks slow.
func TestTrialLoadsServersLikeOldOnes(t *testing.T) {
	r := newRig(t)
	r.SetOrders([]Order{order(5, "v2")}, 0)
	r.start("v1", 60)
	r.start("v2", 60)
	r.pass(time.Second)
	open := func() int {
		excluded := 0
		for i := range 500 {
			r.Arrived("model")
			if p := r.Plan("model", "report", fmt.Sprint("r", i), nil, nil); p.Versions[0] == "v2" {
				assert.DeepEqual(t, p.Fallback, []string{"v1"})
				excluded = max(excluded, len(p.Exclude))
			}
		}
		return 60 - excluded
	}
	assert.Equal(t, open(), 4, "0.065 of the requests are 4 of 60 servers' part")
	for s := range r.servers {
		if s.Version == "v2" {
			r.servers[s] = pool.Load{Runs: 1}
		}
	}
	r.pass(8 * time.Second)
	assert.Equal(t, open(), 11, "60 requests fill 6 of 8 slots of 10 servers")
	r.rollouts["model"].step, r.rollouts["model"].stepAt = stepHalf, r.now()
	r.pass(100 * time.Millisecond)
	assert.Equal(t, open(), 60)
}
