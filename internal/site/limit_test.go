package site

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
)

const (
	// limitContact is the time after which hosts must keep to a limit, limitWindow the window in which requests count.
	limitContact = 4 * time.Second
	limitWindow  = 4 * time.Second
)

// mostInWindow returns the largest number of requests that a server received in a window after a time.
func mostInWindow(s *plat.Server, after time.Time) int {
	var at []time.Time
	for _, r := range s.Requests() {
		if r.At.After(after) {
			at = append(at, r.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most := 0
	for i, from := range at {
		n := i
		for n < len(at) && at[n].Sub(from) <= limitWindow {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

// TestServersGetNoMoreThanTheyName is the regression test for the incident LIMIT.
func TestServersGetNoMoreThanTheyName(t *testing.T) {
	t.Parallel()
	w := newTestTown(t, 3)
	limits := map[int]float64{1: 2, 3: 2.6}
	for i, limit := range limits {
		w.Servers[i].State(fmt.Sprintf("Server-Limit: %g\r\n", limit))
	}
	named := time.Now()
	end := named.Add(limitContact + 2*limitWindow)
	var callers sync.WaitGroup
	for i := range w.hosts {
		callers.Add(1)
		go func() {
			defer callers.Done()
			ticker := time.NewTicker(70 * time.Millisecond)
			defer ticker.Stop()
			for time.Now().Before(end) {
				<-ticker.C
				assert.Check(t, w.request(t, i, "/read/x", town.Key).status == http.StatusOK)
			}
		}()
	}
	callers.Wait()
	for i, limit := range limits {
		got, allowed := mostInWindow(w.Servers[i], named.Add(limitContact)), int(math.Ceil(1.5*limit*limitWindow.Seconds()))+5
		assert.Check(t, got <= allowed, "server %s got %d requests in %s, %d are allowed", w.Servers[i].ID, got, limitWindow, allowed)
		assert.Check(t, float64(got) > limit*limitWindow.Seconds()/2, "server %s got %d requests", w.Servers[i].ID, got)
	}
}
