package front

import (
	"context"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// copyRetryDelay is the minimum time between a failed copy on demand and the next one.
	copyRetryDelay = 60 * time.Millisecond
	// maxOverlap bounds the time in which a run is at work at its source and, without an event yet, at its copy. The rest of
	// the 400 ms that the platform allows is for a busy host and for the way of the stop to the source.
	maxOverlap = 200 * time.Millisecond
	// prefillWait bounds how long after a shutdown notice a migration waits until its target has finished pending prefills:
	// these double the time between events. The shortest notices leave 1.5 s.
	prefillWait = 900 * time.Millisecond
	// maxResumeWait bounds how long a stream waits for a backend server's limit before it is resumed there; callers leave after a
	// gap of 2 s.
	maxResumeWait = time.Second
	// copyRefreshAge is the age at which a precautionary copy is refreshed. Engines drop copies after about 5 s.
	copyRefreshAge = 3 * time.Second
)

// copyResult is the result of a copy on demand.
type copyResult struct {
	standby *standby
	// newCopy is the copy that was made, copiedAt the time of its completion.
	newCopy  Copy
	copiedAt time.Time
	// server is the backend server that ran the stream when the copy was requested.
	server string
	err    error
}

// checkServer migrates the run if its backend server is leaving, drops a copy whose backend server is leaving, and keeps a
// precautionary copy while shutdown notices may be missed.
func (s *session) checkServer() {
	if s.current == nil {
		return
	}
	server := s.current.lease.Server.ID
	if s.Pool.IsLeaving(server) {
		s.migrate(server)
		return
	}
	s.dropLeavingStandby()
	if s.Store.IsUnreachable() || s.Pool.IsRemovalPending(server) {
		s.keepPrecautionaryCopy()
		return
	}
	s.dropPrecautionaryCopy()
}

// keepPrecautionaryCopy makes or refreshes a copy of a run whose backend server may shut down without a notice.
func (s *session) keepPrecautionaryCopy() {
	if s.isCopying || s.isOpening || s.next != nil {
		return
	}
	sb := s.current.standby
	switch {
	case sb == nil:
		s.copyOnDemand(pool.Precaution)
	case !sb.copiedAt.IsZero() && sb.age() > copyRefreshAge && s.Pool.Wait(s.current.lease.Server.ID) == 0:
		s.startCopy(sb)
	}
}

// dropPrecautionaryCopy discards a copy that was made while notices could be missed.
func (s *session) dropPrecautionaryCopy() {
	if sb := s.current.standby; sb != nil && !sb.copiedAt.IsZero() && !s.isCopying {
		s.current.standby = nil
		s.discard(sb)
	}
}

// dropLeavingStandby releases a copy whose backend server is leaving.
func (s *session) dropLeavingStandby() {
	if sb := s.current.standby; sb != nil && s.Pool.IsLeaving(sb.claim.Server.ID) {
		sb.releaseClaim()
		s.current.standby = nil
	}
}

// migrate starts the live migration of the run while the leaving backend server still works: the stream switches to the
// copy at the first event from there, so that the caller sees no pause.
func (s *session) migrate(server string) {
	if s.next != nil || s.isOpening || s.isCopying || s.resumes >= maxResumes {
		return
	}
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
	s.dropLeavingStandby()
	sb := s.current.standby
	if sb == nil {
		s.copyOnDemand(pool.Migration)
		return
	}
	if time.Since(s.leavingSince) < prefillWait && s.Pool.PendingPromptTokens(sb.claim.Server.ID) > 0 {
		return
	}
	if s.Pool.WaitToResume(sb.claim.Server.ID) > 0 {
		return
	}
	s.leavingSince = time.Time{}
	s.current.standby = nil
	s.migrateTo(sb, server)
}

// migrateTo opens the stream at a copy while the current upstream continues.
func (s *session) migrateTo(sb *standby, from string) {
	if !s.Budget.Allow(s.service.Name, true) {
		s.log.Info("live migration skipped: the retry budget is exhausted", "server", from)
		s.discard(sb)
		return
	}
	s.resumes++
	s.log.Info("stream leaves its backend server", "from", from, "to", sb.claim.Server.ID, "last_event", s.lastNumber, "copy_age", sb.age())
	lease, metadata, err := s.claimCopy(sb)
	if err != nil {
		s.handleOpened(openResult{err: err})
		return
	}
	s.isOpening = true
	source, overlap := s.current, s.boundOverlap(s.current)
	source.overlap = overlap
	metadata.OnConnected = func() {
		source.copySentAt.Store(time.Now().UnixNano())
		overlap.Reset(maxOverlap)
	}
	go func() {
		f, err := s.openFromCopy(s.ctx, lease, metadata)
		if err != nil {
			overlap.Stop()
		}
		s.openResults <- openResult{upstream: f, err: err}
	}()
}

