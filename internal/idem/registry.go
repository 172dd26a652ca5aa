package idem

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	// storeTries bounds the attempts at one read or one claim, storePause separates them.
	storeTries = 3
	storePause = 50 * time.Millisecond
	// pollFirst and pollMax bound the pause between two reads of a running call's record.
	pollFirst = 50 * time.Millisecond
	pollMax   = time.Second
	// holderSlack is the margin on CallLimit after which a holder can't be running its call any more.
	holderSlack = 10 * time.Second
	retryAfter  = time.Second
)

// Store is the part of the object API that Registry needs.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
	Delete(ctx context.Context, key string, expect object.Version) error
}

// Registry reads and writes the records of the calls that one host receives.
type Registry struct {
	Store Store
	Self  Holder
	// IsGone reports whether a holder is known to have ended; nil means that none is.
	IsGone func(Holder) bool
	// CallLimit is the maximum duration of a call on any host.
	CallLimit time.Duration
	Clock     call.Clock
	// NewAttempt returns a unique ID for a request; nil uses a random one.
	NewAttempt func() string

	pending pendingWrites
}

// Lookup returns the answer to an earlier request with the same key; found is false if there was none. It polls the
// record of a request in progress until the call's deadline, and returns a *refuse.Error if there is no answer.
func (k *Registry) Lookup(ctx context.Context, c call.Call) (a call.Answer, found bool, err error) {
	request := requestHash(c)
	pause := pollFirst
	for {
		o, err := k.get(ctx, recordKey(c))
		if errors.Is(err, object.ErrNotFound) {
			return call.Answer{}, false, nil
		}
		if err != nil {
			return call.Answer{}, false, storeDown(c)
		}
		r, err := decode(o)
		if err != nil {
			return call.Answer{}, false, &refuse.Error{Code: refuse.CodeInternal, Message: "the key's record can't be read", Run: refuse.MayHaveRun}
		}
		verdict := Evaluate(r, request, k.holderGone(r))
		if verdict != VerdictRunning {
			return verdictAnswer(verdict, r)
		}
		if k.Clock.Now().Add(pause).After(c.Deadline) || k.Clock.Sleep(ctx, pause) != nil {
			return call.Answer{}, false, &refuse.Error{
				Code: refuse.CodeInProgress, Message: "an earlier sending of the key is in progress",
				Run: refuse.MayHaveRun, RetryAfter: retryAfter,
			}
		}
		pause = min(2*pause, pollMax)
	}
}

// verdictAnswer returns the recorded answer or the refusal for any verdict but VerdictRunning.
func verdictAnswer(v Verdict, r Record) (call.Answer, bool, error) {
	switch v {
	case VerdictAnswer:
		return *r.Answer, true, nil
	case VerdictReused:
		return call.Answer{}, false, refuse.New(refuse.CodeKeyReused, "the idempotency key was used for another call")
	case VerdictOmitted:
		return call.Answer{}, false, &refuse.Error{
			Code: refuse.CodeAnswerTooLarge, Message: "an earlier sending of the key was answered; the answer was too large to keep", Run: refuse.MayHaveRun,
		}
	default:
		return call.Answer{}, false, &refuse.Error{
			Code: refuse.CodeInterrupted, Message: "an earlier sending of the key was lost", Run: refuse.MayHaveRun,
		}
	}
}

// holderGone reports whether the record's holder can't record an answer any more. It only ends the wait for an
// answer: a wrong result never lets a call run a second time.
func (k *Registry) holderGone(r Record) bool {
	if k.Clock.Now().Sub(r.Created) > k.CallLimit+holderSlack {
		return true
	}
	return r.Holder != k.Self && k.IsGone != nil && k.IsGone(r.Holder)
}

// storeDown refuses a call whose key can't be looked up or claimed. This request did not run; whether an earlier
// one did is unknown, unless the caller guarantees that there was none.
func storeDown(c call.Call) error {
	run := refuse.MayHaveRun
	if c.FirstSending {
		run = refuse.NotRun
	}
	return &refuse.Error{
		Code: refuse.CodeStoreUnavailable, Message: "the store of idempotency keys can't be reached; this sending did not run",
		Run: run, RetryAfter: retryAfter,
	}
}

func (k *Registry) get(ctx context.Context, key string) (object.Object, error) {
	for try := 1; ; try++ {
		o, err := k.Store.Get(ctx, key)
		if err == nil || errors.Is(err, object.ErrNotFound) || try == storeTries {
			return o, err
		}
		if k.Clock.Sleep(ctx, storePause) != nil {
			return o, err
		}
	}
}

// Claim creates the key's record. It returns call.ErrClaimed if another request created it first.
func (k *Registry) Claim(ctx context.Context, c call.Call) (call.Claim, error) {
	r := Record{
		Attempt: k.attempt(), Request: requestHash(c), State: StateIntent,
		Holder: k.Self, Created: k.Clock.Now().UTC().Round(0),
	}
	text, err := encode(r)
	if err != nil {
		return nil, err
	}
	key := recordKey(c)
	for range storeTries {
		version, state := k.create(ctx, key, text, r.Attempt)
		switch state {
		case created:
			return &claim{registry: k, key: key, version: version, record: r}, nil
		case taken:
			return nil, errors.Wrap(call.ErrClaimed, key)
		case unclear:
		}
		if !k.Clock.Now().Add(storePause).Before(c.Deadline) || k.Clock.Sleep(ctx, storePause) != nil {
			break
		}
	}
	k.pending.add(&pendingWrite{key: key, attempt: r.Attempt, since: k.Clock.Now()})
	return nil, storeDown(c)
}

func (k *Registry) attempt() string {
	if k.NewAttempt != nil {
		return k.NewAttempt()
	}
	return rand.Text()
}

// creation is the result of an attempt to create a record.
type creation int

const (
	unclear creation = iota
	created
	taken
)

// create tries once to create the record. If the store's answer is lost or a conflict, it reads the record back.
func (k *Registry) create(ctx context.Context, key string, text []byte, attempt string) (object.Version, creation) {
	o, err := k.Store.Put(ctx, key, text, 0)
	if err == nil {
		return o.Version, created
	}
	if errors.Is(err, object.ErrUnavailable) {
		return 0, unclear
	}
	o, err = k.Store.Get(ctx, key)
	if err != nil {
		return 0, unclear
	}
	r, err := decode(o)
	if err != nil || r.Attempt != attempt {
		return 0, taken
	}
	return o.Version, created
}

// claim is the right to run the call of one record.
type claim struct {
	registry *Registry
	key      string
	version  object.Version
	record   Record
}

// Complete records how the call ended. If the store does not accept the write, Flush retries it later.
func (c *claim) Complete(ctx context.Context, s call.State, a call.Answer) {
	write := &pendingWrite{key: c.key, attempt: c.record.Attempt, version: c.version, since: c.registry.Clock.Now()}
	if s != call.NotSent {
		c.record.State = StateUnknown
		if s == call.Answered {
			c.record.State, c.record.Answer = StateAnswered, &a
		}
		text, err := encode(c.record)
		if err != nil {
			return
		}
		write.value = text
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordAnswerTimeout)
	defer cancel()
	if done, _ := c.registry.apply(limited, write); !done {
		c.registry.pending.add(write)
	}
}
