package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/flow"
	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

const (
	// queuedEvents is the number of events that wait to be forwarded.
	queuedEvents = 8
	// maxQueuedEventBytes bounds an event that is queued; the next event after a larger one is read after that one has been forwarded.
	maxQueuedEventBytes = 4 << 10
)

// freeTimeout bounds the call that deletes a copy; a copy that is not deleted expires by itself.
const freeTimeout = time.Second

// noEvent is the event number before any event has arrived.
const noEvent = -1

// streamItem is one event of a stream, or the error that ended it; io.EOF means a complete stream.
type streamItem struct {
	event  []byte
	number int
	err    error
	// forwarded is closed once the event has been forwarded; nil if the reader does not wait for that.
	forwarded chan struct{}
}

// upstream is a stream's connection to one backend server.
type upstream struct {
	lease  *pool.Lease
	header http.Header
	status int
	items  chan streamItem
	// began is when the session received the first event; zero before.
	began time.Time
	// isUnframed says that the end of the connection is the end of the answer, so that a crash may look like one.
	isUnframed bool
	// standby is the run's copy at another backend server; nil without one.
	standby *standby
	cancel  context.CancelFunc
	// sample records the outcome as evidence on the server's version.
	sample *canary.Sample
	// answer is the answer that the events are read from.
	answer *send.Answer
	// isAsked is set once the backend server has been asked to end the run: then the end of an unframed answer does not say that it is
	// complete.
	isAsked atomic.Bool
	// isEnded is set once the run is certain to have ended.
	isEnded bool
}

// hasRunFor reports whether the run has gone on for a time since its first event.
func (f *upstream) hasRunFor(least time.Duration, now time.Time) bool {
	return !f.began.IsZero() && now.Sub(f.began) >= least
}

// standby is a copy of a run's memory at another backend server.
type standby struct {
	claim *pool.Lease
	copy  Copy
	// kept is the copy that the run's engine keeps up to date at the same backend server; empty if it does not.
	kept Copy
	// isLastResort is set if no other backend server takes a copy of the run, so that this one is used although it could not be confirmed.
	isLastResort bool
	// copiedAt is when a copy on demand was made; zero for a standby copy, which the engine keeps up to date.
	copiedAt time.Time
}

// serverID returns the ID of the backend server that holds the copy; empty without a copy.
func (s *standby) serverID() string {
	if s == nil {
		return ""
	}
	return s.claim.Server.ID
}

// releaseClaim releases the memory claim of a copy that is being used or that its engine has already dropped.
func (s *standby) releaseClaim() {
	if s != nil {
		s.claim.Release()
	}
}

// discard releases the claim of a copy that is no longer needed and deletes it at its backend server in the background, unless
// that takes no more requests now: the copy expires by itself.
func (q *request) discard(s *standby) {
	if s == nil {
		return
	}
	s.claim.Release()
	if s.copy.Name == "" {
		return
	}
	if wait := q.Pool.Wait(s.claim.Server.ID); wait > 0 {
		q.log.Info("copy left to expire", "server", s.claim.Server.ID, "copy", s.copy.Name, "wait", wait)
		return
	}
	q.Pool.Sent(s.claim.Server.ID)
	q.active.Add()
	go func() {
		defer q.active.Done()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := q.Copies.Free(ctx, s.claim.Server.Address, s.copy.Name); err != nil {
			q.log.Info("copy not freed", "server", s.claim.Server.ID, "copy", s.copy.Name, "error", err)
		}
	}()
}

// discardOnDemand discards a copy that could not be used and was made on demand; a standby copy ends with its run.
func (q *request) discardOnDemand(s *standby) {
	if !s.copiedAt.IsZero() {
		q.discard(s)
	}
}

// close closes the connection of an upstream request, releases its lease and discards its copy.
func (q *request) close(f *upstream) {
	if f == nil {
		return
	}
	if f.answer != nil {
		f.answer.Close()
	}
	f.cancel()
	f.lease.Release()
	q.discard(f.standby)
}

