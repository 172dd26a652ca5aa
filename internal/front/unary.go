package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/head"
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
	// smallAnswerBytes of each answer are read whatever other answers take of the memory for answers.
	smallAnswerBytes = 16 << 10
	// minChunkBytes and maxChunkBytes bound the parts in which an answer is read.
	minChunkBytes = 4 << 10
	maxChunkBytes = 64 << 10
	// maxReservedBytes is the part of an answer's stated length that its memory is taken for in one step, so that answers with a part of
	// their memory don't wait for each other.
	maxReservedBytes = 1 << 20
	// maxMemoryWait bounds how long an answer waits for memory.
	maxMemoryWait = 600 * time.Millisecond
)

// fullAnswer is an answer whose body has been read completely.
type fullAnswer struct {
	status int
	header http.Header
	body   [][]byte
	server string
}

// unary answers a request whose answer is buffered and passed on as a whole, with retries.
func (q *request) unary(ctx context.Context) error {
	q.arrive()
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
	if errors.IsAny(err, pool.ErrNoServer, pool.ErrLimited, queue.ErrOverloaded, crash.ErrQuarantined, errNotSentAgain) || errors.As(err, &refused) || len(q.tried) >= maxSends {
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
	defer q.release(lease)
	if err := q.guarded.Send(ctx, lease.Server.ID); err != nil {
		return nil, err
	}
	q.tried = append(q.tried, lease.Server.ID)
	sample := q.sample(lease)
	answer, err := q.exchange(ctx, lease, q.forwardMetadata(lease.Server.ID), nil)
	if errors.Is(err, errNotRun) {
		lease.RecordAnswer(true, time.Now())
		if q.isOrdered() {
			q.Queue.Refused(q.service.Name)
		}
	}
	if err != nil {
		q.recordFailure(ctx, sample, lease.Server, err)
		return nil, err
	}
	defer answer.Close()
	if q.isOrdered() {
		q.Queue.Started(q.service.Name)
	}
	full, err := q.readAnswer(ctx, lease, answer)
	if err != nil {
		q.recordFailure(ctx, sample, lease.Server, err)
		return nil, err
	}
	recordStatus(sample, full.status)
	return full, nil
}

// release releases the claim of a request whose answer has been read.
func (q *request) release(lease *pool.Lease) {
	lease.Release()
	if q.isOrdered() {
		q.Queue.Freed(q.service.Name)
	}
}

// isOrdered reports whether the request, whose answer is passed on as a whole, waits in the order of fair shares.
func (q *request) isOrdered() bool { return q.Queue.IsFair && q.service.Engine == nil }

// chooseWithinLimits claims a backend server; under fair shares it waits for a free slot in order. Otherwise, where all have stated limits that are used up, it waits for the next send of this host if
// that leaves half of the route's latency target.
func (q *request) chooseWithinLimits(ctx context.Context) (*pool.Lease, error) {
	if q.isOrdered() {
		return q.placeInOrder(ctx)
	}
	end := q.arrived.Add(q.route.LatencyTarget / 2)
	for {
		lease, err := q.choose(q.requirements())
		var limited *pool.LimitedError
		if !errors.As(err, &limited) || time.Now().Add(limited.Wait).After(end) || !ticks.Sleep(ctx, limited.Wait) {
			return lease, err
		}
	}
}

// readAnswer reads the body of an answer and records the outcome in the lease. A backend server may crash within an answer. The
// body's memory is released when the request ends.
func (q *request) readAnswer(ctx context.Context, lease *pool.Lease, answer *send.Answer) (*fullAnswer, error) {
	full := &fullAnswer{status: answer.Status, header: answer.Header, server: lease.Server.ID}
	size, allowed, length := 0, smallAnswerBytes, statedLength(answer.Header)
	for {
		chunk := make([]byte, chunkSize(size, length))
		var err error
		if more := size + len(chunk) - allowed; more > 0 {
			more = max(more, min(length+1, maxReservedBytes)-allowed)
			err = q.waitForMemory(ctx, more)
			if err == nil {
				allowed += more
			}
		}
		if err == nil {
			var n int
			n, err = readChunk(answer.Body, chunk)
			size += n
			full.body = append(full.body, chunk[:n])
			if err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
				q.checkForCrash(lease.Server)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			lease.RecordAnswer(answer.Status >= http.StatusInternalServerError, time.Now())
			q.guarded.Answered()
			return full, nil
		case err == nil && size > maxAnswerBytes:
			err = errors.Newf("answer exceeds %d bytes", maxAnswerBytes)
		}
		if err != nil {
			q.account.Release(allowed - smallAnswerBytes)
			if isFailure := answer.Status >= http.StatusInternalServerError; isFailure || !hasNoMemory(err) {
				lease.RecordAnswer(true, time.Now())
			}
			return nil, errors.Mark(errors.Wrapf(err, "read %d bytes of an answer", size), send.ErrBroken)
		}
	}
}

// waitForMemory takes memory for more of an answer, for which it waits until other answers have been passed on.
func (q *request) waitForMemory(ctx context.Context, bytes int) error {
	waitCtx, cancel := context.WithTimeout(ctx, maxMemoryWait)
	defer cancel()
	if !q.account.Acquire(waitCtx, bytes) {
		return errNoMemory
	}
	return nil
}

// statedLength returns the length of the body that an answer states, or -1.
func statedLength(header http.Header) int {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err != nil || length < 0 {
		return -1
	}
	return length
}

// chunkSize returns the size of the next part of an answer: what is left of its length and a byte to see its end, or as much as has
// been read.
func chunkSize(read, length int) int {
	size := min(max(read, minChunkBytes), maxChunkBytes)
	if length >= read {
		size = min(size, length-read+1)
	}
	return size
}

// readChunk fills a chunk; at the end of a body it returns io.EOF with the last bytes.
func readChunk(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		more, err := body.Read(chunk[n:])
		n += more
		if err != nil {
			return n, err
		}
	}
	return n, nil
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
	switch {
	case hasNoMemory(err):
	case errors.Is(err, send.ErrInvalidAnswer):
		lease.RecordAnswer(true, time.Now())
	default:
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
	if head.IsSuccess(a.Status) && !reply.IsSigned {
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
	for _, chunk := range a.body {
		if err := q.write(chunk); err != nil {
			return errors.Mark(errors.Wrap(err, "write answer"), errCallerGone)
		}
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
	q.hasHead = true
	q.w.WriteHeader(status)
}
