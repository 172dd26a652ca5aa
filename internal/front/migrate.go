package front

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// endTimeout bounds the time between the end of the host's side of a connection and the end of the backend server's. Between
	// regions it takes 40 ms, and a lost packet takes another 200 ms.
	endTimeout = 250 * time.Millisecond
	// resetMargin is the time that a backend server has to reset a connection beyond the round trip.
	resetMargin = 10 * time.Millisecond
	// moveRetryDelay is the pause before the next migration of a run whose source takes no connections.
	moveRetryDelay = 250 * time.Millisecond
	// maxHandoverTime bounds the time from the choice of the copy's backend server, which may leave meanwhile, to the end of the run.
	maxHandoverTime = time.Second
	// maxCopyRefusals is the number of backend servers that refuse a copy of a leaving run after which its standby copy is used unconfirmed.
	maxCopyRefusals = 2
	// confirmTime is the age of a run from which its standby copy is assumed to be there: its first part waits behind other copies on its way,
	// and those of runs of up to 1.8 s were refused. standbyTime is the same where copies can't be confirmed. The run ends before the copy is
	// used, so that a refusal cuts the stream.
	confirmTime = 2500 * time.Millisecond
	standbyTime = 600 * time.Millisecond
	// prefillWait bounds how long after a shutdown notice a migration waits until its target has finished pending prefills:
	// these double the time between events. The shortest notices leave 1.5 s.
	prefillWait = 900 * time.Millisecond
)

// handover is a migration in progress: a connection to the copy's backend server, on which the request is sent once the run has
// ended at its source.
type handover struct {
	*claimedCopy

	conn *send.Conn
	// control is a connection to the source, on which it is asked to end the run; nil once used. It is opened before the host ends its side
	// of the run's connection: a source that can't be asked any more may work on, and its events would be lost.
	control *send.Conn
	// isEndDue fires when the source should have ended.
	isEndDue *time.Timer
	// endRequestedAt is when the host ended its side of the connection to the source.
	endRequestedAt time.Time
	// isAbsent is set once the source has answered that it has no such run.
	isAbsent bool
}

// connectResult is the result of connecting to a copy's backend server.
type connectResult struct {
	handover *handover
	err      error
	// controlErr is why there is no connection to the source.
	controlErr error
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
	s.checkPath()
	s.dropLeavingStandby()
	if s.Store.IsUnreachable() || s.Pool.IsRemovalPending(server) {
		s.keepPrecautionaryCopy()
		return
	}
	s.dropPrecautionaryCopy()
}

