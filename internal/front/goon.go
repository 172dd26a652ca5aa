package front

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

const (
	// copyPause keeps failed copies on demand apart.
	copyPause = 60 * time.Millisecond
	// quietWait is how long after a notice a run waits for its next backend server to have read the prompts that it is
	// reading: these double the time between events. The shortest notices leave 1.5 s.
	quietWait = 900 * time.Millisecond
	// renewAfter is the age at which a copy made as a precaution is brought up to date. Engines give copies up after
	// some 5 s.
	renewAfter = 3 * time.Second
)

// copied is the outcome of a copy on demand.
type copied struct {
	standby *standby
	// made is the copy, and at the time at which it was made.
	made Copy
	at   time.Time
	// server is the backend server that ran the stream when the copy was asked for.
	server string
	err    error
}

// lookAround leaves a backend server that is about to end and forgets a copy whose backend server is.
func (s *session) lookAround() {
	if s.current == nil {
		return
	}
	server := s.current.lease.Server.ID
	if s.Pool.IsLeaving(server) {
		s.leave(server)
		return
	}
	s.dropLeavingCopy()
	if s.Store.IsUnreachable() || s.Pool.IsDoubtful(server) {
		s.takePrecaution()
		return
	}
	s.endPrecaution()
}

// takePrecaution keeps a copy of a run whose backend server may end without a notice.
func (s *session) takePrecaution() {
	if s.isCopying || s.isOpening || s.next != nil {
		return
	}
	by := s.current.standby
	switch {
	case by == nil:
		s.copyNow(pool.Precaution)
	case !by.taken.IsZero() && by.age() > renewAfter:
		s.copyTo(by)
	}
}

// endPrecaution gives up a copy that was made while notices could be missed.
func (s *session) endPrecaution() {
	if by := s.current.standby; by != nil && !by.taken.IsZero() && !s.isCopying {
		s.current.standby = nil
		s.discard(by)
	}
}

// dropLeavingCopy forgets a copy whose backend server is about to end.
func (s *session) dropLeavingCopy() {
	if by := s.current.standby; by != nil && s.Pool.IsLeaving(by.claim.Server.ID) {
		by.used()
		s.current.standby = nil
	}
}

// leave opens the stream at its copy while the leaving backend server still works: the first event from there
// takes over, so that the caller sees no pause.
func (s *session) leave(server string) {
	if s.next != nil || s.isOpening || s.isCopying || s.moves >= maxMoves {
		return
	}
	if s.noticed.IsZero() {
		s.noticed = time.Now()
	}
	s.dropLeavingCopy()
	by := s.current.standby
	if by == nil {
		s.copyNow(pool.Move)
		return
	}
	if time.Since(s.noticed) < quietWait && s.Pool.Pending(by.claim.Server.ID) > 0 {
		return
	}
	s.noticed = time.Time{}
	s.current.standby = nil
	s.openAt(by, server)
}

// openAt opens the stream at a copy beside the current feed.
func (s *session) openAt(by *standby, from string) {
	if !s.Budget.Allow(s.service.Name, true) {
		s.log.Info("stream stays: no budget for another send", "server", from)
		s.discard(by)
		return
	}
	s.moves++
	s.log.Info("stream leaves its backend server", "from", from, "to", by.claim.Server.ID, "last_event", s.last, "copy_age", by.age())
	lease, stamp, err := s.prepare(by)
	if err != nil {
		s.opened(opened{err: err})
		return
	}
	s.isOpening = true
	go func() {
		f, err := s.reopen(s.ctx, lease, stamp)
		s.opening <- opened{feed: f, err: err}
	}()
}

// prepare turns a copy into a claim on its backend server and the stamp of the send.
func (s *session) prepare(by *standby) (*pool.Lease, ForwardMetadata, error) {
	by.used()
	lease, err := s.Pool.Claim(by.claim.Server.ID, s.held(), time.Now())
	if err != nil {
		return nil, ForwardMetadata{}, err
	}
	stamp := s.stamp(lease.Server.ID)
	stamp.ResumeFrom, stamp.LastEvent = by.copy, s.lastEvent()
	by.copy = Copy{}
	return lease, stamp, nil
}

// reopen opens a run that goes on from a copy; every answer but a stream is a failure.
func (q *request) reopen(ctx context.Context, lease *pool.Lease, stamp ForwardMetadata) (*feed, error) {
	f, answer, err := q.open(ctx, lease, stamp)
	if answer != nil {
		return nil, errors.Newf("backend server %s answered status %d", lease.Server.ID, answer.status)
	}
	return f, err
}

func (b *standby) age() time.Duration {
	if b.taken.IsZero() {
		return 0
	}
	return time.Since(b.taken)
}

// opened takes the feed that was opened beside the current one.
func (s *session) opened(o opened) {
	s.isOpening = false
	if o.err != nil {
		s.Meter.Resumed("refused")
		s.log.Info("stream could not go on elsewhere", "error", o.err, "last_event", s.last)
		return
	}
	s.next = o.feed
}

// takeOver makes the next feed the current one when its first event arrives.
func (s *session) takeOver(p piece) (bool, error) {
	next := s.next
	s.next = nil
	if p.err != nil && !errors.Is(p.err, io.EOF) {
		s.log.Info("stream could not go on elsewhere", "error", p.err, "server", next.lease.Server.ID, "last_event", s.last)
		s.Meter.Resumed("broken")
		s.request.close(next)
		return false, nil
	}
	s.Meter.Resumed("moved")
	s.request.close(s.current)
	s.current = next
	return s.take(p)
}

