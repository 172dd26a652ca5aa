package front

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// copyRetryDelay is the minimum time between a failed copy on demand and the next one.
	copyRetryDelay = 60 * time.Millisecond
	// copyRefreshAge is the age at which a precautionary copy is refreshed. Engines drop copies after about 5 s.
	copyRefreshAge = 3 * time.Second
	// defaultCopyTTL is how long engines keep a copy if the table does not state it.
	defaultCopyTTL = 5 * time.Second
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

// keepPrecautionaryCopy makes or refreshes a copy of a run whose backend server may shut down without a notice.
func (s *session) keepPrecautionaryCopy() {
	if s.isCopying || s.isConnecting || s.handover != nil {
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

func (b *standby) age() time.Duration {
	if b.copiedAt.IsZero() {
		return 0
	}
	return time.Since(b.copiedAt)
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
	a.Exclude, a.Source, a.Tokens = slices.Concat(s.copyRefusals, s.unreached), &s.current.lease.Server, s.expectedTokens()
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
	// A copy that takes longer than engines keep one is of no use.
	limit := s.service.Engine.CopyTTL
	if limit <= 0 {
		limit = defaultCopyTTL
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, limit)
		defer cancel()
		made, err := s.Copies.Copy(ctx, server.Address, s.ID, sb.claim.Server.Address)
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
	if isRenewed && sb.copiedAt.IsZero() {
		sb.releaseClaim()
		s.unconfirmed = sb
	} else {
		s.discard(sb)
	}
	s.nextCopyAt = time.Now().Add(copyRetryDelay)
}
