package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// stalledCaller is a caller that reads no byte of an answer's body until it leaves.
type stalledCaller struct {
	header http.Header
	gone   <-chan struct{}
	status int
}

func (c *stalledCaller) Header() http.Header { return c.header }
func (c *stalledCaller) WriteHeader(s int)   { c.status = s }
func (c *stalledCaller) Write([]byte) (int, error) {
	<-c.gone
	return 0, io.ErrClosedPipe
}

// newCrowdRig returns a rig whose backend servers take any number of requests and answer with a text, after which they wait for the
// end of the connection.
func newCrowdRig(t *testing.T, answer string) *rig {
	t.Helper()
	text := []byte(answer)
	r := newRig(t, 2)
	next := table()
	next.Version = 2
	next.Services["model"].Engine.Slots, next.Services["model"].Engine.MemoryTokens = 1<<10, 1<<30
	for _, path := range []string{"/book/", "/report/"} {
		next.Match("h.example", path).Timeout = time.Minute
	}
	r.Tables.PutIfNewer(next)
	for i, service := range []string{"model", "mill"} {
		e := r.engines[i]
		r.Pool.Put(pool.Server{ID: e.ID, Service: service, Address: e.Address(), Domain: "d1", Region: "east", Slots: 1 << 10}, time.Now())
		e.Script = func(conn net.Conn, _ *plat.Request) bool {
			_, _ = conn.Write(text)
			_, _ = conn.Read(make([]byte, 1))
			return true
		}
	}
	return r
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyAnswersDoNotExceedTheHostsMemory guards against answers of which each is within its limit and which together take more memory
// than the host has.
func TestManyAnswersDoNotExceedTheHostsMemory(t *testing.T) {
	const (
		// requests is a number that the smallest hosts, of 112 MB, have in progress.
		requests, memory = 200, 16 << 20
		// eachBytes allows for the goroutines and buffers of a request, and for its caller and backend server in the same process.
		eachBytes = 64 << 10
		ok        = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\n"
	)
	events := strings.Repeat("id: 0\ndata: "+strings.Repeat("x", 200<<10)+"\n\n", 10)
	var headers strings.Builder
	for n := 0; headers.Len() < 60<<10; n++ {
		fmt.Fprintf(&headers, "%x:\n", n)
	}
	for _, tc := range []struct{ name, path, answer string }{
		{"plain, head without end", "/book/x", ok + headers.String()},
		{"plain, header without end", "/book/x", ok + "A: " + strings.Repeat("x", 60<<10)},
		{"stream, long head", "/report/x", ok + headers.String() + "\r\n"},
		{"plain, body without end", "/book/x", ok + "Connection: close\r\n\r\n" + strings.Repeat("x", 60<<10)},
		{"plain, bodies for callers that read none", "/book/x", ok + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20)},
		{"stream, bodies of failures for callers that read none", "/report/x", strings.Replace(ok, "200 OK", "500 Bad", 1) + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20)},
		{"stream, event without end", "/report/x", ok + "\r\nid: 0\ndata: " + strings.Repeat("x", 900<<10)},
		{"stream, large events for callers that read none", "/report/x", ok + "\r\n" + events},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newCrowdRig(t, tc.answer)
			r.MaxAnswersBytes = memory
			before := heapInUse()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var callers sync.WaitGroup
			var notRun atomic.Int64
			for n := range requests {
				callers.Go(func() {
					defer func() {
						if cut := recover(); cut != nil {
							err, _ := cut.(error)
							assert.Check(t, errors.Is(err, http.ErrAbortHandler), "%v", cut)
						}
					}()
					req := httptest.NewRequestWithContext(ctx, http.MethodPost, tc.path, nil)
					req.Host = "h.example"
					for name, value := range map[string]string{
						"Attempt-Id": attempt, "Key": "k1", "Deadline-Ms": "60000", "Token-Usage": "80,16", "Prefix-Hash": fmt.Sprint(n),
					} {
						req.Header.Set(name, value)
					}
					caller := &stalledCaller{header: make(http.Header), gone: ctx.Done()}
					r.ServeHTTP(caller, req)
					switch caller.status {
					case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
						notRun.Add(1)
					}
				})
			}
			// Settled means that all requests have been sent and that garbage of the answers that were ended is gone.
			held, received, isSettled := int64(0), 0, false
			for end := time.Now().Add(15 * time.Second); !isSettled && time.Now().Before(end); {
				time.Sleep(100 * time.Millisecond)
				sent := len(r.received())
				held = heapInUse() - before
				isSettled = sent > requests/2 && sent == received && held < memory+requests*eachBytes
				received = sent
			}
			leave()
			callers.Wait()
			t.Logf("%d MiB held, %d requests sent, %d said not to have run", held>>20, received, notRun.Load())
			assert.Assert(t, int(notRun.Load()) <= requests-received, "callers of requests that were sent are told that they did not run")
			assert.Assert(t, isSettled, "%d MiB held after %d requests", held>>20, received)
		})
	}
}

