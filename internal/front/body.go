package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	// maxBodyBytes bounds request bodies unless the routing table sets a limit.
	maxBodyBytes = 4 << 20
	// smallBodyBytes of each body are read whatever the bodies of other requests take.
	smallBodyBytes = 64 << 10
	// maxBodyWait bounds how long a caller's body waits for memory. Callers that have not been read for a second leave.
	maxBodyWait = 600 * time.Millisecond
)

// readBody reads the request's body. Large bodies wait for memory for a moment and are refused if none is free. Its errors are
// refusals.
func (q *request) readBody(ctx context.Context, r *http.Request, limits policy.Limits) error {
	q.hasBody = r.ContentLength != 0
	if !q.hasBody {
		return nil
	}
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = maxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return refuse.New(refuse.CodeTooLarge, "the body is too large")
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.deadline)
	stopWaiting := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Now()) })
	err := q.readWithin(ctx, http.MaxBytesReader(q.w, r.Body, maxBytes), r.ContentLength, maxBytes)
	if !stopWaiting() && errors.Is(context.Cause(ctx), errHostStopped) {
		return retryable(refuse.CodeDraining, errHostStopped.Error())
	}
	if err == nil {
		// The server reads the rest of other bodies before it answers, which the deadline goes on to bound.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var refused *refuse.Error
	switch {
	case errors.As(err, &refused):
		return err
	case errors.As(err, &tooLarge):
		return refuse.New(refuse.CodeTooLarge, "the body is too large")
	case err != nil:
		return errors.Mark(errors.Wrap(err, "read body"), errCallerGone)
	}
	return nil
}

// readWithin reads a body of the given length, -1 if unknown, of which the host holds what its memory allows.
func (q *request) readWithin(ctx context.Context, body io.Reader, length, maxBytes int64) error {
	small := int64(smallBodyBytes)
	if length >= 0 {
		small = min(small, length)
	}
	head, err := io.ReadAll(io.LimitReader(body, small))
	if err != nil {
		return err
	}
	if int64(len(head)) < small && length < 0 || int64(len(head)) == length {
		q.body = head
		return nil
	}
	rest := maxBytes - small
	if length >= 0 {
		rest = length - small
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(maxBodyWait, time.Until(q.deadline)/3))
	defer cancel()
	if !q.bodies.Acquire(waitCtx, rest, q.MaxBodiesBytes) {
		return retryable(refuse.CodeOverloaded, "the bodies of other requests take the host's memory")
	}
	q.bodyBytes = rest
	if length >= 0 {
		q.body = make([]byte, length)
		copy(q.body, head)
		_, err = io.ReadFull(body, q.body[small:])
		return err
	}
	tail, err := io.ReadAll(body)
	q.body = append(head, tail...)
	q.bodies.Release(rest - int64(len(tail)))
	q.bodyBytes = int64(len(tail))
	return err
}
