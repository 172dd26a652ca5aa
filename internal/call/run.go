package call

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

const (
	// maxSends bounds the sends of one call.
	maxSends = 3
	// backoffFirst and backoffMax bound the pause before a retry.
	backoffFirst = 25 * time.Millisecond
	backoffMax   = 2 * time.Second
	// minSendLimit is the least time that one send of a repeatable call is given.
	minSendLimit = 250 * time.Millisecond
	// silentAfter is the time without an answer after which a backend server counts as failed, and
	// unreachedAfter that without a connection.
	silentAfter    = 5 * time.Second
	unreachedAfter = dialTimeout / 2
	retryAfter     = time.Second
)

// Runner runs plain calls.
type Runner struct {
	Placer Placer
	Sender Sender
	// Budget bounds retries; nil allows none.
	Budget Budget
	// Idempotency remembers calls with an idempotency key; nil refuses those that are not repeatable.
	Idempotency IdempotencyStore
	// Guard is nil where no call is barred.
	Guard Guard
	Clock Clock
	// Decisions takes the steps of each call; nil records none.
	Decisions *board.Decisions
	// Attempts counts the sends to backend servers by service; nil counts none.
	Attempts metric.Int64Counter
	// Jitter returns a number in [0, 1); nil stands for a random one.
	Jitter func() float64
}

// Run sends the call and returns its whole answer, or a *refuse.Error that says whether it ran.
// An idempotency key takes effect on a call that is not repeatable; a repeatable one needs no record.
func (r *Runner) Run(ctx context.Context, c Call) (Answer, error) {
	if r.Budget != nil {
		r.Budget.Arrived()
	}
	a, err := r.runCall(ctx, c)
	r.ended(c, err)
	return a, err
}

func (r *Runner) runCall(ctx context.Context, c Call) (Answer, error) {
	if c.Key == "" || c.Repeatable {
		t := r.newTry(c)
		return t.run(ctx)
	}
	return r.runOnce(ctx, c)
}

// runOnce runs a call that has an idempotency key and is not repeatable.
func (r *Runner) runOnce(ctx context.Context, c Call) (Answer, error) {
	if r.Idempotency == nil {
		return Answer{}, refuse.New(refuse.CodeStoreDown, "idempotency keys are not kept here")
	}
	a, found, err := r.recall(ctx, c)
	if found || err != nil {
		return a, err
	}
	t := r.newTry(c)
	a, err = t.run(ctx)
	if t.claim == nil && err != nil {
		return r.again(ctx, c, err)
	}
	return a, err
}

// recall looks the key of an earlier sending up.
func (r *Runner) recall(ctx context.Context, c Call) (a Answer, found bool, err error) {
	a, found, err = r.Idempotency.Lookup(ctx, c)
	if found {
		r.record(c, stepRecalled, "", "an earlier sending of the key was answered")
	}
	return a, found, err
}

// again looks the key up once more before a refusal, for another sending may have run meanwhile.
func (r *Runner) again(ctx context.Context, c Call, cause error) (Answer, error) {
	a, found, err := r.recall(ctx, c)
	if found || err != nil {
		return a, err
	}
	if errors.Is(cause, ErrClaimed) {
		// The other sending gave the key back without a run.
		e := refuse.New(refuse.CodeInProgress, "another sending of the key was refused just now")
		e.RetryAfter = retryAfter
		return Answer{}, e
	}
	return Answer{}, cause
}

// Close closes the connections that are idle.
func (r *Runner) Close() {
	if c, ok := r.Sender.(interface{ Close() }); ok {
		c.Close()
	}
}

// try is the life of one call on this host.
type try struct {
	*Runner
	call    Call
	machine Machine
	pauses  backoff.ExponentialBackOff
	print   poison.Fingerprint
	claim   Claim
	ledger  ledger
	// last is the answer to give when no better one comes.
	last *Answer
}

func (r *Runner) newTry(c Call) *try {
	return &try{
		Runner:  r,
		call:    c,
		print:   fingerprint(c),
		machine: Machine{Repeatable: c.Repeatable, MaxSends: maxSends, Deadline: c.Deadline},
		pauses:  backoff.ExponentialBackOff{InitialInterval: backoffFirst, Multiplier: backoff.DefaultMultiplier, MaxInterval: backoffMax},
	}
}

func (t *try) run(ctx context.Context) (Answer, error) {
	a, err := t.sends(ctx)
	if t.claim != nil {
		t.claim.Complete(ctx, t.machine.State(), a)
	}
	return a, err
}

// sends sends the call until it is answered or may not be sent again.
func (t *try) sends(ctx context.Context) (Answer, error) {
	for {
		ticket, err := t.place(ctx)
		if err != nil {
			return t.giveUp(t.placeError(err))
		}
		if err := t.prepare(ctx); err != nil {
			ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
			return Answer{}, err
		}
		if err := t.ledger.check(t.call); err != nil {
			ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
			return Answer{}, err
		}
		sent, ok := t.send(ctx, ticket)
		if !ok {
			return t.giveUp(t.lost())
		}
		if sent.Event == EventAnswered {
			return sent.Answer, nil
		}
		t.call.Place.Exclude = append(t.call.Place.Exclude, ticket.Backend().Name)
		if !t.mayRetry(ctx, sent.Event) {
			return t.giveUp(t.refusal(sent))
		}
		t.record(t.call, stepRetried, ticket.Backend().Name, sent.Event.String())
	}
}

