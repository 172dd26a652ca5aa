package front

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// maxSilence is the time without events after which a stream's path to its backend server is checked. Callers leave after a gap
	// of 2 s.
	maxSilence = 700 * time.Millisecond
	// maxNewTargets bounds the backend servers that are tried in place of that of a run's copy.
	maxNewTargets = 2
)

// pathCheck is what checking a stream's path needs to know.
type pathCheck struct {
	source pool.Server
	// standby is the claim at the backend server of the run's copy, nil without a complete copy; targets are those at other servers.
	standby *pool.Lease
	targets []*pool.Lease
	// mayRunAgain is set if the run may be started again without a copy.
	mayRunAgain bool
	// isAsked is set before another host is asked to end the run.
	isAsked *atomic.Bool
}

// checkPath ends the run through another host if its stream is silent because this host does not reach its backend server.
func (s *session) checkPath() {
	now := time.Now()
	if s.Others == nil || !s.started || s.service.Engine == nil || !s.service.Engine.SupportsMigration || s.resumes >= maxResumes ||
		s.cancelEnding != nil || s.handover != nil || s.isConnecting || s.isCopying ||
		s.timing.sinceLast(now) < maxSilence || now.Sub(s.pathCheckedAt) < maxSilence {
		return
	}
	s.pathCheckedAt = now
	check := pathCheck{source: s.current.lease.Server, mayRunAgain: s.route.Resumable, isAsked: &s.current.isAsked}
	a := s.requirements()
	a.Exclude, a.Source, a.Tokens = slices.Clone(s.unreached), &check.source, s.expectedTokens()
	if sb := s.current.standby; sb != nil {
		a.Exclude = append(a.Exclude, sb.claim.Server.ID)
		if !sb.copiedAt.IsZero() || s.current.hasRunFor(standbyTime, now) {
			check.standby, check.mayRunAgain = sb.claim, false
		}
	}
	for range maxNewTargets {
		claim, err := s.Pool.ChooseCopy(a, pool.Migration, now)
		if err != nil {
			break
		}
		a.Exclude = append(a.Exclude, claim.Server.ID)
		check.targets = append(check.targets, claim)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelEnding = cancel
	go func() { s.endResults <- s.endIfNotReached(ctx, check) }()
}

// endIfNotReached ends a run through other hosts if no connection to its backend server can be opened, but one to a server that can go on
// with it. A connection that is refused proves nothing, because the one to the run is open.
func (q *request) endIfNotReached(ctx context.Context, c pathCheck) moved {
	var kept *pool.Lease
	defer func() {
		for _, t := range c.targets {
			if t != kept {
				t.Release()
			}
		}
	}()
	if connectionEnding(ctx, c.source) != endUnknown {
		return moved{}
	}
	target := firstReached(ctx, c)
	if target == nil {
		return moved{}
	}
	c.isAsked.Store(true)
	m := q.endThroughOthers(ctx, c.source, target.Server)
	switch {
	case m.ending == endMoved && target != c.standby:
		kept, m.claim = target, target
	case m.ending == endMoved:
	case m.ending == endAbsent && (target == c.standby || c.mayRunAgain):
	default:
		return moved{}
	}
	return m
}

// firstReached returns the first claim of a check whose backend server accepts a connection, nil if there is none.
func firstReached(ctx context.Context, c pathCheck) *pool.Lease {
	claims := c.targets
	if c.standby != nil {
		claims = slices.Concat([]*pool.Lease{c.standby}, c.targets)
	}
	isReached := make([]bool, len(claims))
	var checks sync.WaitGroup
	for i, claim := range claims {
		checks.Go(func() { isReached[i] = connectionEnding(ctx, claim.Server) == endRefused })
	}
	checks.Wait()
	if i := slices.Index(isReached, true); i >= 0 {
		return claims[i]
	}
	return nil
}

// handleNotReached replaces the current upstream if another host has ended the run.
func (s *session) handleNotReached(m moved) error {
	s.pathCheckedAt = time.Now()
	if !m.ending.isProof() {
		return nil
	}
	s.unreached = append(s.unreached, s.current.lease.Server.ID)
	s.current.lease.RecordConnectionFailure(time.Now())
	s.log.Info("stream leaves a backend server that is not reached", "server", s.current.lease.Server.ID, "ending", m.ending.String(),
		"last_event", s.lastNumber, "silent_for", s.timing.sinceLast(time.Now()))
	s.current.standby = s.takeOver(s.current.standby, m)
	s.current.isEnded = true
	return s.replaceCurrent(errors.Newf("the run was ended by another host: %s", m.ending))
}

// takeOver returns the copy to resume a run from after a call that has ended it.
func (s *session) takeOver(sb *standby, m moved) *standby {
	switch {
	case m.claim != nil:
		s.discard(sb)
		return &standby{claim: m.claim, copy: m.copy, copiedAt: time.Now()}
	case m.ending == endMoved && sb != nil:
		s.useInstead(sb, m)
	case m.ending == endMoved:
		// The copy that the run had was dropped meanwhile.
		if claim, err := s.Pool.Claim(m.at, s.expectedTokens(), time.Now()); err == nil {
			return &standby{claim: claim, copy: m.copy, copiedAt: time.Now()}
		}
	}
	return sb
}
