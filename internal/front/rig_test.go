package front_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/platform"
)

// rig is a Front with backend servers behind it.
type rig struct {
	*front.Front

	server  *httptest.Server
	engines []*plat.Server
	copies  *plat.CopyRegistry
	guard   *crash.Table
	notices *notice.Table
	// later is added to the guard's time.
	later       atomic.Int64
	denyRetries bool
	// storeDown makes IsUnreachable report true.
	storeDown atomic.Bool
}

// IsUnreachable makes the rig a front.Store.
func (r *rig) IsUnreachable() bool { return r.storeDown.Load() }

// Arrived and Allow make the rig a front.Budget.
func (r *rig) Arrived(string) {}

func (r *rig) Allow(string, bool) bool { return !r.denyRetries }

type meter struct{}

func (meter) RequestEnded(string, string, int, time.Duration) {}
func (meter) FirstEvent(time.Duration)                        {}
func (meter) Resumed(string)                                  {}

// table returns the rig's routing table.
func table() *policy.Table {
	t := &policy.Table{
		Version: 1,
		Services: map[string]*policy.Service{
			"mill": {Name: "mill"},
			"model": {Name: "model", Engine: &policy.Engine{
				Slots: 8, MemoryTokens: 30000, SupportsMigration: true, SupportsStandby: true, EventTokens: 4, CopyTTL: 5 * time.Second,
			}},
		},
		Keys: map[string]*policy.Workspace{
			"k1": {Name: "w1"},
			"k2": {Name: "w2", Regions: []string{"west"}},
		},
		Limits: policy.Limits{BodyBytes: 1 << 10},
	}
	to := func(service string) []policy.WeightedService {
		return []policy.WeightedService{{Service: service, Weight: 1}}
	}
	t.SetRoutes([]*policy.Route{
		{Name: "book", Host: "h.example", Prefix: "/book/", Services: to("mill"), Timeout: 600 * time.Millisecond, MaxAttempts: 2},
		{Name: "read", Host: "h.example", Prefix: "/read/", Kind: policy.Idempotent, Services: to("mill"), Timeout: 600 * time.Millisecond, MaxAttempts: 2},
		{Name: "open", Host: "h.example", Prefix: "/open/", Kind: policy.Idempotent, Services: to("mill"), MaxAttempts: 2, Public: true},
		{Name: "once", Host: "h.example", Prefix: "/once/", Services: to("mill"), MaxAttempts: 2},
		{Name: "west", Host: "h.example", Prefix: "/west/", Kind: policy.Idempotent, Services: to("mill"), MaxAttempts: 2, Regions: []string{"west"}},
		{Name: "report", Host: "h.example", Prefix: "/report/", Kind: policy.Streaming, Services: to("model"), Timeout: 3 * time.Second, MaxAttempts: 2},
		{Name: "brief", Host: "h.example", Prefix: "/brief/", Kind: policy.Streaming, Services: to("model"), Timeout: 3 * time.Second, LatencyTarget: time.Second, EventGapTarget: 100 * time.Millisecond, MaxAttempts: 2},
		{Name: "note", Host: "h.example", Prefix: "/note/", Kind: policy.Streaming, Services: to("model"), Timeout: 3 * time.Second, MaxAttempts: 2, Resumable: true},
	})
	return t
}

// newRig starts a Front and a number of backend servers that alternate between both services.
func newRig(t *testing.T, engines int) *rig {
	t.Helper()
	r := &rig{copies: &plat.CopyRegistry{}, guard: &crash.Table{Host: "h0", Log: slog.New(slog.NewTextHandler(io.Discard, nil))}}
	r.notices = &notice.Table{Log: slog.New(slog.DiscardHandler)}
	r.guard.Now = func() time.Duration { return time.Hour + ticks.Now() + time.Duration(r.later.Load()) }
	holder := &policy.Holder{}
	holder.PutIfNewer(table())
	holder.Confirm(ticks.Now())
	r.Front = &front.Front{
		RoutingState: front.RoutingState{Tables: holder, Pool: &pool.Pool{Domain: "d1", Region: "east", Jitter: func() float64 { return 0 }}},
		HeaderCodec:  platform.HeaderCodec{}, Copies: platform.Engines{}, Store: r, Budget: r, Queue: &queue.Queue{Now: time.Now}, Guard: r.guard, Notices: r.notices, Meter: meter{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for i := range engines {
		e := &plat.Server{ID: string(rune('a' + i)), Events: 20, Pause: 10 * time.Millisecond, Copies: r.copies}
		e.Start()
		t.Cleanup(e.Crash)
		r.engines = append(r.engines, e)
		r.put(i, false)
	}
	r.server = httptest.NewServer(r.Front)
	t.Cleanup(func() {
		r.server.Close()
		r.Wait(context.Background())
	})
	return r
}

// put registers a backend server for the service that its index selects.
func (r *rig) put(i int, draining bool) { r.putAt(i, r.engines[i].Address(), draining) }

// putAt registers a backend server at the address of a path to it.
func (r *rig) putAt(i int, address netip.AddrPort, draining bool) {
	e := r.engines[i]
	for _, service := range []string{"mill", "model"} {
		s := pool.Server{ID: e.ID, Service: service, Address: address, Domain: "d1", Region: "east", Slots: 8, Draining: draining}
		if service == "mill" && len(r.engines) > 1 && i%2 == 0 || service == "model" && i%2 == 1 {
			continue
		}
		r.Pool.Put(s, time.Now())
	}
}

// callerRequest is one request of a caller.
type callerRequest struct {
	method, path, key, body string
	headers                 map[string]string
}

const attempt = "a1b2"

// reply is an answer with its body; err is the error that ended the body early.
type reply struct {
	status int
	header http.Header
	text   string
	err    error
}

func (r *rig) do(t *testing.T, a callerRequest) reply {
	t.Helper()
	resp, err := r.try(t.Context(), a)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

func (r *rig) try(ctx context.Context, a callerRequest) (*http.Response, error) {
	if a.method == "" {
		a.method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, a.method, r.server.URL+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", "2000")
	if a.key != "" {
		req.Header.Set("Key", a.key)
	}
	for name, value := range a.headers {
		req.Header.Set(name, value)
	}
	return http.DefaultTransport.RoundTrip(req)
}

// fullStream returns the complete stream of the rig's engines.
func fullStream(events int) string {
	var b strings.Builder
	for n := range events {
		b.WriteString(plat.Event(attempt, n))
	}
	return b.String()
}

// eventually polls a condition for up to 5 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// received returns all requests that the engines received, without copy and other control calls.
func (r *rig) received() []plat.Request {
	var all []plat.Request
	for _, e := range r.engines {
		for _, q := range e.Requests() {
			if !strings.HasPrefix(q.URL.Path, "/tarragonspur/") {
				all = append(all, q)
			}
		}
	}
	return all
}
