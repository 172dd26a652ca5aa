package call_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plain"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// inTurn places a call on the first address that it has not tried.
type inTurn []netip.AddrPort

func (p inTurn) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	if len(r.Exclude) == len(p) {
		return nil, refuse.New(refuse.CodeNoBackend, "none left")
	}
	addr := p[len(r.Exclude)]
	return ticket{config.Backend{Name: addr.String(), Address: addr}}, nil
}

// TestServerReceivesABookingThatAnotherOneMayRun checks with stand-ins that a booking is sent to the next server only after
// the first has not run it, whatever the first does with it later.
func TestServerReceivesABookingThatAnotherOneMayRun(t *testing.T) {
	const deadline = time.Second
	tests := []struct {
		name         string
		faults       plain.Faults
		notListening bool
		wantRuns     []string
		wantCode     refuse.Code
	}{
		{"the server answers after the deadline", plain.Faults{Delay: deadline * 3 / 2}, false, []string{"first"}, refuse.CodeTimeout},
		{"the answer is lost", plain.Faults{LoseAnswers: 1}, false, []string{"first"}, refuse.CodeInterrupted},
		{"the server works on and loses its answer", plain.Faults{Delay: deadline / 5, LoseAnswers: 1}, false, []string{"first"}, refuse.CodeInterrupted},
		{"the connection is reset", plain.Faults{Dead: true}, false, nil, refuse.CodeInterrupted},
		{"the server refuses", plain.Faults{Refuse: true}, false, []string{"second"}, ""},
		{"nothing listens", plain.Faults{}, true, []string{"second"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := &plain.RunLog{}
			var addresses inTurn
			for _, name := range []string{"first", "second"} {
				s := &plain.Server{Name: name, RunLog: log}
				if name == "first" {
					s.SetFaults(tt.faults)
				}
				server := httptest.NewServer(s.Handler())
				t.Cleanup(server.Close)
				addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
			}
			if tt.notListening {
				l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				addresses[0] = netip.MustParseAddrPort(l.Addr().String())
				assert.NilError(t, l.Close())
			}
			h := call.NewHTTPSender()
			defer h.Close()
			r := &call.Runner{Placer: addresses, Sender: h, Budget: &budget.Retry{}, Clock: call.SystemClock{}}
			c := call.Call{Method: http.MethodPost, Path: "/bookings", Body: []byte("a"), RefusesBeforeRun: true, Deadline: time.Now().Add(deadline)}
			_, err := r.Run(t.Context(), c)
			time.Sleep(tt.faults.Delay)
			var servers []string
			for _, run := range log.Runs() {
				servers = append(servers, run.Server)
			}
			assert.DeepEqual(t, servers, tt.wantRuns)
			assert.Equal(t, log.Overlaps(), 0)
			if tt.wantCode == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, refuse.From(err).Code, tt.wantCode)
			assert.Equal(t, refuse.From(err).Run, refuse.MayHaveRun)
		})
	}
}