// TestLargeAnswersWaitForMemory checks that sound answers beyond the memory for them are passed on one after the other.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	for _, tc := range []struct {
		name             string
		callers, size    int
		memory           int64
		isWithoutALength bool
	}{
		{"many", 40, 256<<10 - 1, 1 << 20, false},
		{"many beyond the length that is reserved", 8, 3 << 20, 24 << 20, false},
		{"many without a length", 40, 200 << 10, 16 << 20, true},
		{"the largest", 1, 8<<20 - 1, 16 << 20, true},
		{"the largest, on a small host", 1, 8<<20 - 1, 8 << 20, false},
		{"a chunk's size", 4, 4 << 10, 1 << 20, false},
		{"empty", 4, 0, 1 << 20, false},
		{"empty without a length", 4, 0, 1 << 20, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Repeat("0123456789abcdef", tc.size/16+1)[:tc.size]
			framing := fmt.Sprintf("Content-Length: %d\r\n", tc.size)
			if tc.isWithoutALength {
				framing = "Connection: close\r\n"
			}
			r := newCrowdRig(t, "")
			r.MaxAnswersBytes = tc.memory
			r.engines[1].Script = func(conn net.Conn, _ *plat.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: s1\r\n"+framing+"\r\n"+text)
				return true
			}
			var callers sync.WaitGroup
			for range tc.callers {
				callers.Go(func() {
					resp, err := r.try(t.Context(), callerRequest{method: http.MethodPost, path: "/book/x", key: "k1", headers: map[string]string{"Deadline-Ms": "60000"}})
					if !assert.Check(t, err) {
						return
					}
					defer func() { _ = resp.Body.Close() }()
					got, err := io.ReadAll(resp.Body)
					assert.Check(t, err)
					assert.Check(t, resp.StatusCode == http.StatusOK && string(got) == text, "status %d, %d bytes", resp.StatusCode, len(got))
				})
			}
			callers.Wait()
		})
	}
}

// TestLargeEventsAreForwardedWhole checks streams whose events are around the sizes at which they are read in another way, one after
// the other, so that each finds the memory of the ones before.
func TestLargeEventsAreForwardedWhole(t *testing.T) {
	var events strings.Builder
	for n, size := range []int{1, 4 << 10, 900 << 10, 2, 5 << 10, 900 << 10, 900 << 10, 16 << 10, 3} {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
	}
	r := newRig(t, 2)
	r.MaxAnswersBytes = 2 << 20
	r.engines[0].Script = func(conn net.Conn, _ *plat.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+attempt+"\r\nResponse-Signature: s1\r\n\r\n"+events.String())
		return true
	}
	for range 20 {
		got := r.do(t, callerRequest{method: http.MethodPost, path: "/report/x", key: "k1", headers: map[string]string{"Token-Usage": "80,16"}})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.text == events.String())
	}
}
