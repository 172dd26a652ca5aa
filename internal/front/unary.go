package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

const (
	// maxSends bounds the backend servers that one request is offered to, those included that did not run it.
	maxSends = 4
	// maxAnswerBytes bounds an answer that is held whole before it is passed on.
	maxAnswerBytes = 8 << 20
)

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
	server string
}

// unary answers a request whose answer is passed on as a whole.
func (q *request) unary(ctx context.Context) error {
	q.Budget.Arrived(q.service.Name)
	var kept *whole
	for {
		answer, err := q.attempt(ctx)
		switch {
		case err == nil && answer.status < http.StatusInternalServerError:
			return q.deliver(answer)
		case err == nil:
			kept = answer
		}
		if ctx.Err() != nil || !q.mayRetry(err) {
			if kept != nil {
				return q.deliver(kept)
			}
			return err
		}
		q.log.Info("request sent again", "route", q.route.Name, "tried", q.tried, "runs", q.runs.Load(), "error", err)
	}
}

// mayRetry reports whether the request may go to another backend server.
func (q *request) mayRetry(err error) bool {
	if errors.Is(err, pool.ErrNoServer) || len(q.tried) >= maxSends {
		return false
	}
	if errors.Is(err, send.ErrNotSent) {
		return true
	}
	if !errors.Is(err, errNotRun) && (!q.route.MayRepeat() || int(q.runs.Load()) >= q.route.MaxAttempts) {
		return false
	}
	return q.Budget.Allow(q.service.Name, false)
}

// attempt sends the request to one backend server and reads the whole answer.
func (q *request) attempt(ctx context.Context) (*whole, error) {
	lease, err := q.Pool.Choose(q.ask(), time.Now())
	if err != nil {
		return nil, err
	}
	defer lease.Release()
	q.tried = append(q.tried, lease.Server.ID)
	answer, err := q.exchange(ctx, lease, q.stamp(lease.Server.ID))
	if errors.Is(err, errNotRun) {
		lease.Answered(true)
	}
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		lease.Answered(true)
		return nil, errors.Mark(errors.Wrapf(err, "answer of %d bytes is not whole", len(body)), send.ErrBroken)
	}
	lease.Answered(answer.Status >= http.StatusInternalServerError)
	return &whole{status: answer.Status, header: answer.Header, body: body, server: lease.Server.ID}, nil
}

// exchange sends the request to one backend server and reads the head of its answer, which belongs to the request
// and to a run of it. Errors marked errNotRun leave open what they say of the backend server.
func (q *request) exchange(ctx context.Context, lease *pool.Lease, s ForwardMetadata) (*send.Answer, error) {
	answer, err := send.Open(ctx, lease.Server.Address, q.outgoing(s))
	if err != nil {
		return nil, q.sendFailed(ctx, lease, err)
	}
	reply := q.Dialect.Reply(answer.Status, answer.Header)
	if reply.IsNotRun {
		q.sends.Add(1)
		answer.Close()
		return nil, errors.Mark(errors.Newf("backend server %s did not run the request: status %d", lease.Server.ID, answer.Status), errNotRun)
	}
	q.ran()
	if err := q.checkReply(answer, reply); err != nil {
		lease.Answered(true)
		answer.Close()
		return nil, err
	}
	return answer, nil
}

func (q *request) ran() {
	q.sends.Add(1)
	q.runs.Add(1)
}

// sendFailed notes a failed send and what it says of the backend server.
func (q *request) sendFailed(ctx context.Context, lease *pool.Lease, err error) error {
	if !errors.Is(err, send.ErrNotSent) {
		q.ran()
	}
	if ctx.Err() != nil {
		return err
	}
	if errors.Is(err, send.ErrInvalidAnswer) {
		lease.Answered(true)
	} else {
		lease.Broke(time.Now())
	}
	if errors.Is(err, send.ErrBroken) {
		q.suspect(lease.Server)
	}
	q.log.Info("send failed", "server", lease.Server.ID, "address", lease.Server.Address, "error", err)
	return err
}

// checkReply refuses answers that are not the backend server's own to this request.
func (q *request) checkReply(a *send.Answer, reply Reply) error {
	if reply.ID != "" && reply.ID != q.ID {
		return errors.Mark(errors.Newf("answer belongs to request %s", reply.ID), send.ErrInvalidAnswer)
	}
	if a.Status < http.StatusMultipleChoices && !reply.IsSigned {
		return errors.Mark(errors.Newf("answer with status %d has no signature", a.Status), send.ErrInvalidAnswer)
	}
	if isPromise(a.Status) {
		return errors.Mark(errors.Newf("answer with status %d does not say that the request did not run", a.Status), send.ErrInvalidAnswer)
	}
	return nil
}

// isPromise reports whether a status tells callers that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliver passes a whole answer on.
func (q *request) deliver(a *whole) error {
	q.writeHead(a.status, a.header)
	if _, err := q.w.Write(a.body); err != nil {
		return errors.Mark(errors.Wrap(err, "write answer"), errCallerGone)
	}
	late := ""
	if q.route.LatencyTarget > 0 && time.Since(q.arrived) > q.route.LatencyTarget {
		late = "answer"
	}
	q.end("answered", a.status, "late", late, "server", a.server)
	return nil
}

// writeHead passes on the head of an answer.
func (q *request) writeHead(status int, header http.Header) {
	h := q.w.Header()
	for name, values := range q.Dialect.Answer(header) {
		h[name] = values
	}
	if _, stated := h["Content-Type"]; !stated {
		h["Content-Type"] = nil
	}
	q.w.WriteHeader(status)
}