// prepare claims the right to run the call before its first send.
func (t *try) prepare(ctx context.Context) error {
	if t.call.Key == "" || t.call.Repeatable || t.claim != nil {
		return nil
	}
	claim, err := t.Idempotency.Claim(ctx, t.call)
	t.claim = claim
	return err
}

// send sends the call once; ok is false if it may not be sent any more.
func (t *try) send(ctx context.Context, ticket sched.Ticket) (sent SendResult, ok bool) {
	began := t.Clock.Now()
	if !t.machine.Begin(began) {
		ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
		return SendResult{}, false
	}
	if t.claim != nil {
		// The answer is recorded for later sendings of the key even if this caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	t.record(t.call, stepStarted, ticket.Backend().Name, "")
	t.count(ctx, t.call)
	run := t.guarded(ticket.Backend().Name)
	sent = t.Sender.Send(ctx, ticket.Backend().Address, t.call, t.options(began))
	tell(run, sent)
	sent = t.read(sent)
	t.machine.End(sent.Event)
	t.ledger.note(sent.Event)
	took := t.Clock.Now().Sub(began)
	ticket.Release(sched.Outcome{Result: result(sent, took)})
	return sent, true
}

// options gives a repeatable call half of the time left, so that a silent connection leaves time for another.
func (t *try) options(now time.Time) SendOptions {
	left := t.call.Deadline.Sub(now)
	o := SendOptions{Limit: left, Left: left, Fresh: !t.call.Repeatable || t.machine.sends > 1}
	if t.call.Repeatable && t.machine.sends < maxSends {
		o.Limit = min(left, max(left/2, minSendLimit))
	}
	return o
}

// read classifies answers that say that the backend server could not do the call.
func (t *try) read(s SendResult) SendResult {
	if s.Event != EventAnswered {
		return s
	}
	if s.Answer.Status == http.StatusServiceUnavailable && t.call.RefusesBeforeRun {
		s.Event = EventRefused
		return s
	}
	if t.call.Repeatable && isTransient(s.Answer.Status) {
		t.last = &s.Answer
		s.Event = EventLost
	}
	return s
}

func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRetry waits before another send and reports whether there may be one.
// A send that reached no backend server loads none, so it takes nothing from the budget.
func (t *try) mayRetry(ctx context.Context, e Event) bool {
	if !t.machine.MaySend(t.Clock.Now()) {
		return false
	}
	if e == EventUnreachable {
		return ctx.Err() == nil
	}
	if t.Budget == nil || !t.Budget.Allow() {
		return false
	}
	pause := time.Duration(float64(t.pauses.NextBackOff()) * t.jitter())
	if !t.machine.MaySend(t.Clock.Now().Add(pause)) {
		return false
	}
	return t.Clock.Sleep(ctx, pause) == nil
}

func (t *try) jitter() float64 {
	if t.Jitter != nil {
		return t.Jitter()
	}
	return rand.Float64()
}

// giveUp returns a backend server's own answer if there is one, else the error.
func (t *try) giveUp(err error) (Answer, error) {
	if t.last != nil {
		return *t.last, nil
	}
	return Answer{}, err
}

// placeError tells whether an earlier send may have run when no further one could be placed.
func (t *try) placeError(err error) error {
	var refused *refuse.Error
	if !errors.As(err, &refused) {
		return t.lost()
	}
	told := *refused
	told.Run = t.machine.Run()
	return &told
}

func (t *try) lost() error {
	return &refuse.Error{Code: refuse.CodeTimeout, Message: "the call was not answered in time", Run: t.machine.Run()}
}

func (t *try) refusal(s SendResult) error {
	if !t.Clock.Now().Before(t.call.Deadline) {
		return t.lost()
	}
	e := &refuse.Error{Run: t.machine.Run(), RetryAfter: retryAfter}
	switch {
	case errors.Is(s.Err, ErrAnswerTooLarge):
		e.Code, e.Message, e.RetryAfter = refuse.CodeAnswerTooLarge, "the answer is larger than the limit", 0
	case s.Event == EventUnreachable:
		e.Code, e.Message = refuse.CodeNoBackend, "the backend server can't be reached"
	case s.Event == EventRefused:
		e.Code, e.Message = refuse.CodeOverloaded, "the backend server refused the call"
	default:
		e.Code, e.Message = refuse.CodeInterrupted, "the backend server's answer was lost"
	}
	return e
}

// result says what a send showed about its backend server.
func result(s SendResult, took time.Duration) sched.Result {
	switch {
	case s.Event == EventAnswered, errors.Is(s.Err, ErrAnswerTooLarge):
		return sched.ResultOK
	case s.Event == EventRefused:
		return sched.ResultRefused
	case isEnd(s.Err) && took < patience(s.Event):
		// A caller's short deadline says nothing about the backend server.
		return sched.ResultCancelled
	default:
		return sched.ResultFailed
	}
}

// patience is the time after which a send that ran out of time speaks against its backend server.
func patience(e Event) time.Duration {
	if e == EventUnreachable {
		return unreachedAfter
	}
	return silentAfter
}

func isEnd(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
