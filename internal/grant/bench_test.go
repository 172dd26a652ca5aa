package grant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/grant"
)

// BenchmarkRoom measures Headroom with the 2300 backend servers of one failure domain.
func BenchmarkRoom(b *testing.B) {
	l := &grant.Ledger{Self: "entry-0", Domain: "d", Incarnation: 1, Period: period}
	var list []grant.Backend
	for i := range 2300 {
		list = append(list, grant.Backend{Name: fmt.Sprintf("engine-%d", i), Domain: "d", Max: 64, Cold: 64})
	}
	l.SetBackends(list)
	now := time.Unix(1_000_000, 0)
	for range 60 {
		now = now.Add(period)
		l.Tick(grant.HostView{Live: []string{"entry-0"}, Listed: true}, now)
	}
	if l.Headroom("engine-7", now) != 64 {
		b.Fatalf("room %d", l.Headroom("engine-7", now))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Headroom("engine-7", now)
	}
}
