package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// permit is a sched.Ticket for a backend server; failed counts those that ended as failures of it.
type permit struct {
	backend config.Backend
	failed  *atomic.Int64
}

func (p permit) Backend() config.Backend { return p.backend }
func (permit) Priority() int             { return 0 }
func (permit) Progress(int)              {}

func (p permit) Release(o sched.Outcome) {
	if o.Result == sched.ResultFailed {
		p.failed.Add(1)
	}
}

// placer places all requests on one backend server.
type placer struct {
	backend config.Backend
	failed  atomic.Int64
}

func (p *placer) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	if len(r.Exclude) > 0 {
		return nil, refuse.New(refuse.CodeNoBackend, "none left")
	}
	return permit{p.backend, &p.failed}, nil
}

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

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// listenWith starts a backend server that answers the path /small with a short answer and all others with a text, followed by filler
// until the caller closes; received counts the others.
func listenWith(t *testing.T, text, filler string) (addr netip.AddrPort, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	head, more := []byte(text), []byte(filler)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answer := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if strings.HasSuffix(r.URL.Path, "/small") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsmall")
			return
		}
		received.Add(1)
		_, err = conn.Write(head)
		for err == nil && filler != "" {
			_, err = conn.Write(more)
		}
		_, _ = conn.Read(make([]byte, 1))
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), received
}

// TestManyAnswersDoNotExceedTheHostsMemory guards against answers of which each is within its limit and which together take more memory
// than the host has.
func TestManyAnswersDoNotExceedTheHostsMemory(t *testing.T) {
	const (
		requests, bound = 100, 24 << 20
		// samples is the number of samples in a row in which the memory held is below the bound.
		samples = 3
		// eachBytes allows for the goroutines and buffers of a request, and for its caller and backend server in the same process.
		eachBytes = 96 << 10
		ok        = "HTTP/1.1 200 OK\r\n"
	)
	for _, tc := range []struct{ name, text, filler string }{
		{"body without end", ok + "Connection: close\r\n\r\n", strings.Repeat("x", 64<<10)},
		{"body that stops", ok + "Connection: close\r\n\r\n" + strings.Repeat("x", 900<<10), ""},
		{"long body that stops", ok + "Content-Length: 16000000\r\n\r\n" + strings.Repeat("x", 900<<10), ""},
		{"bodies for callers that read none", ok + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20), ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, received := listenWith(t, tc.text, tc.filler)
			sender := call.NewHTTPSender()
			defer sender.Close()
			placed := &placer{backend: config.Backend{Name: "b", Address: addr}}
			e := newAPI(t, &script{}, &call.Runner{Placer: placed, Sender: sender, Clock: call.SystemClock{}}, limits())
			e.Answers, e.AnswersBytes = &memory.Pool{}, bound
			handler := e.Handler()
			post := func(ctx context.Context, w http.ResponseWriter, path string) {
				req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/services/millbook/"+path, nil)
				req.Header.Set("Authorization", "Bearer "+callerKey)
				handler.ServeHTTP(w, req)
			}
			before := heapInUse()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var callers sync.WaitGroup
			var notRun atomic.Int64
			for range requests {
				callers.Go(func() {
					caller := &stalledCaller{header: make(http.Header), gone: ctx.Done()}
					post(ctx, caller, "large")
					if caller.status == http.StatusServiceUnavailable || caller.status == http.StatusTooManyRequests {
						notRun.Add(1)
					}
				})
			}
			// The least of two samples leaves out most of the garbage that is made while one is taken.
			held, peak, settled := int64(0), int64(0), 0
			for end := time.Now().Add(5 * time.Second); settled < samples && time.Now().Before(end); {
				time.Sleep(50 * time.Millisecond)
				held = min(heapInUse(), heapInUse()) - before
				peak = max(peak, held)
				if received.Load() == requests && held < bound+requests*eachBytes {
					settled++
				} else {
					settled = 0
				}
			}
			small := httptest.NewRecorder()
			began := time.Now()
			post(t.Context(), small, "small")
			took := time.Since(began)
			leave()
			callers.Wait()
			t.Logf("%d MiB held, %d at most, %d requests sent, %d said not to have run, another one took %s", held>>20, peak>>20, received.Load(), notRun.Load(), took)
			assert.Assert(t, peak < 2*bound, "%d MiB held at most", peak>>20)
			assert.Equal(t, settled, samples, "%d MiB held after %d requests", held>>20, received.Load())
			assert.Equal(t, small.Body.String(), "small", "other requests are served")
			assert.Equal(t, notRun.Load(), int64(0), "a request that was sent may have run")
			assert.Equal(t, placed.failed.Load(), int64(0), "the host's want of memory is no failure of the server")
		})
	}
}

