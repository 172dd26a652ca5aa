package front_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// rolloutRig is a rig with an order for one of its services; its first servers have the version v1, all others v2.
type rolloutRig struct {
	*rig

	table   *canary.Table
	service string
}

func newRolloutRig(t *testing.T, service string, old, target int) *rolloutRig {
	t.Helper()
	r := &rolloutRig{rig: newRig(t, 0), service: service}
	r.table = &canary.Table{
		Config: canary.Config{Share: 1, Tolerance: 10000, Revert: 5 * time.Second}, Host: "h0", Domain: "d1", Incarnation: 1,
		Servers: r.Pool.Snapshot, Log: slog.New(slog.DiscardHandler),
	}
	r.Rollouts = r.table
	for i := range old + target {
		e := &plat.Server{ID: string(rune('a' + i)), Version: "v1", Events: 20, Pause: 10 * time.Millisecond, Copies: r.copies}
		if i >= old {
			e.Version = "v2"
		}
		e.Start()
		t.Cleanup(e.Crash)
		r.engines = append(r.engines, e)
		r.Pool.Put(pool.Server{ID: e.ID, Service: service, Version: e.Version, Address: e.Address(), Domain: "d1", Region: "east", Slots: 8}, time.Now())
	}
	r.table.SetOrders([]canary.Order{{Name: service, Service: service, Target: "v2", Duration: time.Minute, Revision: 3}}, 0)
	r.table.Look()
	return r
}

// attemptFor returns the ID of a request that goes to a version first.
func (r *rolloutRig) attemptFor(version, route string) string {
	for n := 0; ; n++ {
		id := fmt.Sprint("id", n)
		if p := r.table.Plan(r.service, route, id, nil, nil); len(p.Versions) == 1 && p.Versions[0] == version {
			return id
		}
	}
}

func (r *rolloutRig) status() canary.Status {
	r.table.Look()
	return r.table.Status()
}

// requestsOf returns the requests that the servers of a version have received.
func (r *rolloutRig) requestsOf(version string) int {
	n := 0
	for _, e := range r.engines {
		if e.Version == version {
			n += len(e.Requests())
		}
	}
	return n
}

// TestFailuresAreEvidence guards against failures that a roll-out does not see, and against repeats at the version that has failed.
func TestFailuresAreEvidence(t *testing.T) {
	broken := func(conn net.Conn, _ *plat.Request) bool { _ = conn.Close(); return true }
	tests := []struct {
		name    string
		path    string
		route   string
		prepare func(*plat.Server)
		want    canary.Counts
		status  int
	}{
		{"an answer", "/read/x", "read", func(*plat.Server) {}, canary.Counts{Sent: 1, Answers: 1}, http.StatusOK},
		{"status 500, repeated at the old version", "/read/x", "read", func(e *plat.Server) {
			e.IsBad = func(*plat.Request) bool { return true }
		}, canary.Counts{Sent: 1, Answers: 1, Failures: 1}, http.StatusOK},
		{"status 500, not repeated", "/book/x", "book", func(e *plat.Server) {
			e.IsBad = func(*plat.Request) bool { return true }
		}, canary.Counts{Sent: 1, Answers: 1, Failures: 1}, http.StatusInternalServerError},
		{"a broken connection", "/read/x", "read", func(e *plat.Server) { e.Script = broken }, canary.Counts{Sent: 1, Breaks: 1}, http.StatusOK},
		{"an answer without the signature", "/read/x", "read", func(e *plat.Server) {
			e.Script = func(conn net.Conn, r *plat.Request) bool { plat.Reply(conn, r, http.StatusOK, "odd", ""); return true }
		}, canary.Counts{Sent: 1, Answers: 1, Failures: 1}, http.StatusOK},
		{
			"an answer that does not come in time", "/book/x", "book", func(e *plat.Server) { e.Delay = 3 * time.Second },
			canary.Counts{Sent: 1, Answers: 1, Failures: 1},
			http.StatusGatewayTimeout,
		},
		{"a server that sheds", "/read/x", "read", func(e *plat.Server) {
			e.Script = func(conn net.Conn, r *plat.Request) bool {
				plat.Reply(conn, r, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
				return true
			}
		}, canary.Counts{Sent: 1}, http.StatusOK},
		{"a server that is not there", "/read/x", "read", (*plat.Server).Crash, canary.Counts{Sent: 1}, http.StatusOK},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRolloutRig(t, "mill", 1, 1)
			tc.prepare(r.engines[1])
			got := r.do(t, callerRequest{path: tc.path, key: "k1", headers: map[string]string{"Attempt-Id": r.attemptFor("v2", tc.route)}})
			assert.Equal(t, got.status, tc.status, "%+v", got)
			assert.DeepEqual(t, r.status().Target, tc.want)
		})
	}
}

// TestCallersThatLeaveAreNoEvidence guards against a version that is given up because callers close their connections.
func TestCallersThatLeaveAreNoEvidence(t *testing.T) {
	r := newRolloutRig(t, "mill", 1, 1)
	r.engines[1].Delay = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := r.try(ctx, callerRequest{path: "/book/x", key: "k1", headers: map[string]string{"Attempt-Id": r.attemptFor("v2", "book")}}) //nolint:bodyclose // there is none
	assert.Assert(t, err != nil)
	r.Wait(t.Context())
	assert.DeepEqual(t, r.status().Target, canary.Counts{Sent: 1})
}

// TestRequestsFallBackToTheOldVersion guards against refusals because the servers of a version on trial have no room or are not there.
func TestRequestsFallBackToTheOldVersion(t *testing.T) {
	r := newRolloutRig(t, "mill", 1, 1)
	id := r.attemptFor("v2", "read")
	r.Pool.Put(pool.Server{ID: "b", Service: "mill", Version: "v2", Address: r.engines[1].Address(), Domain: "d1", Region: "east", Slots: 8, Draining: true}, time.Now())
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1", headers: map[string]string{"Attempt-Id": id}}).status, http.StatusOK)
	assert.Equal(t, r.requestsOf("v2"), 0)
	assert.Equal(t, r.requestsOf("v1"), 1)
}

// TestStreamsStayWithinTheirVersion guards against events of two versions in one answer, and checks that a stream that breaks is evidence.
func TestStreamsStayWithinTheirVersion(t *testing.T) {
	r := newRolloutRig(t, "model", 2, 2)
	id := r.attemptFor("v2", "report")
	done := make(chan reply, 1)
	go func() {
		done <- r.do(t, callerRequest{path: "/report/x", key: "k1", headers: map[string]string{"Attempt-Id": id, "Token-Usage": "300,2000"}})
	}()
	var source *plat.Server
	eventually(t, "the stream to begin", func() bool {
		for _, e := range r.engines[2:] {
			if e.IsAtWork(id) {
				source = e
			}
		}
		return source != nil
	})
	time.Sleep(80 * time.Millisecond)
	source.Crash()
	got := <-done
	assert.Equal(t, got.status, http.StatusOK)
	assert.NilError(t, got.err)
	assert.Equal(t, r.requestsOf("v1"), 0, "the run's copy and its resumption are at its own version")
	s := r.status()
	assert.DeepEqual(t, s.Target, canary.Counts{Sent: 2, Answers: 1, Breaks: 1})
}
