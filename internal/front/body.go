package front

import (
	"context"
	"io"
	"net/http"
	"sync"
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

// memory bounds the bytes of large request bodies, or of large answers, that the host holds.
type memory struct {
	mu   sync.Mutex
	held int64
	// released is closed at the next release; nil if none is awaited.
	released chan struct{}
}

// acquire takes a number of bytes within a limit, and waits for them until ctx ends; a limit of 0 means none. Where nothing else is
// held, a body may exceed the limit.
func (m *memory) acquire(ctx context.Context, bytes, limit int64) bool {
	for {
		m.mu.Lock()
		if m.takeLocked(bytes, limit) {
			m.mu.Unlock()
			return true
		}
		if m.released == nil {
			m.released = make(chan struct{})
		}
		released := m.released
		m.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

// take is an acquire that does not wait.
func (m *memory) take(bytes, limit int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeLocked(bytes, limit)
}

func (m *memory) takeLocked(bytes, limit int64) bool {
	if limit > 0 && m.held > 0 && m.held+bytes > limit {
		return false
	}
	m.held += bytes
	return true
}

func (m *memory) release(bytes int64) {
	if bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= bytes
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}

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
	_ = control.SetReadDeadline(time.Time{})
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
	if !q.bodies.acquire(waitCtx, rest, q.MaxBodiesBytes) {
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
	q.bodies.release(rest - int64(len(tail)))
	q.bodyBytes = int64(len(tail))
	return err
}
