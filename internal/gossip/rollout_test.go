package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// TestEvidenceOfRolloutsReachesAllHosts guards against hosts that decide on a part of the evidence, and against hosts that go on sending to
// a version after others have given it up.
func TestEvidenceOfRolloutsReachesAllHosts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hosts int
	}{{"mesh", 5}, {"relays", 24}} {
		t.Run(tc.name, func(t *testing.T) {
			all := startLarge(t, tc.hosts)
			order := canary.Order{Name: "model", Service: "model", Target: "v2", Duration: time.Minute, Revision: 3}
			target := pool.Server{ID: "s2", Service: "model", Version: "v2", Region: "east", Domain: "d1", Slots: 8}
			for _, m := range all {
				m.Pool.Put(pool.Server{ID: "s1", Service: "model", Version: "v1", Region: "east", Domain: "d1", Slots: 8}, time.Now())
				m.Pool.Put(target, time.Now())
			}
			// Most hosts learn of the order from others.
			all[0].rollouts.SetOrders([]canary.Order{order}, 0)
			for _, m := range all {
				eventually(t, m.Self+" to hear of the order", func() bool { return m.rollouts.Status().InForce == 1 })
			}
			for _, m := range all {
				m.rollouts.Sent("model", "report", target, 0).Answered(false)
			}
			for _, m := range all {
				eventually(t, m.Self+" to count the answers at all hosts", func() bool {
					m.rollouts.Look()
					return m.rollouts.Status().Target.Answers == tc.hosts
				})
			}
			order.Revision, order.Status, order.StatusTarget = 4, canary.Reverted, "v2"
			began := time.Now()
			all[len(all)-1].rollouts.ChangeOrders([]canary.Order{order}, nil, 4)
			for _, m := range all {
				eventually(t, m.Self+" to give the version up", func() bool { return m.rollouts.Status().Reverted == 1 })
			}
			assert.Assert(t, time.Since(began) < 3*time.Second, "%s", time.Since(began))
		})
	}
}

// TestReportsFitADatagram checks that the largest reports are sent in parts.
func TestReportsFitADatagram(t *testing.T) {
	r := canary.Report{Name: strings.Repeat("n", 60), Service: strings.Repeat("s", 60), Target: strings.Repeat("t", 60), Base: []string{"v1", "v2"}}
	for d := range 8 {
		s := canary.Source{Domain: fmt.Sprint("domain-", d), Arrivals: 1 << 30, BadServers: 1 << 63}
		for i := range 96 {
			s.Rows = append(s.Rows, canary.Row{Route: 1<<32 - 1 - uint32(i), Sent: 60000, Answers: 60000, Failures: 300, Breaks: 20, Timed: 60000, Slow: 300})
		}
		r.Sources = append(r.Sources, s)
	}
	parts := splitReports([]canary.Report{r})
	sources := 0
	for _, part := range parts {
		summary, err := cbor.Marshal(Summary{Host: "h", Rollouts: part})
		assert.NilError(t, err)
		payload, err := cbor.Marshal(message{Summary: summary})
		assert.NilError(t, err)
		assert.Assert(t, len(payload) <= maxDatagram, "%d", len(payload))
		sources += len(part[0].Sources)
	}
	assert.Equal(t, sources, 8)
}
