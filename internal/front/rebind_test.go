package front_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// change puts a version of the table in force that differs by a change.
func (r *rig) change(change func(*policy.Table)) {
	next := table()
	next.Version = 2
	change(next)
	r.Tables.PutIfNewer(next)
	r.Tables.Confirm(ticks.Now())
}

// start sends a request and returns the channel for the status of its answer, 0 if its connection ends without one.
func (r *rig) start(t *testing.T, request callerRequest) <-chan int {
	statuses := make(chan int, 1)
	go func() {
		resp, err := r.try(t.Context(), request)
		if err != nil {
			statuses <- 0
			return
		}
		_ = resp.Body.Close()
		statuses <- resp.StatusCode
	}()
	return statuses
}

// removeRoutes removes all routes from a table but one, which no request of the tests takes.
func removeRoutes(t *policy.Table) {
	t.SetRoutes([]*policy.Route{{Name: "other", Host: "h.example", Prefix: "/other/", Services: []policy.WeightedService{{Service: "mill", Weight: 1}}}})
}

// TestWaitingRequestIsAnsweredWhenItsRouteIsRemoved guards against requests that wait for a backend server while a version of the table
// removes their route, and whose connections were closed without an answer.
func TestWaitingRequestIsAnsweredWhenItsRouteIsRemoved(t *testing.T) {
	for _, tc := range []struct {
		name, path, service string
		change              func(*policy.Table)
		status              int
	}{
		{"a stream whose route is removed", "/report/x", "model", removeRoutes, http.StatusNotFound},
		{"a stream whose service is removed", "/report/x", "model", func(t *policy.Table) { delete(t.Services, "model") }, http.StatusServiceUnavailable},
		{"a stream whose key is removed", "/report/x", "model", func(t *policy.Table) { delete(t.Keys, "k1") }, http.StatusUnauthorized},
		{"a plain request whose route is removed", "/read/x", "mill", removeRoutes, http.StatusNotFound},
		{"a plain request whose service is removed", "/read/x", "mill", func(t *policy.Table) { delete(t.Services, "mill") }, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			r.fill(true)
			r.Queue.IsFair = true
			r.Queue.Refused("mill")
			r.Pool.SetRemoteLoads("plain", map[string]pool.Load{"b": {Runs: 8}})
			request := callerRequest{path: tc.path, key: "k1"}
			if tc.service == "model" {
				request.headers = map[string]string{"Token-Usage": "800,16"}
			}
			statuses := r.start(t, request)
			eventually(t, "the request to wait", func() bool { return r.Queue.Locals()[tc.service].Waiting == 1 })
			r.change(tc.change)
			assert.Equal(t, <-statuses, tc.status)
			assert.Equal(t, len(r.received()), 0)
		})
	}
}

// TestAnswerIsDeliveredAfterItsRouteIsRemoved guards against a backend server's answer that is lost because the request's route is removed
// before it can be sent to another one.
func TestAnswerIsDeliveredAfterItsRouteIsRemoved(t *testing.T) {
	r := newRig(t, 4)
	r.Queue.IsFair = true
	for _, e := range r.engines {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			r.change(removeRoutes)
			e.MarkRun(q)
			plat.Reply(conn, q, http.StatusInternalServerError, "failed", plat.Signature)
			return true
		}
	}
	assert.Equal(t, <-r.start(t, callerRequest{path: "/read/x", key: "k1"}), http.StatusInternalServerError)
	assert.Equal(t, len(r.received()), 1)
}

// TestRequestThatMayHaveRunIsNotRefusedAfterATableChange guards against refusals, which say that a request did not run, and second runs
// of a request that a version of the table makes one that runs once, where the first answer was lost.
func TestRequestThatMayHaveRunIsNotRefusedAfterATableChange(t *testing.T) {
	runOnce := func(t *policy.Table) {
		var routes []*policy.Route
		for _, prefix := range []string{"/read/", "/note/"} {
			service, kind := "mill", policy.NonIdempotent
			if prefix == "/note/" {
				service, kind = "model", policy.Streaming
			}
			routes = append(routes, &policy.Route{
				Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Services: []policy.WeightedService{{Service: service, Weight: 1}}, MaxAttempts: 2,
			})
		}
		t.SetRoutes(routes)
	}
	for _, tc := range []struct {
		name   string
		change func(r *rig)
	}{
		{"route removed", func(r *rig) { r.change(removeRoutes) }},
		{"key removed", func(r *rig) { r.change(func(t *policy.Table) { delete(t.Keys, "k1") }) }},
		{"services removed", func(r *rig) { r.change(func(t *policy.Table) { clear(t.Services) }) }},
		{"routes that allow one run", func(r *rig) { r.change(runOnce) }},
		{"host that stops", func(r *rig) { r.StopAt(time.Now(), time.Now().Add(time.Second)) }},
	} {
		for _, request := range []callerRequest{
			{path: "/read/x", key: "k1"},
			{path: "/note/x", key: "k1", headers: map[string]string{"Token-Usage": "800,16"}},
		} {
			t.Run(tc.name+" "+request.path, func(t *testing.T) {
				r := newRig(t, 4)
				r.Queue.IsFair = true
				for _, e := range r.engines {
					e.Script = func(conn net.Conn, q *plat.Request) bool {
						tc.change(r)
						e.MarkRun(q)
						_ = conn.Close()
						return true
					}
				}
				assert.Equal(t, <-r.start(t, request), http.StatusBadGateway)
				assert.Equal(t, len(r.received()), 1)
			})
		}
	}
}
