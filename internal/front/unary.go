package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// maxSends bounds the backend servers that one request is sent to, including those that did not run it.
	maxSends = 4
	// maxAnswerBytes bounds an answer that is buffered before it is passed on.
	maxAnswerBytes = 8 << 20
	// maxBufferedBytes bounds the bytes of all answers that are being read, except the first answerChunkBytes of each.
	maxBufferedBytes = 16 << 20
	answerChunkBytes = 64 << 10
)

// fullAnswer is an answer whose body has been read completely.
type fullAnswer struct {
	status int
	header http.Header
	body   []byte
	server string
}

// unary answers a request whose answer is buffered and passed on as a whole, with retries.
func (q *request) unary(ctx context.Context) error {
	q.Budget.Arrived(q.service.Name)
	var failure *fullAnswer
	for {
		answer, err := q.attempt(ctx)
		switch {
		case err == nil && answer.status < http.StatusInternalServerError:
			return q.deliver(answer)
		case err == nil:
			failure = answer
		}
		if ctx.Err() != nil || !q.mayRetry(err) {
			if failure != nil {
				return q.deliver(failure)
			}
			return err
		}
		q.log.Info("request sent again", "route", q.route.Name, "tried", q.tried, "runs", q.runs.Load(), "error", err)
	}
}

// mayRetry reports whether the request may be sent to another backend server. A retry of a request that was sent is
// taken from the retry budget.
func (q *request) mayRetry(err error) bool {
	var refused *refuse.Error
	if errors.Is(err, pool.ErrNoServer) || errors.Is(err, pool.ErrLimited) || errors.Is(err, queue.ErrOverloaded) || errors.Is(err, crash.ErrQuarantined) || errors.As(err, &refused) || len(q.tried) >= maxSends {
		return false
	}
	if errors.Is(err, send.ErrNotSent) {
		return true
	}
	if !errors.Is(err, errNotRun) && (!q.route.IsRetryable() || int(q.runs.Load()) >= q.route.MaxAttempts) {
		return false
	}
	return q.Budget.Allow(q.service.Name, false)
}

// attempt sends the request to one backend server and reads the complete answer.
func (q *request) attempt(ctx context.Context) (*fullAnswer, error) {
	lease, err := q.chooseWithinLimits(ctx)
	if err != nil {
		return nil, err
	}
	defer lease.Release()
	if err := q.guarded.Send(ctx, lease.Server.ID); err != nil {
		return nil, err
	}
	q.tried = append(q.tried, lease.Server.ID)
	answer, err := q.exchange(ctx, lease, q.forwardMetadata(lease.Server.ID), nil)
	if errors.Is(err, errNotRun) {
		lease.RecordAnswer(true, time.Now())
	}
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	return q.readAnswer(ctx, lease, answer)
}

// chooseWithinLimits claims a backend server. Where all have stated limits that are used up, it waits for the next send of this host if
// that leaves half of the route's latency target.
func (q *request) chooseWithinLimits(ctx context.Context) (*pool.Lease, error) {
	end := q.arrived.Add(q.route.LatencyTarget / 2)
	for {
		lease, err := q.Pool.Choose(q.requirements(), time.Now())
		var limited *pool.LimitedError
		if !errors.As(err, &limited) || time.Now().Add(limited.Wait).After(end) || !ticks.Sleep(ctx, limited.Wait) {
			return lease, err
		}
	}
}

// readAnswer reads the body of an answer and records the outcome in the lease. A backend server may crash within an answer.
func (q *request) readAnswer(ctx context.Context, lease *pool.Lease, answer *send.Answer) (*fullAnswer, error) {
	held := int64(0)
	defer func() { q.buffered.Add(-held) }()
	var body bytes.Buffer
	for {
		n, err := io.CopyN(&body, answer.Body, answerChunkBytes)
		held += n
		buffered := q.buffered.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			lease.RecordAnswer(answer.Status >= http.StatusInternalServerError, time.Now())
			q.guarded.Answered()
			return &fullAnswer{status: answer.Status, header: answer.Header, body: body.Bytes(), server: lease.Server.ID}, nil
		case err != nil && ctx.Err() == nil:
			q.checkForCrash(lease.Server)
		case err == nil && (body.Len() > maxAnswerBytes || body.Len() > answerChunkBytes && buffered > maxBufferedBytes):
			err = errors.Newf("answer exceeds %d bytes, or all answers in progress exceed %d", maxAnswerBytes, maxBufferedBytes)
		}
		if err != nil {
			lease.RecordAnswer(true, time.Now())
			return nil, errors.Mark(errors.Wrapf(err, "read %d bytes of an answer", body.Len()), send.ErrBroken)
		}
	}
}

