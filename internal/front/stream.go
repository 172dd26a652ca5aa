package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/send"
)

const (
	// longOutput is the expected output in tokens from which a run is worth a standing copy.
	longOutput = 64
	// holdEvery is the number of events between two updates of the memory that a run holds.
	holdEvery = 8
	// watchPeriod is how often a stream without events looks at its backend server's state.
	watchPeriod = 100 * time.Millisecond
	// maxMoves bounds the backend servers that one stream goes on at.
	maxMoves = 12
)

// opened is the outcome of opening a feed beside the current one.
type opened struct {
	feed *feed
	err  error
}

// session is one stream in progress. Its fields belong to the handler's goroutine.
type session struct {
	*request
	ctx context.Context

	// current is the feed that events are taken from, next the one that takes over with its first event.
	current, next *feed
	// opening and copying carry the results of the goroutines that the flags tell of.
	opening   chan opened
	isOpening bool
	copying   chan copied
	isCopying bool
	// noticed is when the current backend server was first seen leaving; zero otherwise.
	noticed time.Time
	// copyAfter keeps the next copy on demand away from the last one that failed.
	copyAfter time.Time
	// refused lists the backend servers that had no room for a copy; isPlaceless tells that no other one had either.
	refused     []string
	isPlaceless bool
	// last is the number of the newest event that was forwarded.
	last    int
	started bool
	moves   int
	pace    pace
}

// stream answers a request with a series of events.
func (q *request) stream(ctx context.Context) error {
	q.Budget.Arrived(q.service.Name)
	s := &session{request: q, last: noEvent, opening: make(chan opened, 1), copying: make(chan copied, 1)}
	if number, err := strconv.Atoi(q.LastEvent); err == nil {
		s.last = number
	}
	ctx, cancel := context.WithCancel(ctx)
	s.ctx = ctx
	defer s.close()
	defer cancel()
	for {
		answer, err := s.begin()
		if answer != nil {
			if answer.status < http.StatusInternalServerError || ctx.Err() != nil || !q.mayRetry(nil) {
				return q.deliver(answer)
			}
			continue
		}
		if err == nil {
			err = s.pump()
		}
		if err == nil || s.started || ctx.Err() != nil || !q.mayRetry(err) {
			return err
		}
		q.log.Info("request sent again", "route", q.route.Name, "tried", q.tried, "runs", q.runs.Load(), "error", err)
	}
}

// begin starts a new run.
func (s *session) begin() (*whole, error) {
	lease, err := s.Pool.Choose(s.ask(), time.Now())
	if err != nil {
		return nil, err
	}
	s.tried = append(s.tried, lease.Server.ID)
	stamp := s.stamp(lease.Server.ID)
	stamp.LastEvent = s.lastEvent()
	current, answer, err := s.open(s.ctx, lease, stamp)
	s.current = current
	return answer, err
}

// lastEvent is the ID from which a run has to go on; empty at a stream's start.
func (s *session) lastEvent() string {
	if s.last == noEvent {
		return ""
	}
	return strconv.Itoa(s.last)
}

// pump forwards events until the stream ends; the stream changes over to other backend servers on the way.
func (s *session) pump() error {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		var next chan piece
		if s.next != nil {
			next = s.next.pieces
		}
		select {
		case p := <-s.current.pieces:
			isEnd, err := s.take(p)
			if isEnd || err != nil {
				return err
			}
		case p := <-next:
			isEnd, err := s.takeOver(p)
			if isEnd || err != nil {
				return err
			}
		case o := <-s.opening:
			s.opened(o)
		case c := <-s.copying:
			s.copied(c)
		case <-ticker.C:
		case <-s.ctx.Done():
			return s.cut(s.ctx.Err())
		}
		s.lookAround()
	}
}

// take forwards a piece of the current feed; it reports whether the stream has come to its whole end.
func (s *session) take(p piece) (bool, error) {
	switch {
	case errors.Is(p.err, io.EOF):
		if !s.started {
			s.writeHead(s.current.status, s.current.header)
		}
		s.current.lease.Answered(false)
		if by := s.current.standby; by != nil && by.taken.IsZero() {
			by.used()
			s.current.standby = nil
		}
		s.end("answered", s.current.status, append(s.pace.fields(), "late", s.pace.late(s.route), "server", s.current.lease.Server.ID, "last_event", s.last, "moves", s.moves)...)
		return true, nil
	case p.err != nil:
		return false, s.goOn(p.err)
	default:
		return false, s.forward(s.current, p)
	}
}

// forward passes an event on unless the caller has it already.
func (s *session) forward(from *feed, p piece) error {
	if s.last != noEvent && p.number <= s.last {
		return nil
	}
	if s.last != noEvent && p.number != s.last+1 {
		return s.cut(errors.Newf("event %d follows event %d", p.number, s.last))
	}
	if !s.started {
		s.started = true
		from.lease.Read()
		s.Meter.FirstEvent(time.Since(s.arrived))
		s.writeHead(from.status, from.header)
	}
	s.pace.event(time.Now(), s.arrived, p.number)
	if _, err := s.w.Write(p.event); err != nil {
		return errors.Mark(errors.Wrap(err, "write event"), errCallerGone)
	}
	s.last = p.number
	if s.last%holdEvery == 0 {
		s.hold()
	}
	if len(from.pieces) > 0 {
		return nil
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "flush event"), errCallerGone)
	}
	return nil
}

// held is the memory that the stream's run holds, with what it makes next.
func (s *session) held() int {
	return s.Prompt + (s.last+1)*s.service.Engine.EventTokens + growthTokens
}

// isLong reports whether the run is worth a copy: by the caller's estimate, which is often far off, or because it has
// gone on for half as long as a long one.
func (s *session) isLong() bool {
	return s.expectedOutput() >= longOutput || (s.last+1)*s.service.Engine.EventTokens >= longOutput/2
}

// hold updates the claims of the run and its copy.
func (s *session) hold() {
	if s.service.Engine == nil || s.current == nil {
		return
	}
	s.current.lease.Hold(s.held())
	if by := s.current.standby; by != nil {
		by.claim.Hold(s.held())
	}
}

// cut ends a stream that can't go on. Before the first event the caller still gets an honest failure.
func (s *session) cut(cause error) error {
	if !s.started {
		return errors.Mark(cause, send.ErrBroken)
	}
	return errors.Mark(errors.Wrapf(cause, "after event %d", s.last), errCut)
}

func (s *session) close() {
	s.request.close(s.current)
	s.request.close(s.next)
	if s.isOpening {
		o := <-s.opening
		s.request.close(o.feed)
	}
	if s.isCopying {
		c := <-s.copying
		c.fill()
		s.discard(c.standby)
	}
}
