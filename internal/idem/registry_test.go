package idem_test

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/idem"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// memory is an object API in memory with injected failures.
type memory struct {
	objapi.Memory
	down bool
	// loseAnswers is the number of writes that take effect but return an error, dropWrites the number that have no
	// effect and return an error.
	loseAnswers int
	dropWrites  int
}

func (m *memory) Get(_ context.Context, key string) (object.Object, error) {
	if m.down {
		return object.Object{}, object.ErrUnavailable
	}
	return m.Memory.Get(key)
}

func (m *memory) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	if m.down {
		return object.Object{}, object.ErrUnavailable
	}
	if m.dropWrites > 0 {
		m.dropWrites--
		return object.Object{}, object.ErrUnknown
	}
	o, err := m.Memory.Put(key, value, expect)
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return object.Object{}, object.ErrUnknown
	}
	return o, err
}

func (m *memory) Delete(_ context.Context, key string, expect object.Version) error {
	if m.down {
		return object.ErrUnavailable
	}
	return m.Memory.Delete(key, expect)
}

func (m *memory) List(_ context.Context, prefix string) (object.Listing, error) {
	return m.Memory.List(prefix), nil
}

func newRegistry(m *memory, host string) *idem.Registry {
	return &idem.Registry{
		Store: m, Self: idem.Holder{Host: host, Incarnation: 1}, CallLimit: 10 * time.Second, Clock: call.SystemClock{},
		IsGone: func(h idem.Holder) bool { return h.Host == "dead" },
	}
}

func booking(body string) call.Call {
	return call.Call{
		Place:  sched.Request{Workspace: "club", Service: "app"},
		Method: "POST", Path: "/bookings", Body: []byte(body), Key: "k", Deadline: time.Now().Add(3 * time.Second),
	}
}

func code(err error) refuse.Code { return refuse.From(err).Code }

func TestOneClaimOverHosts(t *testing.T) {
	tests := []struct {
		name string
		prep func(*memory)
	}{
		{"no failure", func(*memory) {}},
		{"lost answer", func(m *memory) { m.loseAnswers = 1 }},
		{"dropped write", func(m *memory) { m.dropWrites = 2 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memory{}
				tt.prep(m)
				c := booking("kiln 2")
				claim, err := newRegistry(m, "a").Claim(t.Context(), c)
				assert.NilError(t, err)
				_, err = newRegistry(m, "b").Claim(t.Context(), c)
				assert.Assert(t, errors.Is(err, call.ErrClaimed))
				claim.Complete(t.Context(), call.Answered, call.Answer{Status: 201, Body: []byte("done")})
				a, found, err := newRegistry(m, "b").Lookup(t.Context(), c)
				assert.NilError(t, err)
				assert.Assert(t, found)
				assert.Equal(t, string(a.Body), "done")
			})
		})
	}
}

func TestLookup(t *testing.T) {
	tests := []struct {
		name     string
		holder   string
		complete func(context.Context, call.Claim)
		body     string
		code     refuse.Code
		run      refuse.Run
	}{
		{"another body", "a", nil, "kiln 3", refuse.CodeKeyReused, refuse.NotRun},
		{"still running", "a", nil, "kiln 2", refuse.CodeInProgress, refuse.MayHaveRun},
		{"holder is dead", "dead", nil, "kiln 2", refuse.CodeInterrupted, refuse.MayHaveRun},
		{"answer lost", "a", func(ctx context.Context, c call.Claim) { c.Complete(ctx, call.MaybeSent, call.Answer{}) }, "kiln 2", refuse.CodeInterrupted, refuse.MayHaveRun},
		{"answer too large", "a", func(ctx context.Context, c call.Claim) {
			c.Complete(ctx, call.Answered, call.Answer{Body: []byte(strings.Repeat("x", 1<<17))})
		}, "kiln 2", refuse.CodeAnswerTooLarge, refuse.MayHaveRun},
		{"answer with a status that HTTP does not have", "a", func(ctx context.Context, c call.Claim) {
			c.Complete(ctx, call.Answered, call.Answer{Status: 0, Body: []byte("done")})
		}, "kiln 2", refuse.CodeInterrupted, refuse.MayHaveRun},
		{"not run", "a", func(ctx context.Context, c call.Claim) { c.Complete(ctx, call.NotSent, call.Answer{}) }, "kiln 2", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memory{}
				claim, err := newRegistry(m, tt.holder).Claim(t.Context(), booking("kiln 2"))
				assert.NilError(t, err)
				if tt.complete != nil {
					tt.complete(t.Context(), claim)
				}
				_, found, err := newRegistry(m, "b").Lookup(t.Context(), booking(tt.body))
				assert.Assert(t, !found)
				if tt.code == "" {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, code(err), tt.code)
				assert.Equal(t, refuse.From(err).Run, tt.run)
			})
		})
	}
}

func TestLookupWaitsForRunningCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		c := booking("kiln 2")
		claim, err := newRegistry(m, "a").Claim(t.Context(), c)
		assert.NilError(t, err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(time.Second)
			claim.Complete(t.Context(), call.Answered, call.Answer{Status: 201})
		}()
		a, found, err := newRegistry(m, "b").Lookup(t.Context(), c)
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, a.Status, 201)
		<-done
	})
}

func TestStoreDown(t *testing.T) {
	tests := []struct {
		name  string
		first bool
		run   refuse.Run
	}{
		{"may have been sent before", false, refuse.MayHaveRun},
		{"first sending", true, refuse.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := booking("kiln 2")
				c.FirstSending = tt.first
				k := newRegistry(&memory{down: true}, "a")
				_, _, lookupErr := k.Lookup(t.Context(), c)
				_, claimErr := k.Claim(t.Context(), c)
				for _, err := range []error{lookupErr, claimErr} {
					assert.Equal(t, code(err), refuse.CodeStoreUnavailable)
					assert.Equal(t, refuse.From(err).Run, tt.run)
				}
			})
		})
	}
}

func TestAnswersAreRecordedWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		k := newRegistry(m, "a")
		claim, err := k.Claim(t.Context(), booking("kiln 2"))
		assert.NilError(t, err)
		m.down = true
		claim.Complete(t.Context(), call.Answered, call.Answer{Status: 201})
		k.Flush(t.Context())
		m.down = false
		k.Flush(t.Context())
		_, found, err := newRegistry(m, "b").Lookup(t.Context(), booking("kiln 2"))
		assert.NilError(t, err)
		assert.Assert(t, found)
	})
}

func TestKeysAreSeparateForEachWorkspace(t *testing.T) {
	m := &memory{}
	_, err := newRegistry(m, "a").Claim(t.Context(), booking("kiln 2"))
	assert.NilError(t, err)
	other := booking("kiln 2")
	other.Place.Workspace = "mill"
	_, found, err := newRegistry(m, "a").Lookup(t.Context(), other)
	assert.NilError(t, err)
	assert.Assert(t, !found)
}

func TestSweepDeletesOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		k := newRegistry(m, "a")
		b := &board.Board{}
		_, err := b.Config.Apply(object.Object{Key: object.KeyTable, Version: 1, Value: []byte(`{
			"services": [{"name": "app", "kind": "plain"}], "workspaces": [{"name": "club", "key_hashes": []}]}`)})
		assert.NilError(t, err)
		assert.Equal(t, b.Config.View().Services["app"].Kind, config.ServicePlain)
		_, err = k.Claim(t.Context(), booking("old"))
		assert.NilError(t, err)
		time.Sleep(idem.Retention - time.Hour)
		young := booking("young")
		young.Key = "k2"
		_, err = k.Claim(t.Context(), young)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour)
		defer cancel()
		s := &idem.Sweeper{Registry: k, Lister: m, Board: b, Log: slog.New(slog.DiscardHandler)}
		assert.NilError(t, s.Run(ctx))
		left := m.Memory.List(object.PrefixCall).Objects
		assert.Equal(t, len(left), 1)
		_, found, err := k.Lookup(t.Context(), booking("old"))
		assert.NilError(t, err)
		assert.Assert(t, !found)
	})
}

// FuzzRecord checks that no stored record lets a second request with the key run.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"attempt":"a","request":"r","state":"intent","holder":{"host":"dead"}}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		m := &memory{}
		c := booking("kiln 2")
		_, err := newRegistry(m, "a").Claim(t.Context(), c)
		assert.NilError(t, err)
		key := m.Memory.List(object.PrefixCall).Objects[0].Key
		_, err = m.Memory.Put(key, value, 1)
		assert.NilError(t, err)
		c.Deadline = time.Now()
		_, found, err := newRegistry(m, "b").Lookup(t.Context(), c)
		assert.Assert(t, found || err != nil)
		_, err = newRegistry(m, "b").Claim(t.Context(), c)
		assert.Assert(t, errors.Is(err, call.ErrClaimed))
	})
}

// BenchmarkBooking measures the host's work on one call's record: lookup, claim and completion.
func BenchmarkBooking(b *testing.B) {
	m := &memory{}
	k := newRegistry(m, "a")
	c := booking("kiln 2, Tuesday 06:00")
	c.Deadline = time.Now().Add(time.Hour)
	n := 0
	for b.Loop() {
		n++
		c.Key = strconv.Itoa(n)
		_, _, err := k.Lookup(b.Context(), c)
		assert.NilError(b, err)
		claim, err := k.Claim(b.Context(), c)
		assert.NilError(b, err)
		claim.Complete(b.Context(), call.Answered, call.Answer{Status: 201, Body: make([]byte, 256)})
	}
}
