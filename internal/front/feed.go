package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/flow"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

// freeTimeout bounds the call that gives up a copy; a copy that is not freed expires by itself.
const freeTimeout = time.Second

// noEvent is the number of the event before a stream's first.
const noEvent = -1

// piece is one event of a stream, or the error at which it ended; io.EOF is a whole end.
type piece struct {
	event  []byte
	number int
	err    error
}

// feed is one backend server's part of a stream.
type feed struct {
	lease  *pool.Lease
	header http.Header
	status int
	pieces chan piece
	// standby is the copy of the run that the backend server keeps up to date; nil without one.
	standby *standby
	cancel  context.CancelFunc
}

// standby is a copy of a run's memory at another backend server.
type standby struct {
	claim *pool.Lease
	copy  Copy
	// taken is when a copy on demand was made; zero for one that follows the run by itself.
	taken time.Time
}

// server names the backend server that holds the copy; empty without a copy.
func (s *standby) server() string {
	if s == nil {
		return ""
	}
	return s.claim.Server.ID
}

// used ends the claim of a copy that a run goes on from, or that its engine has given up by itself.
func (s *standby) used() {
	if s != nil {
		s.claim.Release()
	}
}

// discard gives up a copy that nothing will go on from, so that its memory is free again.
func (q *request) discard(s *standby) {
	if s == nil {
		return
	}
	s.claim.Release()
	if s.copy.Name == "" {
		return
	}
	q.active.Add(1)
	go func() {
		defer q.active.Done()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := q.Copies.Free(ctx, s.claim.Server.Address, s.copy.Name); err != nil {
			q.log.Info("copy not freed", "server", s.claim.Server.ID, "copy", s.copy.Name, "error", err)
		}
	}()
}

// close ends the feed and what its backend server does for it.
func (q *request) close(f *feed) {
	if f == nil {
		return
	}
	f.cancel()
	f.lease.Release()
	q.discard(f.standby)
}

// open sends the request to a backend server. An answer that is no stream is returned as a whole.
func (q *request) open(ctx context.Context, lease *pool.Lease, s ForwardMetadata) (*feed, *whole, error) {
	f := &feed{lease: lease}
	ctx, f.cancel = context.WithCancel(ctx)
	if backup := q.chooseBackup(&lease.Server); backup != nil {
		s.StandbyAddress = backup.claim.Server.Address
		f.standby = backup
	}
	q.log.Info("stream sent", "server", lease.Server.ID, "domain", lease.Server.Domain, "backup", f.standby.server(),
		"runs", lease.Seen.Runs, "pending", lease.Seen.Pending, "held", lease.Seen.Tokens,
		"from_copy", s.ResumeFrom.Name != "", "last_event", s.LastEvent, "tokens", q.Prompt, "output_hint", q.OutputHint)
	answer, err := q.exchange(ctx, lease, s)
	if err != nil {
		q.close(f)
		return nil, nil, err
	}
	if answer.Status >= http.StatusMultipleChoices {
		defer q.close(f)
		defer answer.Close()
		body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
		lease.Answered(answer.Status >= http.StatusInternalServerError)
		if err != nil {
			return nil, nil, errors.Mark(errors.Wrap(err, "read failure"), send.ErrBroken)
		}
		return nil, &whole{status: answer.Status, header: answer.Header, body: body, server: lease.Server.ID}, nil
	}
	f.header, f.status = answer.Header, answer.Status
	f.pieces = make(chan piece, 8)
	go f.read(ctx, answer)
	return f, nil, nil
}

// read passes events on until the stream or the context ends.
func (f *feed) read(ctx context.Context, answer *send.Answer) {
	defer answer.Close()
	events := flow.Reader{Body: answer.Body}
	for {
		event, err := events.Next()
		p := piece{number: noEvent, err: err}
		if err == nil {
			p.event = bytes.Clone(event)
			p.number, err = strconv.Atoi(flow.ID(event))
			if err != nil {
				p.err = errors.Wrap(err, "read event ID")
			}
		}
		select {
		case f.pieces <- p:
		case <-ctx.Done():
			return
		}
		if p.err != nil {
			return
		}
	}
}

// chooseBackup claims the memory for a copy of a long run; nil if the run is short or no memory is free.
func (q *request) chooseBackup(beside *pool.Server) *standby {
	engine := q.service.Engine
	if engine == nil || !engine.SupportsStandby || q.expectedOutput() < longOutput {
		return nil
	}
	a := q.ask()
	a.Exclude, a.Beside = nil, beside
	claim, err := q.Pool.ChooseCopy(a, pool.Standby, time.Now())
	if err != nil {
		return nil
	}
	return &standby{claim: claim, copy: Copy{Address: claim.Server.Address, Name: q.ID}}
}
