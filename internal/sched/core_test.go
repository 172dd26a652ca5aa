package sched

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

func TestStartsUpToSlots(t *testing.T) {
	n := newCluster(2, config.Row{Workspace: "w", Weight: 1, Lend: true})
	for i := range 6 {
		n.submit(0, strconv.Itoa(i), "w")
	}
	n.advance(time.Second)
	assert.Equal(t, len(n.started), 4)
	n.release(0, "0", ResultOK)
	assert.Equal(t, len(n.started), 5)
}

func TestQueueIsBounded(t *testing.T) {
	n := newCluster(1, config.Row{Workspace: "w", Weight: 1, Lend: true, MaxWaiting: 2})
	for i := range 5 {
		n.submit(0, strconv.Itoa(i), "w")
	}
	assert.Equal(t, len(n.started), 2)
	assert.Equal(t, len(n.refused), 1)
	e := n.refused["4"]
	assert.Equal(t, e.Code, refuse.CodeOverloaded)
	assert.Equal(t, e.Run, refuse.NotRun)
	assert.Assert(t, e.RetryAfter > 0)
}

// TestRetryAfter checks that the Retry-After of a refused request is within its bounds once the wait is estimated.
func TestRetryAfter(t *testing.T) {
	n := newCluster(1, config.Row{Workspace: "w", Weight: 1, Lend: true, MaxWaiting: 1000})
	id := 0
	for range 200 {
		for range 2 {
			n.submit(0, strconv.Itoa(id), "w")
			id++
		}
		n.advance(500 * time.Millisecond)
		for done := range n.started {
			n.release(0, done, ResultOK)
			break
		}
		for done := range n.cores[0].running {
			n.release(0, done, ResultOK)
			break
		}
	}
	var last *refuse.Error
	for _, e := range n.refused {
		last = e
	}
	assert.Assert(t, last != nil, "requests must be refused before the queue is full when it grows without bound")
	assert.Assert(t, last.RetryAfter >= minRetryAfter && last.RetryAfter <= maxRetryAfter)
}

func TestWaitingRequestExpires(t *testing.T) {
	n := newCluster(1, config.Row{Workspace: "w", Weight: 1, Lend: true})
	for i := range 3 {
		n.submit(0, strconv.Itoa(i), "w")
	}
	n.advance(61 * time.Second)
	assert.Assert(t, n.refused["2"] != nil)
	assert.Equal(t, n.cores[0].backendList[0].owner.waiting, 0)
}

// TestLimitAcrossHosts checks that a burst at several owners exceeds a row's limit by less than one start per host, and
// that the limit itself holds from then on.
func TestLimitAcrossHosts(t *testing.T) {
	const hosts, limit = 4, 3
	n := newCluster(hosts, config.Row{Workspace: "w", Weight: 1, Lend: true, MaxRunning: limit})
	n.advance(time.Second)
	for i := range 8 {
		n.submit(i%hosts, strconv.Itoa(i), "w")
	}
	n.advance(time.Second)
	assert.Assert(t, len(n.started) >= limit && len(n.started) < limit+hosts, "%d", len(n.started))
	for round := range 4 {
		id := strconv.Itoa(round)
		n.release(round%hosts, id, ResultOK)
		n.advance(time.Second)
	}
	running := 0
	for _, c := range n.cores {
		running += len(c.running)
	}
	assert.Equal(t, running, limit)
}

func TestTableChangeAppliesToWaitingRequests(t *testing.T) {
	row := config.Row{Workspace: "w", Weight: 1, Lend: true}
	tests := []struct {
		name   string
		before int
		after  int
		want   int
	}{
		{"limit raised", 1, 2, 2},
		{"limit lowered", 2, 1, 1},
		{"limit removed", 1, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			row.MaxRunning = test.before
			n := newCluster(1, row)
			n.submit(0, "first", "w")
			n.advance(time.Second)
			row.MaxRunning = test.after
			n.configure(testView(1, row))
			for i := range 6 {
				n.submit(0, strconv.Itoa(i), "w")
			}
			n.advance(time.Second)
			running := 0
			for _, c := range n.cores {
				running += len(c.running)
			}
			assert.Equal(t, running, test.want)
		})
	}
}

