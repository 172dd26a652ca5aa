package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// callStalled sends a request for a caller that reads no byte of the answer's body until ctx ends.
func (r *rig) callStalled(ctx context.Context, path string) {
	// A request that has no whole answer ends with a panic that closes its connection.
	defer func() { _ = recover() }()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, nil)
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": attempt, "Key": "k1", "Deadline-Ms": "60000", "Token-Usage": "80,16"} {
		req.Header.Set(name, value)
	}
	r.ServeHTTP(&stalledCaller{header: make(http.Header), gone: ctx.Done()}, req)
}

// hasFailed reports whether a backend server of a service has failed as far as the host knows: a sound one is preferred to the spare
// one of another region.
func (r *rig) hasFailed(t *testing.T, service, server string) bool {
	t.Helper()
	tables, _ := r.Tables.View()
	lease, err := r.Pool.Choose(pool.Requirements{Service: tables.Services[service]}, time.Now())
	assert.NilError(t, err)
	lease.Release()
	return lease.Server.ID != server
}

// TestAnswersWithoutMemoryAreNoFailuresOfTheirServer guards against a host that distrusts sound servers whose answers find no memory,
// because the answers of another server hold it.
func TestAnswersWithoutMemoryAreNoFailuresOfTheirServer(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\n"
		tight = 1 << 20
		ample = 64 << 20
	)
	held := "HTTP/1.1 404 Not Found\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("x", tight)
	longHead := ok + strings.Repeat("A: "+strings.Repeat("x", 1<<10)+"\r\n", 40) + "Content-Length: 0\r\n\r\n"
	event := func(size int) string {
		return ok + "\r\nid: 0\ndata: " + strings.Repeat("x", size) + "\n\n"
	}
	plain := func(size int) string {
		return ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	}
	for _, tc := range []struct {
		name, path, answer string
		memory             int64
		hasFailed          bool
	}{
		{"plain, body", "/book/x", plain(200 << 10), tight, false},
		{"plain, head", "/book/x", longHead, tight, false},
		{"stream, event", "/report/x", event(200 << 10), tight, false},
		{"stream, head", "/report/x", longHead, tight, false},
		{"stream, body of a failure", "/report/x", strings.Replace(plain(200<<10), "200 OK", "404 Not Found", 1), tight, false},
		{"stream, body of a failure of the server", "/report/x", strings.Replace(plain(200<<10), "200 OK", "500 Bad", 1), tight, true},
		{"plain, body beyond its bound", "/book/x", plain(9 << 20), ample, true},
		{"plain, head beyond its bound", "/book/x", ok + "A: " + strings.Repeat("x", 70<<10), ample, true},
		{"stream, event beyond its bound", "/report/x", event(2 << 20), ample, true},
		{"stream, head beyond its bound", "/report/x", ok + "A: " + strings.Repeat("x", 70<<10), ample, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCrowdRig(t, held)
			r.MaxAnswersBytes = tc.memory
			service, holder, server := "mill", "/report/x", r.engines[1]
			if tc.path == holder {
				service, holder, server = "model", "/book/x", r.engines[0]
			}
			r.Pool.Put(pool.Server{ID: "spare", Service: service, Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "d2", Region: "west", Slots: 8}, time.Now())
			server.Script = func(conn net.Conn, _ *plat.Request) bool {
				_, _ = io.WriteString(conn, tc.answer)
				return true
			}
			ctx, leave := context.WithCancel(t.Context())
			var holding sync.WaitGroup
			defer holding.Wait()
			defer leave()
			holding.Go(func() { r.callStalled(ctx, holder) })
			// The holder's answer has been read once its caller has the head.
			eventually(t, "the memory is held", func() bool { return len(r.received()) == 1 })
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !r.hasFailed(t, service, server.ID))
			got := r.do(t, callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{"Token-Usage": "80,16"}})
			assert.Equal(t, got.status, http.StatusBadGateway, "it may have run")
			assert.Equal(t, r.hasFailed(t, service, server.ID), tc.hasFailed)
		})
	}
}

// TestServerOfAnswersWithoutEndHasFailed checks that a server is distrusted whose answers without end together take all memory.
func TestServerOfAnswersWithoutEndHasFailed(t *testing.T) {
	const requests = 40
	for _, tc := range []struct{ name, path, service, head string }{
		{"plain", "/book/x", "mill", "Connection: close\r\n\r\n"},
		{"stream", "/report/x", "model", "\r\nid: 0\ndata: "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCrowdRig(t, "")
			r.MaxAnswersBytes = 16 << 20
			filler := strings.Repeat("x", 64<<10)
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, _ *plat.Request) bool {
					_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: s1\r\n"+tc.head)
					for err == nil {
						_, err = io.WriteString(conn, filler)
					}
					return true
				}
			}
			var callers sync.WaitGroup
			for range requests {
				callers.Go(func() {
					resp, err := r.try(t.Context(), callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{"Token-Usage": "80,16", "Deadline-Ms": "60000"}})
					if assert.Check(t, err) {
						_ = resp.Body.Close()
					}
				})
			}
			callers.Wait()
			server := r.engines[0]
			if tc.service == "mill" {
				server = r.engines[1]
			}
			r.Pool.Put(pool.Server{ID: "spare", Service: tc.service, Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "d2", Region: "west", Slots: 8}, time.Now())
			assert.Assert(t, r.hasFailed(t, tc.service, server.ID))
		})
	}
}