// openUpstream sends the request to a backend server, over a new connection if conn is nil, once all others have ended it. It returns
// the stream, or the full answer if the status is not that of a success. A refused copy is followed by the other copies that the backend
// server may hold.
func (q *request) openUpstream(ctx context.Context, lease *pool.Lease, s ForwardMetadata, conn *send.Conn, others ...Copy) (*upstream, *fullAnswer, error) {
	f := &upstream{lease: lease}
	made, err := q.awaitEnds(ctx, lease.Server)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		lease.Release()
		return nil, nil, err
	}
	if made.Name != "" {
		others = append([]Copy{s.ResumeFrom}, others...)
		s.ResumeFrom = made
	}
	s.Timeout = time.Until(q.deadline)
	ctx, f.cancel = context.WithCancel(ctx)
	if sb := q.chooseStandby(&lease.Server); sb != nil {
		s.StandbyAddress = sb.claim.Server.Address
		f.standby = sb
	}
	q.log.Info("stream sent", append([]any{
		"server", lease.Server.ID, "domain", lease.Server.Domain, "backup", f.standby.serverID(),
		"runs", lease.LoadBefore.Runs, "pending", lease.LoadBefore.PendingPromptTokens, "held", lease.LoadBefore.Tokens,
		"from_copy", s.ResumeFrom.Name != "", "last_event", s.LastEvent, "tokens", q.Prompt, "output_hint", q.OutputHint,
	}, basisAttributes(lease)...)...)
	f.sample = q.sample(lease)
	answer, err := q.exchange(ctx, lease, s, conn)
	for _, other := range others {
		if !errors.Is(err, errNotRun) || other.Name == "" || other == s.ResumeFrom || !q.mayTryOther(lease) {
			continue
		}
		q.log.Info("copy is refused", "server", lease.Server.ID, "copy", s.ResumeFrom.Name, "next", other.Name)
		s.ResumeFrom, s.Timeout = other, time.Until(q.deadline)
		answer, err = q.exchange(ctx, lease, s, nil)
	}
	if err != nil {
		q.recordFailure(ctx, f.sample, lease.Server, err)
		if !errors.IsAny(err, send.ErrNotSent, errNotRun) {
			q.addUnended(lease.Server, nil)
		}
		q.close(f)
		q.discard(&standby{claim: lease, copy: made})
		return nil, nil, err
	}
	if !head.IsSuccess(answer.Status) {
		defer q.discard(&standby{claim: lease, copy: made})
		defer q.close(f)
		defer answer.Close()
		full, err := q.readAnswer(ctx, lease, answer)
		if err != nil {
			q.recordFailure(ctx, f.sample, lease.Server, err)
			q.addUnended(lease.Server, nil)
			return nil, full, err
		}
		recordStatus(f.sample, full.status)
		return nil, full, nil
	}
	f.answer, f.header, f.status, f.isUnframed = answer, answer.Header, answer.Status, answer.IsUnframed
	f.items = make(chan streamItem, queuedEvents)
	go f.read(ctx, answer, q.account)
	return f, nil, nil
}

// mayTryOther reports whether a backend server that has refused a copy may be sent the request with another copy that it holds.
func (q *request) mayTryOther(lease *pool.Lease) bool {
	return q.Pool.WaitToResume(lease.Server.ID) == 0 && q.Budget.Allow(q.service.Name, true)
}

// read sends events to the channel until the stream or the context ends.
func (f *upstream) read(ctx context.Context, answer *send.Answer, memory flow.Memory) {
	defer answer.Close()
	events := flow.Reader{Body: answer.Body, Memory: memory}
	defer events.Close()
	var timing serverTiming
	for hasEvent := false; ; hasEvent = true {
		waitedSince := time.Now()
		event, err := events.Next()
		if errors.Is(err, io.EOF) && answer.IsUnframed && !hasEvent {
			// A backend server that crashes closes its connections too.
			err = io.ErrUnexpectedEOF
		}
		p := streamItem{number: noEvent, err: err}
		if err == nil {
			timing.record(f.lease, waitedSince, time.Now())
			if len(event) <= maxQueuedEventBytes {
				event = bytes.Clone(event)
			} else {
				p.forwarded = make(chan struct{})
			}
			p.event = event
			p.number, err = strconv.Atoi(flow.ID(event))
			if err != nil {
				p.err = errors.Wrap(err, "read event ID")
			}
		}
		select {
		case f.items <- p:
		case <-ctx.Done():
			return
		}
		if p.err != nil {
			return
		}
		if p.forwarded == nil {
			continue
		}
		select {
		case <-p.forwarded:
		case <-ctx.Done():
			return
		}
	}
}

// chooseStandby claims memory for a standby copy of a long run; nil if the run is expected to be short or no memory is
// free.
func (q *request) chooseStandby(source *pool.Server) *standby {
	engine := q.service.Engine
	if engine == nil || !engine.SupportsStandby || q.expectedOutput() < longOutputTokens {
		return nil
	}
	a := q.requirements()
	a.Exclude, a.Source = q.unreached, source
	claim, err := q.Pool.ChooseCopy(a, pool.Standby, time.Now())
	if err != nil {
		return nil
	}
	kept := Copy{Address: claim.Server.Address, Name: q.ID}
	return &standby{claim: claim, copy: kept, kept: kept}
}
