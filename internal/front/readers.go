package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/stall"
)

const (
	// readersPeriod is how often callers that are written to are checked.
	readersPeriod = 250 * time.Millisecond
	// readerGrace is the time of a write from which its caller is checked.
	readerGrace = 500 * time.Millisecond
	// queuedBytes is what may wait of a stream's events besides.
	queuedBytes = queuedEvents * maxQueuedEventBytes
)

// errReaderDropped says that the caller did not read its answer.
var errReaderDropped = errors.New("the caller does not read its answer")

// CallerConn is a caller's connection.
type CallerConn interface {
	// Progress returns the bytes that the caller has taken since it connected, and those that wait to be sent.
	Progress() (taken uint64, waiting int, err error)
}

// writing runs a write to the caller, which may block until the caller reads.
func (q *request) writing(write func() error) error {
	q.writingSince.Store(time.Now().UnixNano())
	defer q.writingSince.Store(0)
	return write()
}

// write writes to the caller.
func (q *request) write(p []byte) error {
	return q.writing(func() error {
		_, err := q.w.Write(p)
		return err
	})
}

// flush sends what was written to the caller.
func (q *request) flush() error { return q.writing(http.NewResponseController(q.w).Flush) }

// progress is what was last seen of a caller that is written to.
type progress struct {
	taken uint64
	at    time.Time
}

// Readers drops callers that do not read their answers.
type Readers struct {
	Front  *Front
	Limits stall.Limits
	// Meter counts the dropped callers by reason.
	Meter interface{ ReaderDropped(reason string) }

	// seen holds the callers that were checked last.
	seen map[*request]progress
}

// Name names the controller in logs.
func (r *Readers) Name() string { return "readers" }

// Run checks the callers until ctx ends.
func (r *Readers) Run(ctx context.Context) error {
	ticker := time.NewTicker(readersPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.check(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// check drops those callers that stopped, or that hold too much.
func (r *Readers) check(now time.Time) {
	requests := r.Front.aborts.blockedSince(now.Add(-readerGrace))
	seen := make(map[*request]progress, len(requests))
	readers := make([]stall.Reader, 0, len(requests))
	held := int64(0)
	for _, q := range requests {
		p, waiting := r.observe(q, now)
		seen[q] = p
		reader := stall.Reader{Blocked: now.Sub(p.at), Held: int64(waiting) + q.account.Held() + queuedBytes}
		readers = append(readers, reader)
		held += reader.Held
	}
	r.seen = seen
	for _, d := range r.Limits.Decide(readers) {
		q, reader := requests[d.Index], readers[d.Index]
		if !r.Front.aborts.abort(q, errors.Wrap(errReaderDropped, string(d.Reason))) {
			continue
		}
		q.log.Warn("reader dropped", "reason", d.Reason, "blocked", reader.Blocked, "held", reader.Held, "held_by_all", held,
			"limit_bytes", r.Limits.HeldBytes, "readers", len(readers))
		r.Meter.ReaderDropped(string(d.Reason))
	}
}

// observe returns when the caller of a request last took bytes, and what waits to be sent to it.
func (r *Readers) observe(q *request, now time.Time) (progress, int) {
	since := time.Unix(0, q.writingSince.Load())
	p, known := r.seen[q]
	if !known || p.at.Before(since) {
		p.at = since
	}
	if since.Equal(time.Unix(0, 0)) {
		// The write has just ended.
		p.at = now
	}
	if q.conn == nil {
		return p, 0
	}
	taken, waiting, err := q.conn.Progress()
	if err != nil {
		// The connection has been closed, which ends the write.
		return progress{at: now}, 0
	}
	if known && taken != p.taken {
		p.at = now
	}
	p.taken = taken
	return p, waiting
}

// blockedSince returns the requests to whose callers a write has been in progress since a time.
func (a *aborts) blockedSince(since time.Time) []*request {
	a.mu.Lock()
	defer a.mu.Unlock()
	var blocked []*request
	for q := range a.all {
		if began := q.writingSince.Load(); began != 0 && began <= since.UnixNano() {
			blocked = append(blocked, q)
		}
	}
	return blocked
}

// abort ends a request with a cause; false if it has ended.
func (a *aborts) abort(q *request, cause error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	end, ok := a.all[q]
	if ok {
		end(cause)
	}
	return ok
}