// exchange sends the request to one backend server, over a new connection if conn is nil, and returns its answer with the body
// unread, after checking that it belongs to the request. Errors marked errNotRun are not yet recorded in the lease.
func (q *request) exchange(ctx context.Context, lease *pool.Lease, s ForwardMetadata, conn *send.Conn) (*send.Answer, error) {
	var answer *send.Answer
	var err error
	if conn == nil {
		answer, err = send.Open(ctx, lease.Server.Address, q.backendRequest(s))
	} else {
		answer, err = conn.Send(ctx, q.backendRequest(s))
	}
	if err != nil {
		return nil, q.handleSendError(ctx, lease, err)
	}
	reply := q.HeaderCodec.Reply(answer.Status, answer.Header)
	if s := lease.Server; reply.Instance == s.ID || reply.Instance == "" && answer.Status != http.StatusMisdirectedRequest {
		// Another instance that has the server's address now speaks of itself.
		q.Notices.Heard(notice.Server{ID: s.ID, Service: s.Service, StartedMS: s.StartedMS}, reply.States)
	}
	if reply.IsNotRun && q.isOwn(reply) {
		q.sends.Add(1)
		answer.Close()
		return nil, errors.Mark(errors.Newf("backend server %s did not run the request: status %d", lease.Server.ID, answer.Status), errNotRun)
	}
	q.countRun()
	if err := q.checkReply(answer, reply); err != nil {
		lease.RecordAnswer(true, time.Now())
		answer.Close()
		return nil, err
	}
	return answer, nil
}

func (q *request) countRun() {
	q.sends.Add(1)
	q.runs.Add(1)
}

// handleSendError logs a failed send and records it in the lease.
func (q *request) handleSendError(ctx context.Context, lease *pool.Lease, err error) error {
	if !errors.Is(err, send.ErrNotSent) {
		q.countRun()
	}
	if ctx.Err() != nil {
		return err
	}
	if errors.Is(err, send.ErrInvalidAnswer) {
		lease.RecordAnswer(true, time.Now())
	} else {
		lease.RecordConnectionFailure(time.Now())
	}
	if errors.Is(err, send.ErrBroken) {
		q.checkForCrash(lease.Server)
	}
	q.log.Info("send failed", "server", lease.Server.ID, "address", lease.Server.Address, "error", err)
	return err
}

// isOwn reports whether an answer belongs to the request, as far as it states one.
func (q *request) isOwn(reply Reply) bool { return reply.ID == "" || reply.ID == q.ID }

// checkReply rejects answers that belong to another request, lack the signature or have a reserved status.
func (q *request) checkReply(a *send.Answer, reply Reply) error {
	if !q.isOwn(reply) {
		return errors.Mark(errors.Newf("answer belongs to request %s", reply.ID), send.ErrInvalidAnswer)
	}
	if a.Status < http.StatusMultipleChoices && !reply.IsSigned {
		return errors.Mark(errors.Newf("answer with status %d has no signature", a.Status), send.ErrInvalidAnswer)
	}
	if meansNotRun(a.Status) {
		return errors.Mark(errors.Newf("answer with status %d does not say that the request did not run", a.Status), send.ErrInvalidAnswer)
	}
	return nil
}

// meansNotRun reports whether callers take a status to mean that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliver passes a complete answer on to the caller.
func (q *request) deliver(a *fullAnswer) error {
	q.writeHead(a.status, a.header)
	if _, err := q.w.Write(a.body); err != nil {
		return errors.Mark(errors.Wrap(err, "write answer"), errCallerGone)
	}
	late := ""
	if q.route.LatencyTarget > 0 && time.Since(q.arrived) > q.route.LatencyTarget {
		late = "answer"
	}
	q.recordOutcome("answered", a.status, "late", late, "server", a.server)
	return nil
}

// writeHead passes an answer's status and headers on to the caller.
func (q *request) writeHead(status int, header http.Header) {
	h := q.w.Header()
	for name, values := range q.HeaderCodec.ResponseHeaders(header) {
		h[name] = values
	}
	if _, stated := h["Content-Type"]; !stated {
		h["Content-Type"] = nil
	}
	q.w.WriteHeader(status)
}
