package commit_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// response is one response of the store, to a get or to a put.
type response struct {
	get      bool
	storedID string
	err      error
}

func TestOutcomeOfAnAttempt(t *testing.T) {
	put := func(err error) response { return response{err: err} }
	get := func(storedID string, err error) response { return response{get: true, storedID: storedID, err: err} }
	tests := []struct {
		name      string
		responses []response
		want      commit.Outcome
	}{
		{"accepted", []response{put(nil)}, commit.OutcomeAccepted},
		{"refused", []response{put(object.ErrUnavailable)}, commit.OutcomeNotAccepted},
		{"another change came first", []response{put(object.ErrConflict), get("theirs", nil)}, commit.OutcomeConflict},
		{"response lost, change written", []response{put(object.ErrUnknown), get("mine", nil)}, commit.OutcomeAccepted},
		{"response and change lost, written again", []response{put(object.ErrUnknown), get("", object.ErrNotFound), put(nil)}, commit.OutcomeAccepted},
		{
			"response lost, change written late", []response{
				put(object.ErrUnknown),
				get("", object.ErrNotFound),
				put(object.ErrConflict),
				get("mine", nil),
			}, commit.OutcomeAccepted,
		},
		{"response lost, another change came first", []response{put(object.ErrUnknown), get("theirs", nil)}, commit.OutcomeConflict},
		{"response lost, reading back fails", []response{put(object.ErrUnknown), get("", object.ErrUnavailable)}, commit.OutcomeUnknown},
		{
			"response lost, absent, then refused", []response{
				put(object.ErrUnknown),
				get("", object.ErrNotFound),
				put(object.ErrUnavailable),
				get("", object.ErrUnavailable),
			}, commit.OutcomeUnknown,
		},
		{"stale read after a conflict", []response{put(object.ErrConflict), get("", object.ErrNotFound), put(object.ErrConflict), get("theirs", nil)}, commit.OutcomeConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entry, err := change.Encode(change.Change{Version: 7, ID: "mine", Previous: "before"})
			assert.NilError(t, err)
			a := &commit.Attempt{Entry: entry}
			for _, r := range tt.responses {
				if !r.get {
					assert.Equal(t, a.Next(), commit.StepPut)
					a.Put(r.err)
					continue
				}
				assert.Equal(t, a.Next(), commit.StepGet)
				stored, err := change.Encode(change.Change{Version: 7, ID: r.storedID, Previous: "before"})
				assert.NilError(t, err)
				a.Get(object.Object{Value: stored.Raw}, r.err)
			}
			assert.Equal(t, a.Outcome(), tt.want)
			undecided := tt.want == commit.OutcomeUnknown
			assert.Equal(t, a.Next() != commit.StepDone, undecided)
		})
	}
	assert.Assert(t, errors.Is(&commit.UnknownError{}, commit.ErrUnknownOutcome))
}
