package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

const (
	// longOutputTokens is the expected output in tokens from which a run gets a standby copy.
	longOutputTokens = 64
	// claimUpdateEvents is the number of events between two updates of a run's memory claim.
	claimUpdateEvents = 8
	// watchPeriod is how often a stream without events checks its backend server's state.
	watchPeriod = 100 * time.Millisecond
	// maxResumes bounds how often one stream is migrated or resumed.
	maxResumes = 12
)

// session is one stream in progress. Only the handler's goroutine accesses its fields.
type session struct {
	*request
	ctx context.Context

	// current is the upstream that events are read from; handover is the migration in progress, nil without one.
	current  *upstream
	handover *handover
	// connectResults and copyResults carry the results of the goroutines that run while isConnecting and isCopying are set.
	connectResults chan connectResult
	isConnecting   bool
	copyResults    chan copyResult
	isCopying      bool
	// endResults carries the result of the goroutine that runs while cancelEnding is set.
	endResults   chan moved
	cancelEnding context.CancelFunc
	// pathCheckedAt is when the path to the backend server was last checked.
	pathCheckedAt time.Time
	// leavingSince is when a migration of the run became due; zero while none waits.
	leavingSince time.Time
	// unconfirmed is the standby copy of the current run that could not be confirmed; it is used if the run breaks and there is no other.
	unconfirmed *standby
	// nextMoveAt is the earliest time of the next migration after one that was put off.
	nextMoveAt time.Time
	// nextCopyAt is the earliest time of the next copy on demand after a failed one.
	nextCopyAt time.Time
	// copyRefusals lists the backend servers at which a copy failed; hasNoCopyTarget is set while no other one is eligible.
	copyRefusals    []string
	hasNoCopyTarget bool
	// contentType is the type that the caller received; an answer of another type that ends without an event continues nothing.
	contentType string
	// lastNumber is the number of the last forwarded event.
	lastNumber int
	started    bool
	// isSound is set once a backend server has gone on with the answer long enough not to have crashed under the request.
	isSound bool
	resumes int
	// paidSends is the number of sends at which the last retry was taken from the budget.
	paidSends int32
	timing    eventTiming
}

// stream answers a request with a stream of events.
func (q *request) stream(ctx context.Context) error {
	q.arrive()
	s := &session{request: q, lastNumber: noEvent, connectResults: make(chan connectResult, 1), endResults: make(chan moved, 1), copyResults: make(chan copyResult, 1)}
	if number, err := strconv.Atoi(q.LastEvent); err == nil {
		s.lastNumber = number
	}
	ctx, cancel := context.WithCancel(ctx)
	s.ctx = ctx
	defer s.close()
	defer cancel()
	for {
		answer, err := s.startRun()
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

// startRun starts a run at a newly chosen backend server.
func (s *session) startRun() (*fullAnswer, error) {
	lease, err := s.place(s.ctx, s.started)
	if err != nil {
		return nil, err
	}
	if err := s.guarded.Send(s.ctx, lease.Server.ID); err != nil {
		lease.Release()
		return nil, err
	}
	s.tried = append(s.tried, lease.Server.ID)
	metadata := s.forwardMetadata(lease.Server.ID)
	metadata.LastEvent = s.lastEventID()
	current, answer, err := s.openUpstream(s.ctx, lease, metadata, nil)
	s.current = current
	return answer, err
}

// lastEventID returns the ID of the last forwarded event; empty at a stream's start.
func (s *session) lastEventID() string {
	if s.lastNumber == noEvent {
		return ""
	}
	return strconv.Itoa(s.lastNumber)
}

// pump forwards events until the stream ends, across migrations and resumes.
func (s *session) pump() error {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case p := <-s.current.items:
			isEnd, err := s.handleItem(p)
			if isEnd || err != nil {
				return err
			}
		case c := <-s.connectResults:
			s.handleConnected(c)
		case c := <-s.copyResults:
			s.handleCopied(c)
		case <-s.endDue():
			s.askToEnd()
		case m := <-s.endResults:
			if err := s.handleEnded(m); err != nil {
				return err
			}
		case <-ticker.C:
		case <-s.ctx.Done():
			s.recordFailure(s.ctx, s.current.sample, s.current.lease.Server, s.ctx.Err())
			return s.cutError(context.Cause(s.ctx))
		}
		s.checkServer()
	}
}

