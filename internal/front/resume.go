package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// maxResumeWait bounds how long a stream waits for a backend server's limit before it is resumed there; callers leave after a
// gap of 2 s.
const maxResumeWait = time.Second

// resume continues a stream whose upstream failed: at a copy, or, where the route allows it, on any backend server.
func (s *session) resume(cause error) error {
	broken := s.current
	if s.ctx.Err() != nil {
		return s.cutError(context.Cause(s.ctx))
	}
	if s.isClosedOnRequest(cause) {
		s.log.Info("backend server closed the connection on request", "server", broken.lease.Server.ID, "last_event", s.lastNumber, "took", time.Since(s.handover.endRequestedAt))
		return s.replaceCurrent(cause)
	}
	s.recordFailure(s.ctx, broken.sample, broken.lease.Server, cause)
	if !hasNoMemory(cause) {
		broken.lease.RecordConnectionFailure(time.Now())
		s.checkForCrash(broken.lease.Server)
	}
	s.log.Info("stream broke", "server", broken.lease.Server.ID, "last_event", s.lastNumber, "silent_for", s.timing.sinceLast(time.Now()), "error", cause)
	return s.replaceCurrent(cause)
}

// replaceCurrent closes the current upstream and continues the stream on another one once its run has ended.
func (s *session) replaceCurrent(cause error) error {
	before := s.current
	sb := before.standby
	before.standby = nil
	if sb == nil {
		sb = s.unconfirmed
	}
	s.unconfirmed, s.current = nil, nil
	s.request.close(before)
	if s.cancelEnding != nil && s.handover == nil && before.isAsked.Load() {
		// The answer of the other host, which takes a second at most, has the name of the copy.
		s.endResults <- <-s.endResults
	}
	m := s.stopAsking()
	before.isEnded = before.isEnded || m.ending.isProof()
	if s.handover != nil && m.ending == endMoved {
		s.useInstead(s.handover.standby, m)
	} else {
		sb = s.takeOver(sb, m)
	}
	if !before.isEnded {
		s.addUnended(before.lease.Server, s.handover.takeControl())
	}
	for ; s.resumes < maxResumes; s.resumes++ {
		next, err := s.nextUpstream(sb)
		sb = nil
		if err != nil {
			s.Meter.Resumed("lost")
			return s.cutError(errors.WithSecondaryError(cause, err))
		}
		if next != nil {
			s.current = next
			next.lease.PrefillDone(time.Now())
			return nil
		}
	}
	return s.cutError(cause)
}

// nextUpstream returns an upstream that continues the stream, nil if it should be called again, or an error if there is
// none.
func (s *session) nextUpstream(sb *standby) (*upstream, error) {
	if s.isConnecting {
		s.keepConnected(<-s.connectResults)
	}
	if h := s.handover; h != nil {
		s.handover = nil
		h.closeControl()
		f, err := s.openFromCopy(s.ctx, h.claimedCopy, h.conn)
		if err == nil {
			s.Meter.Resumed("moved")
			s.log.Info("stream moved", "to", h.lease.Server.ID, "last_event", s.lastNumber, "took", time.Since(h.endRequestedAt))
			return f, nil
		}
		s.Meter.Resumed("refused")
		s.log.Info("stream could not go on elsewhere", "server", h.lease.Server.ID, "error", err, "last_event", s.lastNumber)
		if errors.Is(err, errAtWork) {
			return nil, err
		}
	}
	if sb != nil {
		if wait := s.Pool.WaitToResume(sb.claim.Server.ID); wait > 0 && wait <= maxResumeWait {
			ticks.Sleep(s.ctx, wait)
		}
		if !s.allowResume() {
			s.discard(sb)
			return nil, errors.New("the retry budget is exhausted")
		}
		f, err := s.resumeFromCopy(sb)
		if err == nil {
			s.Meter.Resumed("resumed")
			s.log.Info("stream resumed from its copy", "server", f.lease.Server.ID, "last_event", s.lastNumber)
			return f, nil
		}
		s.log.Info("copy could not go on", "server", sb.claim.Server.ID, "error", err)
		if errors.Is(err, errAtWork) {
			return nil, err
		}
	}
	if !s.started || !s.route.Resumable || int(s.runs.Load()) >= s.route.MaxAttempts || !s.allowResume() {
		return nil, errors.New("no copy to resume from")
	}
	answer, err := s.startRun()
	if answer != nil {
		return nil, errors.Newf("the resumed request was answered with status %d", answer.status)
	}
	if errors.Is(err, send.ErrNotSent) || errors.Is(err, errNotRun) {
		return nil, nil
	}
	f := s.current
	s.current = nil
	if err == nil {
		s.Meter.Resumed("resumed")
	}
	return f, err
}

// allowResume takes a retry from the budget for the next send, unless no backend server has received the request since it took the last
// one.
func (s *session) allowResume() bool {
	sends := s.sends.Load()
	if s.paidSends == sends {
		return true
	}
	if !s.Budget.Allow(s.service.Name, true) {
		return false
	}
	s.paidSends = sends
	return true
}

// resumeFromCopy connects to the backend server of a copy and resumes the run there.
func (s *session) resumeFromCopy(sb *standby) (*upstream, error) {
	claimed, err := s.claimCopy(sb)
	if err != nil {
		return nil, err
	}
	return s.openFromCopy(s.ctx, claimed, nil)
}
