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
	// minSendLimit is the minimum time limit of one send of a repeatable call.
	minSendLimit = 250 * time.Millisecond
	// answerFailureAfter is the time without an answer after which a timeout counts as a failure of the backend
	// server; connectFailureAfter is the same for the time without a connection.
	answerFailureAfter  = 5 * time.Second
	connectFailureAfter = dialTimeout / 2
	retryAfter          = time.Second
)

// Runner runs plain calls.
type Runner struct {
	Placer Placer
	Sender Sender
	// Budget bounds retries; nil allows none.
	Budget Budget
	// Idempotency records calls with an idempotency key; nil refuses those that are not repeatable.
	Idempotency IdempotencyStore
	// Guard may be nil; then no call is quarantined.
	Guard Guard
	Clock Clock
	// Decisions records the steps of each call; nil records none.
	Decisions *board.Decisions
	// Attempts counts the sends to backend servers by service; nil counts none.
	Attempts metric.Int64Counter
	// Jitter returns a number in [0, 1); nil uses a random one.
	Jitter func() float64
}

// Run sends the call and returns its complete answer, or a *refuse.Error that says whether it may have run.
// An idempotency key is ignored if the call is repeatable.
func (r *Runner) Run(ctx context.Context, c Call) (Answer, error) {
	if r.Budget != nil {
		r.Budget.Arrived()
	}
	a, err := r.runCall(ctx, c)
	r.recordEnd(c, err)
	return a, err
}

func (r *Runner) runCall(ctx context.Context, c Call) (Answer, error) {
	if c.Key == "" || c.Repeatable {
		t := r.newExecution(c)
		return t.run(ctx)
	}
	return r.runOnce(ctx, c)
}

// runOnce runs a call that has an idempotency key and is not repeatable.
func (r *Runner) runOnce(ctx context.Context, c Call) (Answer, error) {
	if r.Idempotency == nil {
		return Answer{}, refuse.New(refuse.CodeStoreUnavailable, "idempotency keys are not kept here")
	}
	a, found, err := r.lookup(ctx, c)
	if found || err != nil {
		return a, err
	}
	t := r.newExecution(c)
	a, err = t.run(ctx)
	if t.claim == nil && err != nil {
		return r.lookupAfterFailure(ctx, c, err)
	}
	return a, err
}

// lookup returns the recorded answer to an earlier request with the call's key.
func (r *Runner) lookup(ctx context.Context, c Call) (a Answer, found bool, err error) {
	a, found, err = r.Idempotency.Lookup(ctx, c)
	if found {
		r.record(c, stepRecalled, "", "an earlier sending of the key was answered")
	}
	return a, found, err
}

// lookupAfterFailure looks the key up once more before a refusal, because another request with it may have run
// meanwhile.
func (r *Runner) lookupAfterFailure(ctx context.Context, c Call, cause error) (Answer, error) {
	a, found, err := r.lookup(ctx, c)
	if found || err != nil {
		return a, err
	}
	if errors.Is(cause, ErrClaimed) {
		// The other request released the key without running the call.
		e := refuse.New(refuse.CodeInProgress, "another sending of the key was refused just now")
		e.RetryAfter = retryAfter
		return Answer{}, e
	}
	return Answer{}, cause
}

// Close closes the idle connections.
func (r *Runner) Close() {
	if c, ok := r.Sender.(interface{ Close() }); ok {
		c.Close()
	}
}

// execution is the state of one call on this host.
type execution struct {
	*Runner
	call    Call
	machine Machine
	pauses  backoff.ExponentialBackOff
	print   poison.Fingerprint
	claim   Claim
	checker invariantChecker
	// lastAnswer is the last transient error status from a backend server, returned if no send succeeds.
	lastAnswer *Answer
}

func (r *Runner) newExecution(c Call) *execution {
	return &execution{
		Runner:  r,
		call:    c,
		print:   fingerprint(c),
		machine: Machine{Repeatable: c.Repeatable, MaxSends: maxSends, Deadline: c.Deadline},
		pauses:  backoff.ExponentialBackOff{InitialInterval: backoffFirst, Multiplier: backoff.DefaultMultiplier, MaxInterval: backoffMax},
	}
}

func (t *execution) run(ctx context.Context) (Answer, error) {
	a, err := t.sendUntilAnswered(ctx)
	if t.claim != nil {
		t.claim.Complete(ctx, t.machine.State(), a)
	}
	return a, err
}

// sendUntilAnswered sends the call until it is answered or may not be sent again.
func (t *execution) sendUntilAnswered(ctx context.Context) (Answer, error) {
	for {
		ticket, err := t.place(ctx)
		if err != nil {
			return t.lastAnswerOr(t.placeError(err))
		}
		if err := t.claimKey(ctx); err != nil {
			ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
			return Answer{}, err
		}
		if err := t.checker.check(t.call); err != nil {
			ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
			return Answer{}, err
		}
		sent, ok := t.send(ctx, ticket)
		if !ok {
			return t.lastAnswerOr(t.timeoutError())
		}
		if sent.Event == EventAnswered {
			return sent.Answer, nil
		}
		t.call.Place.Exclude = append(t.call.Place.Exclude, ticket.Backend().Name)
		if !t.mayRetry(ctx, sent.Event) {
			return t.lastAnswerOr(t.refusal(sent))
		}
		t.record(t.call, stepRetried, ticket.Backend().Name, sent.Event.String())
	}
}

