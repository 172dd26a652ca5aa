package front

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fair"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// outputTokenTime is the time that an engine at work takes for one output token.
const outputTokenTime = 9 * time.Millisecond

// plainTime is the time that a backend server takes for a plain request.
const plainTime = 60 * time.Millisecond

// place claims a backend server for a stream. Those that have not started wait while all model engines are above the request's limits;
// those that have can't wait, because their callers would see a pause.
func (q *request) place(ctx context.Context, started bool) (*pool.Lease, error) {
	if q.service.Engine == nil && !q.Queue.IsFair || started {
		return q.choose(q.requirements())
	}
	return q.placeInOrder(ctx)
}

// placeInOrder claims a backend server for the request, which waits while none has room for it.
func (q *request) placeInOrder(ctx context.Context) (*pool.Lease, error) {
	var lease *pool.Lease
	began := time.Now()
	r := q.queueRequest()
	r.Wait = &queue.Wait{}
	service := q.service.Name
	err := q.Queue.Place(ctx, service, q.placementGroup(), r, func(l queue.Limits) error {
		var err error
		lease, err = q.attemptStart(l)
		return err
	})
	if waited := time.Since(began); err != nil || waited > time.Millisecond {
		q.logWait(waited, r, lease, err)
	}
	if err == nil && q.Queue.IsFair {
		context.AfterFunc(ctx, func() { q.Queue.Ended(service, r.Workspace) })
	}
	var refusal *queue.Refusal
	switch {
	case errors.As(err, &refusal) && q.runs.Load() == 0:
		e := refuse.New(refuse.CodeOverloaded, "no backend server can serve the request in time")
		e.RetryAfter = refusal.RetryAfter
		return nil, e
	default:
		return lease, err
	}
}

// attemptStart claims a backend server within the limits, or returns queue.ErrBusy. A request that has waited while the table
// changed is matched anew, and refused if its key is no longer accepted or the host stops before it could be answered.
func (q *request) attemptStart(l queue.Limits) (*pool.Lease, error) {
	table, confirmed := q.Tables.View()
	if table.Version != q.table || q.isStale(confirmed) || q.stop.Load() != nil {
		if err := q.rebind(table, confirmed); err != nil {
			return nil, err
		}
	}
	a := q.requirements()
	a.MaxDelay, a.MaxMemoryUse = l.Delay, l.MemoryUse
	a.Reserve, a.FreeSlot, a.SlotShare = l.Reserve, l.FreeSlot, l.SlotShare
	lease, err := q.choose(a)
	if errors.Is(err, pool.ErrReserved) {
		return nil, errors.Mark(err, queue.ErrReserved)
	}
	if q.isLimitedTooLong(err) {
		return nil, err
	}
	if errors.Is(err, pool.ErrBusy) || errors.Is(err, pool.ErrLimited) {
		return nil, errors.Mark(err, queue.ErrBusy)
	}
	return lease, err
}

// rebind matches the request anew. If it is refused, it keeps its binding, which its log lines and an answer that it already has need.
// Once a backend server may have run the request, the error is no refusal, since these say that it did not run.
func (q *request) rebind(table *policy.Table, confirmed time.Duration) error {
	before := q.binding
	err := q.match(table, confirmed)
	hasRun := q.runs.Load() > 0
	if err == nil && hasRun && !q.route.IsRetryable() {
		err = errors.Newf("route %s does not allow a second run", q.route.Name)
	}
	if err == nil {
		return nil
	}
	q.binding = before
	if hasRun {
		return errors.Mark(errors.Newf("not sent again: %s", err), errNotSentAgain)
	}
	return err
}

// isLimitedTooLong reports whether all servers of a plain request have stated limits that are used up until after its last useful start.
func (q *request) isLimitedTooLong(err error) bool {
	var limited *pool.LimitedError
	return q.service.Engine == nil && errors.As(err, &limited) && time.Now().Add(limited.Wait).After(q.queueRequest().LastStart())
}

// queueRequest describes the request for the queue.
func (q *request) queueRequest() queue.Request {
	output := q.expectedOutput()
	r := queue.Request{
		Arrived: q.arrived, Deadline: q.deadline, LatencyTarget: q.route.LatencyTarget, EventGapTarget: q.route.EventGapTarget,
		Priority: q.route.Priority, Prefill: q.Pool.PrefillTime(q.service.Name, q.Prompt), Output: time.Duration(output) * outputTokenTime,
		IsShort: output < longOutputTokens, IsRetry: len(q.tried) > 0,
		Cost: fair.Cost(q.Prompt, output),
	}
	if q.service.Engine == nil {
		r.Prefill, r.Output, r.IsShort, r.Cost = plainTime, 0, true, fair.PlainCost
	}
	if q.workspace != nil {
		r.Workspace = fair.KeyOf(q.workspace.Name)
		if q.workspace.Priority != nil {
			r.Priority = *q.workspace.Priority
		}
	}
	return r
}

// placementGroup identifies requests with the same eligible backend servers.
func (q *request) placementGroup() string {
	if len(q.tried) > 0 {
		return q.ID
	}
	var regions []string
	if q.workspace != nil {
		regions = q.workspace.Regions
	}
	if p := q.plan(); p.Versions != nil {
		return fmt.Sprint(q.service.Name, q.route.Regions, regions, p.Versions, p.Fallback)
	}
	return fmt.Sprint(q.service.Name, q.route.Regions, regions)
}

// basisAttributes returns what the choice of a backend server was based on, as log attributes; none if the pool does not even out
// the load.
func basisAttributes(l *pool.Lease) []any {
	if l.Basis.Considered == 0 {
		return nil
	}
	return []any{"view_age", l.Basis.ViewAge, "no_view", l.Basis.IsBlind, "considered", l.Basis.Considered}
}

// logWait logs the end of a wait.
func (q *request) logWait(waited time.Duration, r queue.Request, lease *pool.Lease, err error) {
	attributes := []any{"waited", waited, "route", q.route.Name, "tokens", q.Prompt, "output_hint", q.OutputHint}
	if q.Queue.IsFair {
		attributes = append(attributes, "reason", r.Wait.Reason, "class", int(r.Wait.Class), "use", int(r.Wait.Use))
	}
	if lease != nil {
		attributes = append(attributes, "server", lease.Server.ID, "runs", lease.LoadBefore.Runs,
			"pending", lease.LoadBefore.PendingPromptTokens, "held", lease.LoadBefore.Tokens)
		attributes = append(attributes, basisAttributes(lease)...)
	}
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		attributes = append(attributes, "retry_after", refusal.RetryAfter, "waiting", refusal.Backlog.Waiting,
			"arrivals_per_s", refusal.Backlog.Arrivals, "starts_per_s", refusal.Backlog.Starts)
	}
	q.log.Info("wait ended", append(attributes, "error", err)...)
}