// boundOverlap returns a timer, not yet running, that stops the source of a migration. The session's goroutine can't do it in
// time: it may be blocked by a slow caller.
func (s *session) boundOverlap(source *upstream) *time.Timer {
	timer := time.AfterFunc(math.MaxInt64, func() {
		s.log.Info("source stopped before its copy made an event", "from", source.lease.Server.ID, "after", source.overlapped())
		source.stop()
	})
	timer.Stop()
	return timer
}

// replaceStopped continues the stream on its copy once its source is stopped.
func (s *session) replaceStopped() error {
	return s.replaceCurrent(errors.Newf("the copy made no event within %s", maxOverlap))
}

// claimCopy replaces a copy's memory claim by a lease for the run and returns it with the metadata of the send.
func (s *session) claimCopy(sb *standby) (*pool.Lease, ForwardMetadata, error) {
	sb.releaseClaim()
	lease, err := s.Pool.Claim(sb.claim.Server.ID, s.expectedTokens(), time.Now())
	if err != nil {
		return nil, ForwardMetadata{}, err
	}
	if err := s.guarded.Send(s.ctx, lease.Server.ID); err != nil {
		lease.Release()
		s.discard(sb)
		return nil, ForwardMetadata{}, err
	}
	metadata := s.forwardMetadata(lease.Server.ID)
	metadata.ResumeFrom, metadata.LastEvent = sb.copy, s.lastEventID()
	sb.copy = Copy{}
	return lease, metadata, nil
}

// openFromCopy resumes a run from a copy; every answer other than a stream is an error.
func (q *request) openFromCopy(ctx context.Context, lease *pool.Lease, metadata ForwardMetadata) (*upstream, error) {
	f, answer, err := q.openUpstream(ctx, lease, metadata)
	if answer != nil {
		return nil, errors.Newf("backend server %s answered with status %d instead of a stream", lease.Server.ID, answer.status)
	}
	return f, err
}

func (b *standby) age() time.Duration {
	if b.copiedAt.IsZero() {
		return 0
	}
	return time.Since(b.copiedAt)
}

// handleOpened stores the upstream that was opened while the current one continued, or logs why there is none.
func (s *session) handleOpened(o openResult) {
	s.isOpening = false
	if o.err != nil {
		s.Meter.Resumed("refused")
		s.log.Info("stream could not go on elsewhere", "error", o.err, "last_event", s.lastNumber)
		return
	}
	s.next = o.upstream
}

// switchToNext makes the next upstream the current one at its first item, unless that is an error.
func (s *session) switchToNext(p streamItem) (bool, error) {
	next := s.next
	s.next = nil
	if p.err != nil && !errors.Is(p.err, io.EOF) {
		s.log.Info("stream could not go on elsewhere", "error", p.err, "server", next.lease.Server.ID, "last_event", s.lastNumber)
		s.Meter.Resumed("broken")
		s.current.overlap.Stop()
		s.request.close(next)
		return false, nil
	}
	s.Meter.Resumed("moved")
	s.log.Info("stream moved", "from", s.current.lease.Server.ID, "to", next.lease.Server.ID, "last_event", s.lastNumber, "overlap", s.current.overlapped())
	s.request.close(s.current)
	s.current = next
	return s.handleItem(p)
}

// resume continues a stream whose upstream failed: on the next upstream if one is open, on the copy, or, where the route
// allows it, on any backend server.
func (s *session) resume(cause error) error {
	broken := s.current
	if s.ctx.Err() != nil {
		return s.cutError(context.Cause(s.ctx))
	}
	broken.lease.RecordConnectionFailure(time.Now())
	s.checkForCrash(broken.lease.Server)
	s.log.Info("stream broke", "server", broken.lease.Server.ID, "last_event", s.lastNumber, "silent_for", s.timing.sinceLast(time.Now()), "error", cause)
	return s.replaceCurrent(cause)
}

