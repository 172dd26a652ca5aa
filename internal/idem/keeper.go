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
	// storeTries bounds the tries of one read or one claim.
	storeTries = 3
	storePause = 50 * time.Millisecond
	// pollFirst and pollMax bound the pause between two looks at a running call's record.
	pollFirst = 50 * time.Millisecond
	pollMax   = time.Second
	// holderSlack is added to the time after which a holder can't have its call running any more.
	holderSlack = 10 * time.Second
	retryAfter  = time.Second
)

// Store is the part of the object API that records need.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error)
	Delete(ctx context.Context, key string, expect object.Version) error
}

// Registry keeps the records of one host's calls.
type Registry struct {
	Store Store
	Self  Holder
	// IsGone reports whether a holder is known to have ended; nil knows of none.
	IsGone func(Holder) bool
	// CallLimit is the longest time that a call takes on any host.
	CallLimit time.Duration
	Clock     call.Clock
	// NewAttempt returns an identity that no other sending has; nil stands for a random one.
	NewAttempt func() string

	late late
}

// Lookup returns the answer of an earlier sending with the same key; found is false if there was none.
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
		verdict := Judge(r, request, k.holderGone(r))
		if verdict != VerdictRunning {
			return tell(verdict, r)
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

// tell turns a final verdict into what the caller gets.
func tell(v Verdict, r Record) (call.Answer, bool, error) {
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

// holderGone reports whether the record's holder can't record an answer any more.
// It shortens a wait; no verdict on it lets a call run.
func (k *Registry) holderGone(r Record) bool {
	if k.Clock.Now().Sub(r.Created) > k.CallLimit+holderSlack {
		return true
	}
	return r.Holder != k.Self && k.IsGone != nil && k.IsGone(r.Holder)
}

// storeDown refuses a call whose key can't be looked up or claimed. This sending did not run; whether an
// earlier one did is not known, unless the caller vouches that there was none.
func storeDown(c call.Call) error {
	run := refuse.MayHaveRun
	if c.FirstSending {
		run = refuse.NotRun
	}
	return &refuse.Error{
		Code: refuse.CodeStoreDown, Message: "the store of idempotency keys can't be reached; this sending did not run",
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

// Claim creates the key's record; ErrClaimed says that another sending created it first.
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
			return &claim{keeper: k, key: key, version: version, record: r}, nil
		case taken:
			return nil, errors.Wrap(call.ErrClaimed, key)
		case unclear:
		}
		if !k.Clock.Now().Add(storePause).Before(c.Deadline) || k.Clock.Sleep(ctx, storePause) != nil {
			break
		}
	}
	k.late.add(&settlement{key: key, attempt: r.Attempt, since: k.Clock.Now()})
	return nil, storeDown(c)
}

func (k *Registry) attempt() string {
	if k.NewAttempt != nil {
		return k.NewAttempt()
	}
	return rand.Text()
}

type creation int

const (
	unclear creation = iota
	created
	taken
)

// create tries to create the record once; an answer that is lost or denies it is checked by reading back.
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
	keeper  *Registry
	key     string
	version object.Version
	record  Record
}

// Complete records how the call ended; what the store does not take now is tried again later.
func (c *claim) Complete(ctx context.Context, s call.State, a call.Answer) {
	one := &settlement{key: c.key, attempt: c.record.Attempt, version: c.version, since: c.keeper.Clock.Now()}
	if s != call.NotSent {
		c.record.State = StateUnknown
		if s == call.Answered {
			c.record.State, c.record.Answer = StateAnswered, &a
		}
		text, err := encode(c.record)
		if err != nil {
			return
		}
		one.value = text
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	if done, _ := c.keeper.settle(limited, one); !done {
		c.keeper.late.add(one)
	}
}