// goOn continues a stream whose backend server broke: at the feed that is about to take over, at the copy, or, where
// the route allows it, anywhere.
func (s *session) goOn(cause error) error {
	broken := s.current
	if s.ctx.Err() != nil {
		return s.cut(s.ctx.Err())
	}
	broken.lease.Broke(time.Now())
	if !s.started {
		s.suspect(broken.lease.Server)
	}
	s.log.Info("stream broke", "server", broken.lease.Server.ID, "last_event", s.last, "error", cause)
	by := broken.standby
	broken.standby = nil
	s.request.close(broken)
	s.current = nil
	for ; s.moves < maxMoves; s.moves++ {
		next, err := s.successor(by)
		by = nil
		if err != nil {
			s.Meter.Resumed("lost")
			return s.cut(errors.WithSecondaryError(cause, err))
		}
		if next != nil {
			s.Meter.Resumed("resumed")
			s.current = next
			next.lease.Read()
			return nil
		}
	}
	return s.cut(cause)
}

// successor returns a feed that goes on with the stream, nil if another try is due, or an error if there is none.
func (s *session) successor(by *standby) (*feed, error) {
	if next := s.next; next != nil {
		s.next = nil
		return next, nil
	}
	if s.isOpening {
		o := <-s.opening
		s.isOpening = false
		if o.err == nil {
			return o.feed, nil
		}
		s.log.Info("stream could not go on elsewhere", "error", o.err, "last_event", s.last)
	}
	if by != nil {
		if !s.Budget.Allow(s.service.Name, true) {
			s.discard(by)
			return nil, errors.New("no budget for another send")
		}
		lease, stamp, err := s.prepare(by)
		if err == nil {
			var f *feed
			if f, err = s.reopen(s.ctx, lease, stamp); err == nil {
				s.log.Info("stream goes on at its copy", "server", lease.Server.ID, "last_event", s.last)
				return f, nil
			}
		}
		s.log.Info("copy could not go on", "server", by.claim.Server.ID, "error", err)
	}
	if !s.started || !s.route.Resumable || int(s.runs.Load()) >= s.route.MaxAttempts || !s.Budget.Allow(s.service.Name, true) {
		return nil, errors.New("no copy to go on from")
	}
	answer, err := s.begin()
	if answer != nil {
		return nil, errors.Newf("status %d", answer.status)
	}
	if errors.Is(err, send.ErrNotSent) || errors.Is(err, errNotRun) {
		return nil, nil
	}
	f := s.current
	s.current = nil
	return f, err
}

// copyNow copies the run to a backend server that has room, so that it can go on there.
func (s *session) copyNow(use pool.Purpose) {
	engine := s.service.Engine
	if engine == nil || !engine.SupportsMigration || !s.started || s.isCopying || !s.isLong() || time.Now().Before(s.copyAfter) {
		return
	}
	a := s.ask()
	a.Exclude, a.Beside, a.Tokens = s.refused, &s.current.lease.Server, s.held()
	claim, err := s.Pool.ChooseCopy(a, use, time.Now())
	if err != nil {
		if !s.isPlaceless {
			s.isPlaceless = true
			s.log.Info("no place for a copy", "server", s.current.lease.Server.ID, "region", s.current.lease.Server.Region,
				"tokens", a.Tokens, "refused", s.refused, "last_event", s.last)
		}
		s.refused = nil
		s.copyAfter = time.Now().Add(copyPause)
		return
	}
	s.isPlaceless = false
	s.copyTo(&standby{claim: claim})
}

// copyTo copies the run to a claimed place, or brings the copy there up to date.
func (s *session) copyTo(by *standby) {
	server := s.current.lease.Server
	s.log.Info("copy on demand asked for", "server", server.ID, "to", by.claim.Server.ID, "tokens", s.held(), "held", by.claim.Seen.Tokens,
		"pending", by.claim.Seen.Pending, "last_event", s.last)
	s.isCopying = true
	go func() {
		made, err := s.Copies.Copy(s.ctx, server.Address, s.ID, by.claim.Server.Address)
		s.copying <- copied{standby: by, made: made, at: time.Now(), server: server.ID, err: err}
	}()
}

// fill notes a copy that was made.
func (c copied) fill() {
	if c.err == nil {
		c.standby.copy, c.standby.taken = c.made, c.at
	}
}

// copied takes the outcome of a copy on demand.
func (s *session) copied(c copied) {
	s.isCopying = false
	by := c.standby
	to := by.claim.Server.ID
	isRenewed := s.current != nil && s.current.standby == by
	c.fill()
	switch {
	case c.err == nil && (isRenewed || s.current != nil && s.current.lease.Server.ID == c.server && s.current.standby == nil):
		s.log.Info("run copied on demand", "server", c.server, "to", to, "last_event", s.last, "renewed", isRenewed)
		s.current.standby = by
		return
	case isRenewed:
		s.current.standby = nil
	}
	s.log.Info("copy on demand failed", "server", c.server, "to", to, "error", c.err)
	s.refused = append(s.refused, to)
	s.discard(by)
	s.copyAfter = time.Now().Add(copyPause)
}
