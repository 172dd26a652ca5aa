package relay

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const listTokens = 6

// listEngines streams the same frames on each connection.
type listEngines struct{}

func (e *listEngines) Start(context.Context, netip.AddrPort, engine.Request) (engine.Stream, error) {
	return &listStream{generation: "g"}, nil
}

func (e *listEngines) Resume(_ context.Context, _ netip.AddrPort, _, _ string, offset int) (engine.Stream, error) {
	return &listStream{generation: "g", offset: offset}, nil
}

func (e *listEngines) Cancel(context.Context, netip.AddrPort, string) error { return nil }

func (e *listEngines) Progress(context.Context, netip.AddrPort, string) (engine.Progress, error) {
	return engine.Progress{Generation: "g"}, nil
}

func (e *listEngines) DiscardPool(netip.AddrPort) {}

type listStream struct {
	generation string
	offset     int
	repeated   bool
}

// Next returns token 3 twice; a correct Machine drops the second one.
func (s *listStream) Next() (engine.Frame, error) {
	if s.offset > listTokens {
		return engine.Frame{}, io.EOF
	}
	f := engine.Frame{Request: "req", Generation: s.generation, Offset: s.offset}
	if s.offset == listTokens {
		f.Finish = "stop"
	}
	if s.offset == 3 && !s.repeated {
		s.repeated = true
		return f, nil
	}
	s.offset++
	return f, nil
}

func (s *listStream) Close() {}

type onePlacer struct{}

func (onePlacer) Place(context.Context, sched.Request) (sched.Ticket, error) { return oneTicket{}, nil }

type oneTicket struct{}

func (oneTicket) Backend() config.Backend { return config.Backend{Name: "b"} }
func (oneTicket) Priority() int           { return 0 }
func (oneTicket) Progress(int)            {}
func (oneTicket) Release(sched.Outcome)   {}

// corruptingSink corrupts the session's state when it receives token 3.
type corruptingSink struct {
	corrupt func()
	tokens  int
}

func (s *corruptingSink) Token(string) error {
	s.tokens++
	if s.tokens == 4 && s.corrupt != nil {
		s.corrupt()
	}
	return nil
}

func TestInvariantStopsAStreamWithASeededFault(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(*session)
		want    Invariant
	}{
		{"sound", nil, ""},
		{"counter decremented", func(s *session) { s.machine.delivered-- }, InvariantOffset},
		{"counter incremented", func(s *session) { s.machine.delivered++ }, InvariantOffset},
		{"generation changed", func(s *session) { s.checker.generation = "h" }, InvariantGeneration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sink := &corruptingSink{}
				r := &Relay{Placer: onePlacer{}, Engines: &listEngines{}, Log: slog.New(slog.DiscardHandler)}
				s := newSession(r, sched.Request{}, engine.Request{ID: "req"}, sink)
				if tt.corrupt != nil {
					sink.corrupt = func() { tt.corrupt(s) }
				}
				_, err := s.run(t.Context())
				r.Close()
				if tt.want == "" {
					assert.NilError(t, err)
					assert.Equal(t, sink.tokens, listTokens)
					return
				}
				refusal := refuse.From(err)
				assert.Equal(t, refusal.Code, refuse.CodeInternal)
				assert.ErrorContains(t, refusal, string(tt.want))
				assert.Equal(t, sink.tokens, 4, "a token was delivered despite the violation")
			})
		})
	}
}

func TestCheckerNamesViolatedInvariant(t *testing.T) {
	var l invariantChecker
	assert.NilError(t, l.check(&engine.Frame{Generation: "g"}))
	assert.Assert(t, errors.Is(l.check(&engine.Frame{Generation: "g", Offset: 2}), ErrInvariant))
	assert.ErrorContains(t, l.check(&engine.Frame{Generation: "h", Offset: 1}), string(InvariantGeneration))
}

// BenchmarkToken measures the Machine's step for one token, with and without the invariant checks.
func BenchmarkToken(b *testing.B) {
	tests := []struct {
		name   string
		ledger bool
	}{{"machine", false}, {"machine and checker", true}}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			var l invariantChecker
			m := Machine{ID: "req"}
			now := time.Unix(0, 0)
			m.Begin()
			m.Step(&Event{Kind: EventPlaced, At: now})
			e := Event{Kind: EventFrame, At: now, Conn: 1, Frame: engine.Frame{Request: "req", Generation: "g"}}
			b.ReportAllocs()
			for b.Loop() {
				if m.Step(&e).Kind != ActionDeliver {
					b.Fatal("token not delivered")
				}
				if tt.ledger && l.check(&e.Frame) != nil {
					b.Fatal("invariant violated")
				}
				e.Frame.Offset++
			}
		})
	}
}
