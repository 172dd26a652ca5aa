package front

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

// Rollouts says which versions of backend servers may run a request, and takes the outcomes as evidence.
type Rollouts interface {
	// Arrived counts a request that reached a service.
	Arrived(service string)
	// Plan returns the versions that may run a request now; tried are those that have received it, begun is the one that has answered a
	// part of it, if any.
	Plan(service, route, request string, tried []string, begun *string) canary.Plan
	// Sent records a request that is sent to a backend server with a number of requests in progress.
	Sent(service, route string, server pool.Server, runs int) *canary.Sample
}

// arrive counts the request for the retry budget and for roll-outs.
func (q *request) arrive() {
	q.Budget.Arrived(q.service.Name)
	if q.Rollouts != nil {
		q.Rollouts.Arrived(q.service.Name)
	}
}

// plan returns the versions that may run the request now.
func (q *request) plan() canary.Plan {
	if q.Rollouts == nil {
		return canary.Plan{}
	}
	return q.Rollouts.Plan(q.service.Name, q.route.Name, q.ID, q.triedVersions, q.begunVersion)
}

// choose claims a backend server of a version that may run the request.
func (q *request) choose(a pool.Requirements) (*pool.Lease, error) {
	p, now := q.plan(), time.Now()
	tried := a.Exclude
	a.Versions, a.Exclude = p.Versions, slices.Concat(tried, p.Exclude)
	lease, err := q.Pool.Choose(a, now)
	if err != nil && len(p.Exclude) > 0 {
		a.Exclude = tried
		lease, err = q.Pool.Choose(a, now)
	}
	if err == nil || p.Fallback == nil || p.NeedsNone && !errors.Is(err, pool.ErrNoServer) {
		return lease, err
	}
	a.Versions, a.Exclude = p.Fallback, tried
	other, otherErr := q.Pool.Choose(a, now)
	if errors.Is(otherErr, pool.ErrNoServer) {
		return nil, err
	}
	return other, otherErr
}

// sample records that the request is sent to a backend server.
func (q *request) sample(lease *pool.Lease) *canary.Sample {
	if q.Rollouts == nil {
		return nil
	}
	q.triedVersions = append(q.triedVersions, lease.Server.Version)
	return q.Rollouts.Sent(q.service.Name, q.route.Name, lease.Server, lease.LoadBefore.Runs)
}

// recordStatus records a whole answer as evidence on its version.
func recordStatus(s *canary.Sample, status int) {
	s.Answered(status >= http.StatusInternalServerError)
}

// recordFailure records an error as evidence on a version, unless it says nothing of it: the request was not run, the caller left, the
// server was leaving, or servers crash under the request.
func (q *request) recordFailure(ctx context.Context, s *canary.Sample, server pool.Server, err error) {
	if s == nil || errors.IsAny(err, send.ErrNotSent, errNotRun) || hasNoMemory(err) {
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil && errors.Is(err, send.ErrInvalidAnswer) {
		s.Answered(true)
		return
	}
	if wait, _ := q.Guard.Check(q.keys); ctx.Err() != nil || wait > 0 || q.Pool.IsLeaving(server.ID) {
		return
	}
	s.Broke()
}