// listenWithTokens starts an engine that sends a number of tokens of a size for each generation, and then nothing until it is cancelled.
func listenWithTokens(t *testing.T, tokens, size int) netip.AddrPort {
	t.Helper()
	text := strings.Repeat("x", size)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		var request engine.Request
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return
		}
		for n := range tokens {
			if json.NewEncoder(w).Encode(engine.Frame{Request: request.ID, Generation: "g", Offset: n, Token: text}) != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestTextsWithoutEndExceedTheHostsMemory guards against engines that send tokens beyond any limit for answers that are not streams.
func TestTextsWithoutEndExceedTheHostsMemory(t *testing.T) {
	const (
		bound = 24 << 20
		// eachBytes allows for the goroutines and buffers of a request at both of its ends.
		eachBytes = 96 << 10
		size      = 12 << 10
		samples   = 3
	)
	for _, tc := range []struct {
		name             string
		requests, tokens int
		code             refuse.Code
	}{
		{"one", 1, (64 << 20) / size, refuse.CodeAnswerTooLarge},
		{"many", 50, (4 << 20) / size, refuse.CodeInterrupted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engines := engine.NewClient()
			defer engines.Close()
			placed := &placer{backend: config.Backend{Name: "b", Address: listenWithTokens(t, tc.tokens, size)}}
			relays := &relay.Relay{Placer: placed, Engines: engines, Rules: relay.Rules{FrameTimeout: time.Minute}, Log: slog.New(slog.DiscardHandler)}
			defer relays.Close()
			e := newAPI(t, relays, calls{&script{}}, limits())
			e.Answers, e.AnswersBytes = &memory.Pool{}, bound
			if tc.requests == 1 {
				e.AnswersBytes = 4 * bound
			}
			handler := e.Handler()
			before := heapInUse()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var callers sync.WaitGroup
			var codes sync.Map
			for n := range tc.requests {
				callers.Go(func() {
					req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"assay-model","prompt":"p","max_tokens":8}`))
					req.Header.Set("Authorization", "Bearer "+callerKey)
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, req)
					var refusal errorAnswer
					if ctx.Err() == nil && assert.Check(t, json.Unmarshal(w.Body.Bytes(), &refusal)) {
						codes.Store(n, refusal.Error.Code)
						assert.Check(t, refusal.Error.Run == string(refuse.MayHaveRun), w.Body.String())
					}
				})
			}
			ended := func() (all int) {
				codes.Range(func(_, code any) bool {
					assert.Check(t, code == string(tc.code), code)
					all++
					return true
				})
				return all
			}
			held, settled := int64(0), 0
			for end := time.Now().Add(10 * time.Second); settled < samples && time.Now().Before(end); {
				time.Sleep(200 * time.Millisecond)
				held = min(heapInUse(), heapInUse()) - before
				if ended() > 0 && held < bound+int64(tc.requests)*eachBytes {
					settled++
				} else {
					settled = 0
				}
			}
			leave()
			callers.Wait()
			t.Logf("%d MiB held, %d of %d ended", held>>20, ended(), tc.requests)
			assert.Equal(t, settled, samples, "%d MiB held, %d of %d ended", held>>20, ended(), tc.requests)
			assert.Equal(t, placed.failed.Load(), int64(0))
		})
	}
}

// errorAnswer is the body of a refusal.
type errorAnswer struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// TestAnswersThatFindNoMemoryMayHaveRun checks what the caller of a refused answer learns.
func TestAnswersThatFindNoMemoryMayHaveRun(t *testing.T) {
	addr, _ := listenWith(t, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200000), "")
	sender := call.NewHTTPSender()
	defer sender.Close()
	placed := &placer{backend: config.Backend{Name: "b", Address: addr}}
	e := newAPI(t, &script{}, &call.Runner{Placer: placed, Sender: sender, Clock: call.SystemClock{}}, limits())
	e.Answers, e.AnswersBytes = &memory.Pool{}, 1<<20
	other := e.Answers.NewAccount(e.AnswersBytes)
	assert.Assert(t, other.Take(1<<20))
	answer := func() (int, string) {
		w := httptest.NewRecorder()
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/services/millbook/large", nil)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		e.Handler().ServeHTTP(w, req)
		return w.Code, w.Body.String()
	}
	status, text := answer()
	var refusal errorAnswer
	assert.NilError(t, json.Unmarshal([]byte(text), &refusal), text)
	assert.Equal(t, status, refuse.CodeInterrupted.Status(), text)
	assert.Equal(t, refusal.Error.Run, string(refuse.MayHaveRun), text)
	assert.Equal(t, placed.failed.Load(), int64(0))
	time.AfterFunc(200*time.Millisecond, other.Close)
	status, text = answer()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(text), 200000)
	assert.Assert(t, e.Answers.Take(1<<20, 1<<20), "all memory is free again")
}