// handleItem forwards an item of the current upstream; it reports whether the stream is complete.
func (s *session) handleItem(p streamItem) (bool, error) {
	if p.forwarded != nil {
		defer close(p.forwarded)
	}
	switch {
	case errors.Is(p.err, io.EOF) && s.current.isUnframed && s.current.isAsked.Load():
		return false, s.resume(io.ErrUnexpectedEOF)
	case errors.Is(p.err, io.EOF) && s.started && s.current.began.IsZero() && s.current.header.Get("Content-Type") != s.contentType:
		return false, s.resume(errors.New("an answer that is no stream came in its place"))
	case errors.Is(p.err, io.EOF):
		if !s.started {
			s.writeHead(s.current.status, s.current.header)
		}
		s.current.lease.RecordAnswer(false, time.Now())
		recordStatus(s.current.sample, s.current.status)
		if !s.current.isUnframed {
			s.guarded.Answered()
		}
		if sb := s.current.standby; sb != nil && sb.copiedAt.IsZero() {
			sb.releaseClaim()
			s.current.standby = nil
		}
		s.recordOutcome("answered", s.current.status, append(s.timing.logAttributes(), "late", s.timing.missedTarget(s.route), "server", s.current.lease.Server.ID, "last_event", s.lastNumber, "moves", s.resumes)...)
		return true, nil
	case p.err != nil:
		return false, s.resume(p.err)
	default:
		return false, s.forward(s.current, p)
	}
}

// recordProof records an event of an upstream, and that the request is sound if the upstream has gone on for long enough.
func (s *session) recordProof(from *upstream, now time.Time) {
	switch {
	case from.began.IsZero():
		from.began = now
	case !s.isSound && now.Sub(from.began) >= crash.ProofTime:
		s.isSound = true
		s.guarded.Answered()
	}
}

// forward writes an event to the caller unless it was already forwarded.
func (s *session) forward(from *upstream, p streamItem) error {
	s.recordProof(from, time.Now())
	from.sample.Event()
	if s.lastNumber != noEvent && p.number <= s.lastNumber {
		return nil
	}
	if s.lastNumber != noEvent && p.number != s.lastNumber+1 {
		return s.cutError(errors.Newf("events are missing: event %d came directly after event %d", p.number, s.lastNumber))
	}
	if !s.started {
		s.started = true
		s.begunVersion = &from.lease.Server.Version
		s.contentType = from.header.Get("Content-Type")
		from.lease.PrefillDone(time.Now())
		s.Queue.Started(s.service.Name)
		s.Meter.FirstEvent(time.Since(s.arrived))
		s.writeHead(from.status, from.header)
	}
	s.timing.record(time.Now(), s.arrived, p.number)
	if err := s.write(p.event); err != nil {
		return errors.Mark(errors.Wrap(err, "write event"), errCallerGone)
	}
	s.lastNumber = p.number
	if s.lastNumber%claimUpdateEvents == 0 {
		s.updateClaims()
	}
	if len(from.items) > 0 {
		return nil
	}
	if err := s.flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "flush event"), errCallerGone)
	}
	return nil
}

// expectedTokens returns the memory of the stream's run in tokens, with a reserve for its next output.
func (s *session) expectedTokens() int {
	return s.Prompt + (s.lastNumber+1)*s.service.Engine.EventTokens + outputReserveTokens
}

// isLong reports whether the run is worth a copy: by the caller's estimate, which is often far off, or because it has
// already produced half the output of a long one.
func (s *session) isLong() bool {
	return s.expectedOutput() >= longOutputTokens || (s.lastNumber+1)*s.service.Engine.EventTokens >= longOutputTokens/2
}

// updateClaims updates the memory claims of the run and its copy.
func (s *session) updateClaims() {
	if s.service.Engine == nil || s.current == nil {
		return
	}
	s.current.lease.SetTokens(s.expectedTokens())
	if sb := s.current.standby; sb != nil {
		sb.claim.SetTokens(s.expectedTokens())
	}
}

// cutError marks the error that ends a stream. Before the first event the caller still gets an error response, later a
// stream that is cut.
func (s *session) cutError(cause error) error {
	if !s.started {
		return errors.Mark(cause, send.ErrBroken)
	}
	return errors.Mark(errors.Wrapf(cause, "after event %d", s.lastNumber), errCut)
}

func (s *session) close() {
	s.request.close(s.current)
	if s.isConnecting {
		s.keepConnected(<-s.connectResults)
	}
	s.freeUnused(s.stopAsking())
	s.dropHandover()
	if s.isCopying {
		c := <-s.copyResults
		c.apply()
		s.discard(c.standby)
	}
}
