package faults

import (
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/replay"
)

// Record is the trace of one answer under the product's policy.
type Record struct {
	replay.Trace
	Arrival time.Time
	// Faults holds the names of the request's planned faults, joined by plus signs.
	Faults string
	ended  bool
}

// Records runs a seed under the product's policy and returns the traces of all answers that a host ended, with the
// outcomes that the callers saw.
func Records(seed uint64) []*Record {
	w := newWorld(PolicyOwn, seed)
	w.recording = true
	w.run()
	var ended []*Record
	for _, r := range w.records {
		if r.ended {
			ended = append(ended, r)
		}
	}
	return ended
}

func (w *world) newOwnStream(a *answer) *ownStream {
	s := newOwnStream(a.host, a)
	if w.recording {
		r := &Record{Trace: replay.Trace{Request: a.id()}, Arrival: w.loop.Now(), Faults: faultNames(a.request.faults)}
		w.records = append(w.records, r)
		s.record = r
	}
	return s
}

// recordOutcome adds to the record what the caller saw of the answer.
func (s *ownStream) recordOutcome(action relay.Action) {
	if s.record == nil {
		return
	}
	s.record.ended = true
	o := &s.record.Outcome
	o.Finish = action.Finish
	o.Tokens = len(s.answer.tokens)
	if o.Tokens > 0 {
		o.Generation, _, _ = strings.Cut(s.answer.tokens[0], "/")
	}
	if action.Refusal != nil {
		o.Code, o.Run = action.Refusal.Code, action.Refusal.Run
	}
}

// faultNames returns the names of the faults, joined by plus signs.
func faultNames(list []kind) string {
	kindNames := [...]string{
		"dies_before", "dies_after", "dies_last", "silent", "late", "moved_on",
		"crossed", "restart", "refused", "leaves", "host_dies", "kills",
	}
	var text []string
	for _, k := range list {
		text = append(text, kindNames[k])
	}
	return strings.Join(text, "+")
}