// TestUnlentShareStaysFree checks that a share that is not lent stays free while its row is idle.
func TestUnlentShareStaysFree(t *testing.T) {
	for _, lend := range []bool{true, false} {
		n := newCluster(1, config.Row{Workspace: "w", Weight: 1, Lend: true}, config.Row{Workspace: "kept", Weight: 1, Lend: lend})
		n.submit(0, "0", "w")
		n.submit(0, "1", "w")
		n.advance(time.Second)
		want := 1
		if lend {
			want = 2
		}
		assert.Equal(t, len(n.started), want)
	}
}

func TestFailedBackendIsAvoided(t *testing.T) {
	n := newCluster(2, config.Row{Workspace: "w", Weight: 1, Lend: true})
	n.submit(0, "0", "w")
	failed := n.started["0"][0]
	n.release(0, "0", ResultFailed)
	for i := 1; i < 3; i++ {
		n.submit(0, strconv.Itoa(i), "w")
		assert.Assert(t, n.started[strconv.Itoa(i)][0] != failed)
	}
}

// TestLostMessages checks, for random sequences of calls and lost messages, that each request is started or refused
// exactly once and that owners have no claims or grants left in the end.
func TestLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 3
		n := newCluster(hosts, config.Row{Workspace: "v", Weight: 3, Lend: true}, config.Row{Workspace: "w", Weight: 1, Lend: true})
		lossy := true
		n.drop = func(string) bool { return lossy && rapid.IntRange(0, 3).Draw(rt, "loss") == 0 }
		entry := make(map[string]int)
		released := make(map[string]bool)
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			id := strconv.Itoa(i)
			entry[id] = rapid.IntRange(0, hosts-1).Draw(rt, "host")
			n.submit(entry[id], id, rapid.SampledFrom([]string{"v", "w"}).Draw(rt, "workspace"))
			n.advance(time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond)
			for _, done := range slices.Sorted(maps.Keys(n.started)) {
				if !released[done] && rapid.Bool().Draw(rt, "release") {
					released[done] = true
					n.release(entry[done], done, ResultOK)
				}
			}
		}
		lossy = false
		for range 60 {
			n.advance(time.Second)
			for done := range n.started {
				if !released[done] {
					released[done] = true
					n.release(entry[done], done, ResultOK)
				}
			}
		}
		for id := range entry {
			ends := len(n.started[id])
			if n.refused[id] != nil {
				ends++
			}
			if ends != 1 {
				rt.Fatalf("request %s was started %v and refused %v", id, n.started[id], n.refused[id])
			}
		}
		for _, c := range n.cores {
			for _, b := range c.backendList {
				if len(b.owner.grants)+b.owner.waiting != 0 {
					rt.Fatalf("%s holds %d grants and %d claims of %s", c.Host, len(b.owner.grants), b.owner.waiting, b.Name)
				}
			}
		}
	})
}

// TestServiceWithoutBackends checks that a request is refused when all backend servers of its service are draining, and
// submits others that already wait when the drain begins.
func TestServiceWithoutBackends(t *testing.T) {
	n := newCluster(1, config.Row{Workspace: "w", Weight: 1, Lend: true})
	for i := range 4 {
		n.submit(0, strconv.Itoa(i), "w")
	}
	out := testView(1, config.Row{Workspace: "w", Weight: 1, Lend: true})
	for i, b := range out.Table.Backends {
		b.Draining = true
		out.Table.Backends[i] = b
		out.Backends[b.Name] = b
	}
	for service, list := range out.ByService {
		for i := range list {
			out.ByService[service][i].Draining = true
		}
	}
	n.configure(out)
	n.advance(time.Second)
	n.submit(0, "late", "w")
	n.advance(time.Second)
	assert.Equal(t, n.refused["late"].Code, refuse.CodeNoBackend)
	assert.Equal(t, n.refused["late"].Run, refuse.NotRun)
}