// migrate starts the live migration of the run while the leaving backend server still works: a connection to the copy's backend
// server is opened first, so that the caller sees a short pause only.
func (s *session) migrate(server string) {
	if s.handover != nil || s.isConnecting || s.isCopying || s.cancelEnding != nil || s.resumes >= maxResumes || time.Now().Before(s.nextMoveAt) {
		return
	}
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
	}
	s.dropLeavingStandby()
	sb := s.current.standby
	if sb == nil && len(s.copyRefusals) >= maxCopyRefusals {
		sb = s.useUnconfirmed()
	}
	if sb == nil {
		s.copyOnDemand(pool.Migration)
		return
	}
	if sb.copiedAt.IsZero() && !sb.isLastResort && !s.isConfirmed(sb) {
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

// isConfirmed reports whether a standby copy may be used as it is. Engines say to nobody whether it has arrived, so that a young run is
// copied on demand to the same backend server before it ends. Where engines can't, the copy is assumed to be there.
func (s *session) isConfirmed(sb *standby) bool {
	now := time.Now()
	if s.current.hasRunFor(confirmTime, now) {
		return true
	}
	if !s.service.Engine.SupportsMigration {
		return s.current.hasRunFor(standbyTime, now)
	}
	if s.started && !time.Now().Before(s.nextCopyAt) {
		s.startCopy(sb)
	}
	return false
}

// useUnconfirmed makes the standby copy that could not be confirmed that of the run again, if there is one.
func (s *session) useUnconfirmed() *standby {
	sb := s.unconfirmed
	if sb == nil || s.Pool.IsLeaving(sb.claim.Server.ID) {
		return nil
	}
	s.unconfirmed = nil
	claim, err := s.Pool.Claim(sb.claim.Server.ID, s.expectedTokens(), time.Now())
	if err != nil {
		return nil
	}
	sb.claim, sb.isLastResort = claim, true
	s.current.standby = sb
	return sb
}

// migrateTo connects to the backend server of a copy.
func (s *session) migrateTo(sb *standby, from string) {
	if !s.allowResume() {
		s.log.Info("live migration skipped: the retry budget is exhausted", "server", from)
		s.discard(sb)
		return
	}
	s.resumes++
	s.log.Info("stream leaves its backend server", "from", from, "to", sb.claim.Server.ID, "last_event", s.lastNumber, "copy_age", sb.age())
	claimed, err := s.claimCopy(sb)
	if err != nil {
		s.handleConnected(connectResult{err: err})
		return
	}
	s.isConnecting = true
	source := s.current.lease.Server
	go func() { s.connectResults <- s.connect(claimed, source) }()
}

// connect connects to the backend server of a copy and to the run's own.
func (s *session) connect(claimed *claimedCopy, source pool.Server) connectResult {
	c := connectResult{handover: &handover{claimedCopy: claimed}}
	control := make(chan struct{})
	go func() {
		defer close(control)
		began := time.Now()
		c.handover.control, c.controlErr = s.Copies.Connect(s.ctx, source.Address)
		if c.controlErr == nil {
			// A server that has too many connections resets this one a round trip later; events arrive meanwhile.
			ticks.Sleep(s.ctx, time.Since(began)+resetMargin)
		}
	}()
	c.handover.conn, c.err = send.Connect(s.ctx, claimed.lease.Server.Address)
	<-control
	if c.err != nil {
		c.handover.closeControl()
	}
	return c
}

// closeControl closes the connection to the source if it has not been used.
func (h *handover) closeControl() {
	if control := h.takeControl(); control != nil {
		control.Close()
	}
}

// takeControl returns the connection to the source, nil if there is none or it has been used.
func (h *handover) takeControl() *send.Conn {
	if h == nil {
		return nil
	}
	control := h.control
	h.control = nil
	return control
}

// handleConnected ends the run at its source, or logs why it can't go on elsewhere.
func (s *session) handleConnected(c connectResult) {
	if !s.keepConnected(c) {
		return
	}
	h := s.handover
	h.isEndDue = time.NewTimer(endTimeout)
	if s.current.isUnframed {
		// Its end would look like a complete answer.
		h.isEndDue.Reset(0)
		return
	}
	if h.control == nil || !h.control.IsOpen() {
		s.putOff(c.controlErr)
		return
	}
	if err := s.current.answer.EndRequest(); err != nil {
		s.log.Info("request not ended over its connection", "server", s.current.lease.Server.ID, "error", err)
		h.isEndDue.Reset(0)
	}
}

// putOff ends a migration whose source takes no more connections, and keeps the run there: it could not be asked whether the run has ended.
func (s *session) putOff(cause error) {
	h := s.handover
	s.handover = nil
	h.conn.Close()
	h.closeControl()
	h.lease.Release()
	s.resumes--
	s.nextMoveAt = time.Now().Add(moveRetryDelay)
	s.log.Info("migration put off", "reason", "the backend server can't be asked to end the run", "server", s.current.lease.Server.ID, "last_event", s.lastNumber, "error", cause)
	claim, err := s.Pool.Claim(h.lease.Server.ID, s.expectedTokens(), time.Now())
	if err != nil {
		s.discardOnDemand(h.standby)
		return
	}
	h.standby.claim = claim
	s.current.standby = h.standby
}

// keepConnected stores the connection to a copy's backend server, or logs why there is none.
func (s *session) keepConnected(c connectResult) bool {
	s.isConnecting = false
	if c.err == nil {
		s.handover = c.handover
		s.handover.endRequestedAt = time.Now()
		return true
	}
	if c.handover != nil {
		if s.ctx.Err() == nil {
			c.handover.lease.RecordConnectionFailure(time.Now())
		}
		c.handover.lease.Release()
		s.discardOnDemand(c.handover.standby)
	}
	s.Meter.Resumed("refused")
	s.log.Info("stream could not go on elsewhere", "error", c.err, "last_event", s.lastNumber)
	return false
}

// endDue returns the channel that fires when the run's source should have ended; nil without a migration.
func (s *session) endDue() <-chan time.Time {
	if s.handover == nil || s.cancelEnding != nil {
		return nil
	}
	return s.handover.isEndDue.C
}

// askToEnd asks the backend server to end a run that has not ended in time. Until it has, its events are forwarded.
func (s *session) askToEnd() {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelEnding = cancel
	s.current.isAsked.Store(true)
	source := s.current.lease.Server
	to := s.copyTarget(source, s.handover.lease.Server)
	control := s.handover.takeControl()
	go func() { s.endResults <- s.endRun(ctx, source, to, control) }()
}

// stopAsking cancels the call that ends the run, if one is in progress, and returns its result.
func (s *session) stopAsking() moved {
	if s.cancelEnding == nil {
		return moved{}
	}
	s.cancelEnding()
	s.cancelEnding = nil
	return <-s.endResults
}

// handleEnded replaces the current upstream if its run has ended.
func (s *session) handleEnded(m moved) error {
	s.cancelEnding()
	s.cancelEnding = nil
	h := s.handover
	if h == nil {
		return s.handleNotReached(m)
	}
	switch {
	case m.ending == endMoved:
		s.useInstead(h.standby, m)
	case m.ending == endAbsent && (h.isAbsent || s.current.isUnframed):
	case m.ending == endAbsent:
		// The rest of its answer is on the way.
		h.isAbsent = true
		h.isEndDue.Reset(endTimeout)
		return nil
	case time.Since(h.claimedAt) > maxHandoverTime:
		s.log.Info("migration given up: the run has not ended", "server", s.current.lease.Server.ID, "last_event", s.lastNumber)
		s.dropHandover()
		return nil
	default:
		// A port that is closed proves nothing while the connection is open.
		h.isEndDue.Reset(endTimeout)
		return nil
	}
	s.current.isEnded = true
	return s.replaceCurrent(errors.Newf("the run was ended: %s", m.ending))
}

// useInstead replaces a copy by the one that was made as the run ended, if that is at the same backend server.
func (s *session) useInstead(sb *standby, m moved) {
	if m.at != sb.claim.Server.ID || m.claim != nil {
		s.freeUnused(m)
		return
	}
	sb.copy, sb.copiedAt = m.copy, time.Now()
}

// dropHandover ends a migration that is not needed any more.
func (s *session) dropHandover() {
	h := s.handover
	if h == nil {
		return
	}
	s.handover = nil
	h.conn.Close()
	h.closeControl()
	h.lease.Release()
	s.discardOnDemand(h.standby)
}

// isClosedOnRequest reports whether an error of the current upstream shows that its backend server has closed its end of the connection as
// this host has closed its own. Whether the run has ended is open: servers may work on.
func (s *session) isClosedOnRequest(err error) bool {
	return s.handover != nil && !s.current.isUnframed && errors.Is(err, io.ErrUnexpectedEOF)
}

// claimedCopy is a copy that is about to be used, with the lease for the run.
type claimedCopy struct {
	standby   *standby
	lease     *pool.Lease
	claimedAt time.Time
}

// claimCopy replaces a copy's memory claim by a lease for the run.
func (s *session) claimCopy(sb *standby) (*claimedCopy, error) {
	sb.releaseClaim()
	lease, err := s.Pool.Claim(sb.claim.Server.ID, s.expectedTokens(), time.Now())
	if err != nil {
		s.discardOnDemand(sb)
		return nil, err
	}
	if err := s.guarded.Send(s.ctx, lease.Server.ID); err != nil {
		lease.Release()
		s.discard(sb)
		return nil, err
	}
	return &claimedCopy{standby: sb, lease: lease, claimedAt: time.Now()}, nil
}

// openFromCopy resumes the run from a copy over a connection; every answer other than a stream is an error.
func (s *session) openFromCopy(ctx context.Context, c *claimedCopy, conn *send.Conn) (*upstream, error) {
	metadata := s.forwardMetadata(c.lease.Server.ID)
	metadata.ResumeFrom, metadata.LastEvent = c.standby.copy, s.lastEventID()
	f, answer, err := s.openUpstream(ctx, c.lease, metadata, conn, c.standby.kept)
	if answer != nil {
		err = errors.Newf("backend server %s answered with status %d instead of a stream", c.lease.Server.ID, answer.status)
	}
	if err != nil {
		s.discardOnDemand(c.standby)
	}
	return f, err
}