// claimKey claims the idempotency key, if the call needs it, before the first send.
func (t *execution) claimKey(ctx context.Context) error {
	if t.call.Key == "" || t.call.Repeatable || t.claim != nil {
		return nil
	}
	claim, err := t.Idempotency.Claim(ctx, t.call)
	t.claim = claim
	return err
}

// send sends the call once and releases the ticket; ok is false if the call may not be sent any more.
func (t *execution) send(ctx context.Context, ticket sched.Ticket) (sent SendResult, ok bool) {
	began := t.Clock.Now()
	if !t.machine.Begin(began) {
		ticket.Release(sched.Outcome{Result: sched.ResultCancelled})
		return SendResult{}, false
	}
	if t.claim != nil {
		// The answer is recorded for later requests with the key even if this caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	t.record(t.call, stepStarted, ticket.Backend().Name, "")
	t.countSend(ctx, t.call)
	run := t.startGuarded(ticket.Backend().Name)
	sent = t.Sender.Send(ctx, ticket.Backend().Address, t.call, t.sendOptions(began))
	reportEnd(run, sent)
	sent = t.classify(sent)
	t.machine.End(sent.Event)
	t.checker.countSend(sent.Event)
	took := t.Clock.Now().Sub(began)
	ticket.Release(sched.Outcome{Result: result(sent, took)})
	return sent, true
}

// sendOptions gives a repeatable call half of the time left, so that a hanging connection leaves time for a retry.
func (t *execution) sendOptions(now time.Time) SendOptions {
	left := t.call.Deadline.Sub(now)
	o := SendOptions{Limit: left, Remaining: left, NewConnection: !t.call.Repeatable || t.machine.sends > 1}
	if t.call.Repeatable && t.machine.sends < maxSends {
		o.Limit = min(left, max(left/2, minSendLimit))
	}
	return o
}

// classify turns an answer that means that the backend server could not process the call into a failed send.
func (t *execution) classify(s SendResult) SendResult {
	if s.Event != EventAnswered {
		return s
	}
	if s.Answer.Status == http.StatusServiceUnavailable && t.call.RefusesBeforeRun {
		s.Event = EventRefused
		return s
	}
	if t.call.Repeatable && isTransient(s.Answer.Status) {
		t.lastAnswer = &s.Answer
		s.Event = EventLost
	}
	return s
}

func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRetry reports whether the call may be sent again, after waiting for the backoff.
// A send that reached no backend server causes no load, so its retry takes nothing from the budget.
func (t *execution) mayRetry(ctx context.Context, e Event) bool {
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

func (t *execution) jitter() float64 {
	if t.Jitter != nil {
		return t.Jitter()
	}
	return rand.Float64()
}

// lastAnswerOr returns the last answer of a backend server if there is one, else the error.
func (t *execution) lastAnswerOr(err error) (Answer, error) {
	if t.lastAnswer != nil {
		return *t.lastAnswer, nil
	}
	return Answer{}, err
}

// placeError adds to a refusal of the scheduler whether an earlier send may have run.
func (t *execution) placeError(err error) error {
	var refused *refuse.Error
	if !errors.As(err, &refused) {
		return t.timeoutError()
	}
	reported := *refused
	reported.Run = t.machine.Run()
	return &reported
}

func (t *execution) timeoutError() error {
	return &refuse.Error{Code: refuse.CodeTimeout, Message: "the call was not answered in time", Run: t.machine.Run()}
}

func (t *execution) refusal(s SendResult) error {
	if !t.Clock.Now().Before(t.call.Deadline) {
		return t.timeoutError()
	}
	e := &refuse.Error{Run: t.machine.Run(), RetryAfter: retryAfter}
	switch {
	case errors.Is(s.Err, ErrAnswerTooLarge):
		e.Code, e.Message, e.RetryAfter = refuse.CodeAnswerTooLarge, "the answer is larger than the limit", 0
	case errors.Is(s.Err, ErrNoMemory):
		e.Code, e.Message = refuse.CodeInterrupted, ErrNoMemory.Error()
	case s.Event == EventUnreachable:
		e.Code, e.Message = refuse.CodeNoBackend, "the backend server can't be reached"
	case s.Event == EventRefused:
		e.Code, e.Message = refuse.CodeOverloaded, "the backend server refused the call"
	default:
		e.Code, e.Message = refuse.CodeInterrupted, "the backend server's answer was lost"
	}
	return e
}

// result classifies a send for the health of its backend server.
func result(s SendResult, took time.Duration) sched.Result {
	switch {
	case s.Event == EventAnswered, errors.Is(s.Err, ErrAnswerTooLarge):
		return sched.ResultOK
	case s.Event == EventRefused:
		return sched.ResultRefused
	case errors.Is(s.Err, ErrNoMemory):
		return sched.ResultCancelled
	case isContextError(s.Err) && took < failureThreshold(s.Event):
		// A short deadline of the caller says nothing about the backend server's health.
		return sched.ResultCancelled
	default:
		return sched.ResultFailed
	}
}

// failureThreshold returns the time from which a send that timed out counts as a failure of its backend server.
func failureThreshold(e Event) time.Duration {
	if e == EventUnreachable {
		return connectFailureAfter
	}
	return answerFailureAfter
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