// replaceCurrent closes the current upstream and continues the stream on another one.
func (s *session) replaceCurrent(cause error) error {
	broken := s.current
	sb := broken.standby
	broken.standby = nil
	s.request.close(broken)
	s.current = nil
	for ; s.resumes < maxResumes; s.resumes++ {
		next, err := s.nextUpstream(sb)
		sb = nil
		if err != nil {
			s.Meter.Resumed("lost")
			return s.cutError(errors.WithSecondaryError(cause, err))
		}
		if next != nil {
			s.Meter.Resumed("resumed")
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
	if next := s.next; next != nil {
		s.next = nil
		return next, nil
	}
	if s.isOpening {
		o := <-s.openResults
		s.isOpening = false
		if o.err == nil {
			return o.upstream, nil
		}
		s.log.Info("stream could not go on elsewhere", "error", o.err, "last_event", s.lastNumber)
	}
	if sb != nil {
		if wait := s.Pool.WaitToResume(sb.claim.Server.ID); wait > 0 && wait <= maxResumeWait {
			ticks.Sleep(s.ctx, wait)
		}
		if !s.Budget.Allow(s.service.Name, true) {
			s.discard(sb)
			return nil, errors.New("the retry budget is exhausted")
		}
		lease, metadata, err := s.claimCopy(sb)
		if err == nil {
			var f *upstream
			if f, err = s.openFromCopy(s.ctx, lease, metadata); err == nil {
				s.log.Info("stream resumed from its copy", "server", lease.Server.ID, "last_event", s.lastNumber)
				return f, nil
			}
		}
		s.log.Info("copy could not go on", "server", sb.claim.Server.ID, "error", err)
	}
	if !s.started || !s.route.Resumable || int(s.runs.Load()) >= s.route.MaxAttempts || !s.Budget.Allow(s.service.Name, true) {
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
	return f, err
}

// copyOnDemand copies the run to a backend server with enough free memory, so that it can be resumed there.
func (s *session) copyOnDemand(use pool.Purpose) {
	engine := s.service.Engine
	if engine == nil || !engine.SupportsMigration || !s.started || s.isCopying || !s.isLong() || time.Now().Before(s.nextCopyAt) {
		return
	}
	if use == pool.Precaution && s.Pool.Wait(s.current.lease.Server.ID) > 0 {
		return
	}
	a := s.requirements()
	a.Exclude, a.Source, a.Tokens = s.copyRefusals, &s.current.lease.Server, s.expectedTokens()
	claim, err := s.Pool.ChooseCopy(a, use, time.Now())
	if err != nil {
		if !s.hasNoCopyTarget {
			s.hasNoCopyTarget = true
			s.log.Info("no place for a copy", "server", s.current.lease.Server.ID, "region", s.current.lease.Server.Region,
				"tokens", a.Tokens, "refused", s.copyRefusals, "last_event", s.lastNumber)
		}
		s.copyRefusals = nil
		s.nextCopyAt = time.Now().Add(copyRetryDelay)
		return
	}
	s.hasNoCopyTarget = false
	s.startCopy(&standby{claim: claim})
}

// startCopy copies the run to the claimed backend server in the background, or refreshes the copy there.
func (s *session) startCopy(sb *standby) {
	server := s.current.lease.Server
	s.log.Info("copy on demand asked for", "server", server.ID, "to", sb.claim.Server.ID, "tokens", s.expectedTokens(), "held", sb.claim.LoadBefore.Tokens,
		"pending", sb.claim.LoadBefore.PendingPromptTokens, "last_event", s.lastNumber)
	s.isCopying = true
	s.Pool.Sent(server.ID)
	go func() {
		made, err := s.Copies.Copy(s.ctx, server.Address, s.ID, sb.claim.Server.Address)
		s.copyResults <- copyResult{standby: sb, newCopy: made, copiedAt: time.Now(), server: server.ID, err: err}
	}()
}

// apply stores a successful copy in its standby.
func (c copyResult) apply() {
	if c.err == nil {
		c.standby.copy, c.standby.copiedAt = c.newCopy, c.copiedAt
	}
}

// handleCopied attaches a copy on demand to the run, or discards it if it failed or is no longer needed.
func (s *session) handleCopied(c copyResult) {
	s.isCopying = false
	sb := c.standby
	to := sb.claim.Server.ID
	isRenewed := s.current != nil && s.current.standby == sb
	c.apply()
	switch {
	case c.err == nil && (isRenewed || s.current != nil && s.current.lease.Server.ID == c.server && s.current.standby == nil):
		s.log.Info("run copied on demand", "server", c.server, "to", to, "last_event", s.lastNumber, "renewed", isRenewed)
		s.current.standby = sb
		return
	case isRenewed:
		s.current.standby = nil
	}
	s.log.Info("copy on demand failed", "server", c.server, "to", to, "error", c.err)
	s.copyRefusals = append(s.copyRefusals, to)
	s.discard(sb)
	s.nextCopyAt = time.Now().Add(copyRetryDelay)
}
