package call

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type anyServer struct{}

func (anyServer) Place(context.Context, sched.Request) (sched.Ticket, error) { return anyServer{}, nil }

func (anyServer) Backend() config.Backend { return config.Backend{} }
func (anyServer) Priority() int           { return 0 }
func (anyServer) Progress(int)            {}
func (anyServer) Release(sched.Outcome)   {}
func (anyServer) Arrived()                {}
func (anyServer) Allow() bool             { return true }

type losingSender struct{ sends int }

func (l *losingSender) Send(context.Context, netip.AddrPort, Call, SendOptions) SendResult {
	l.sends++
	return SendResult{Event: EventLost, Err: errors.New("reset")}
}

// TestCheckerStopsASecondSend corrupts the Machine so that it retries a call that may not be repeated.
func TestCheckerStopsASecondSend(t *testing.T) {
	s := &losingSender{}
	r := &Runner{Placer: anyServer{}, Sender: s, Budget: anyServer{}, Clock: SystemClock{}, Jitter: func() float64 { return 0 }}
	execution := r.newExecution(Call{Deadline: time.Now().Add(time.Minute)})
	execution.machine.Repeatable = true
	_, err := execution.run(t.Context())
	assert.Assert(t, errors.Is(err, ErrInvariant), "%v", err)
	assert.ErrorContains(t, err, string(InvariantSingleSend))
	assert.Equal(t, s.sends, 1)
}

func TestResultOfSend(t *testing.T) {
	tests := []struct {
		name string
		sent SendResult
		took time.Duration
		want sched.Result
	}{
		{"answered", SendResult{Event: EventAnswered}, time.Minute, sched.ResultOK},
		{"refused", SendResult{Event: EventRefused}, 0, sched.ResultRefused},
		{"reset", SendResult{Event: EventLost, Err: errors.New("reset")}, 0, sched.ResultFailed},
		{"short deadline", SendResult{Event: EventLost, Err: context.DeadlineExceeded}, time.Second, sched.ResultCancelled},
		{"silent", SendResult{Event: EventLost, Err: context.DeadlineExceeded}, answerFailureAfter, sched.ResultFailed},
		{"dial timed out", SendResult{Event: EventUnreachable, Err: context.DeadlineExceeded}, dialTimeout, sched.ResultFailed},
		{"dial refused", SendResult{Event: EventUnreachable, Err: errors.New("refused")}, 0, sched.ResultFailed},
		{"large answer", SendResult{Event: EventLost, Err: ErrAnswerTooLarge}, 0, sched.ResultOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, result(tt.sent, tt.took), tt.want) })
	}
}

func BenchmarkChecker(b *testing.B) {
	for b.Loop() {
		var l invariantChecker
		if l.check(Call{}) != nil {
			b.Fatal("violated")
		}
		l.countSend(EventAnswered)
	}
}

func BenchmarkRun(b *testing.B) {
	r := &Runner{Placer: anyServer{}, Sender: answeringSender{}, Budget: anyServer{}, Clock: SystemClock{}}
	c := Call{Method: "POST", Path: "/bookings", Deadline: time.Now().Add(time.Hour)}
	for b.Loop() {
		if _, err := r.Run(b.Context(), c); err != nil {
			b.Fatal(err)
		}
	}
}

type answeringSender struct{}

func (answeringSender) Send(context.Context, netip.AddrPort, Call, SendOptions) SendResult {
	return SendResult{Event: EventAnswered, Answer: Answer{Status: 201}}
}
