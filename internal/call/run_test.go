package call_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type placer struct{ excluded [][]string }

func (p *placer) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	p.excluded = append(p.excluded, slices.Clone(r.Exclude))
	name := string(rune('a' + len(r.Exclude)))
	return ticket{config.Backend{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")}}, nil
}

type ticket struct{ backend config.Backend }

func (t ticket) Backend() config.Backend { return t.backend }
func (t ticket) Priority() int           { return 0 }
func (t ticket) Progress(int)            {}
func (t ticket) Release(sched.Outcome)   {}

// script returns its results to the sends in turn and then repeats the last one.
type script struct {
	results []call.SendResult
	took    time.Duration
	sends   []call.SendOptions
}

func (s *script) Send(_ context.Context, _ netip.AddrPort, _ call.Call, o call.SendOptions) call.SendResult {
	s.sends = append(s.sends, o)
	time.Sleep(min(s.took, o.Limit))
	return s.results[min(len(s.sends), len(s.results))-1]
}

func answered(status int) call.SendResult {
	return call.SendResult{Event: call.EventAnswered, Answer: call.Answer{Status: status}}
}

func TestRunnerSends(t *testing.T) {
	lost := call.SendResult{Event: call.EventLost, Err: errors.New("reset")}
	unreached := call.SendResult{Event: call.EventUnreachable, Err: errors.New("dial")}
	tests := []struct {
		name       string
		repeatable bool
		declared   bool
		results    []call.SendResult
		sends      int
		code       refuse.Code
		run        refuse.Run
	}{
		{"answered", false, false, []call.SendResult{answered(201)}, 1, "", ""},
		{"reset is never repeated", false, false, []call.SendResult{lost, answered(201)}, 1, refuse.CodeInterrupted, refuse.MayHaveRun},
		{"dial failure is retried on another server", false, false, []call.SendResult{unreached, answered(201)}, 2, "", ""},
		{"no server reached", false, false, []call.SendResult{unreached}, 3, refuse.CodeNoBackend, refuse.NotRun},
		{"503 is an answer", false, false, []call.SendResult{answered(503)}, 1, "", ""},
		{"503 declared as a refusal", false, true, []call.SendResult{answered(503), answered(201)}, 2, "", ""},
		{"503 declared, everywhere", false, true, []call.SendResult{answered(503)}, 3, refuse.CodeOverloaded, refuse.NotRun},
		{"dial failure, then reset", false, false, []call.SendResult{unreached, lost}, 2, refuse.CodeInterrupted, refuse.MayHaveRun},
		{"repeatable after a reset", true, false, []call.SendResult{lost, answered(200)}, 2, "", ""},
		{"repeatable after 503", true, false, []call.SendResult{answered(503), answered(200)}, 2, "", ""},
		{"repeatable, always lost", true, false, []call.SendResult{lost}, 3, refuse.CodeInterrupted, refuse.MayHaveRun},
		{"repeatable, lost then unreached", true, false, []call.SendResult{lost, unreached}, 3, refuse.CodeNoBackend, refuse.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := &placer{}, &script{results: tt.results}
				r := &call.Runner{Placer: p, Sender: s, Budget: &budget.Retry{}, Clock: call.SystemClock{}}
				_, err := r.Run(t.Context(), call.Call{Repeatable: tt.repeatable, RefusesBeforeRun: tt.declared, Deadline: time.Now().Add(time.Minute)})
				assert.Equal(t, len(s.sends), tt.sends)
				assert.Equal(t, len(p.excluded[tt.sends-1]), tt.sends-1)
				if tt.code == "" {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, refuse.From(err).Code, tt.code)
				assert.Equal(t, refuse.From(err).Run, tt.run)
			})
		})
	}
}

func TestNothingIsSentPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{results: []call.SendResult{{Event: call.EventLost, Err: context.DeadlineExceeded}}, took: time.Hour}
		r := &call.Runner{Placer: &placer{}, Sender: s, Budget: &budget.Retry{}, Clock: call.SystemClock{}}
		began := time.Now()
		_, err := r.Run(t.Context(), call.Call{Repeatable: true, Deadline: began.Add(4 * time.Second)})
		assert.Equal(t, refuse.From(err).Code, refuse.CodeTimeout)
		assert.Assert(t, time.Since(began) <= 4*time.Second)
		assert.Equal(t, s.sends[0].Limit, 2*time.Second)
		assert.Assert(t, !s.sends[0].NewConnection && s.sends[1].NewConnection)
	})
}

// TestRetriesDoNotFeedCollapse checks that the retry budget keeps the sends under 1.1 for each call while all
// backend servers are overloaded and answer 503.
func TestRetriesDoNotFeedCollapse(t *testing.T) {
	const arrivals = 2000
	tests := []struct {
		name   string
		budget call.Budget
		over   bool
	}{
		{"shared budget", &budget.Retry{}, false},
		{"no bound", noBound{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{results: []call.SendResult{answered(503)}}
				r := &call.Runner{Placer: &placer{}, Sender: s, Budget: tt.budget, Clock: call.SystemClock{}}
				for range arrivals {
					a, err := r.Run(t.Context(), call.Call{Repeatable: true, Deadline: time.Now().Add(time.Minute)})
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 503)
				}
				over := float64(len(s.sends)) >= 1.1*arrivals
				assert.Equal(t, over, tt.over, "%d sends for %d arrivals", len(s.sends), arrivals)
				t.Logf("%d sends for %d arrivals", len(s.sends), arrivals)
			})
		})
	}
}

type noBound struct{}

func (noBound) Arrived()    {}
func (noBound) Allow() bool { return true }

// TestCrashingCallIsQuarantined checks that a call that crashes each backend server is sent only twice.
func TestCrashingCallIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{results: []call.SendResult{{Event: call.EventLost, Err: errors.New("reset")}}}
		r := &call.Runner{Placer: &placer{}, Sender: s, Budget: &budget.Retry{}, Clock: call.SystemClock{}, Guard: &poison.Table{}}
		for range 5 {
			c := call.Call{Method: "POST", Body: []byte("kill"), Repeatable: true, Deadline: time.Now().Add(time.Minute)}
			_, err := r.Run(t.Context(), c)
			assert.Equal(t, refuse.From(err).Code, refuse.CodeQuarantined)
		}
		assert.Equal(t, len(s.sends), 2)
		s.results = []call.SendResult{answered(200)}
		_, err := r.Run(t.Context(), call.Call{Method: "POST", Body: []byte("other"), Repeatable: true, Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
	})
}

func TestStepsOfACallAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{results: []call.SendResult{{Event: call.EventUnreachable, Err: errors.New("dial")}, answered(200)}}
		d := &board.Decisions{}
		r := &call.Runner{Placer: &placer{}, Sender: s, Clock: call.SystemClock{}, Decisions: d}
		_, err := r.Run(t.Context(), call.Call{Place: sched.Request{ID: "req-1"}, Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
		var steps []string
		for _, one := range d.ForRequest("req-1") {
			steps = append(steps, one.Step+" "+one.Backend+" "+one.Reason)
		}
		assert.DeepEqual(t, steps, []string{"started a ", "retried a no connection", "started b ", "finished  "})
	})
}
