package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/logs"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// town is a platform with hosts on loopback.
type town struct {
	store   *plat.Store
	engines []*plat.Engine
	hosts   []*running
}

// running is one host and the way to stop it.
type running struct {
	*Site

	stop, abort context.CancelFunc
	ended       chan error
}

const version = `{"version": %d,
 "routes": [
  {"name": "read", "host": "h.example", "pathPrefix": "/read/", "routeKind": "idempotent", "timeoutMs": 2000, "service": "mill", "maxAttempts": 2},
  {"name": "report", "host": "h.example", "pathPrefix": "/report/", "routeKind": "streaming", "timeoutMs": 9000, "service": "model", "maxAttempts": 1},
  {"name": "new", "host": "h.example", "pathPrefix": "%s", "routeKind": "idempotent", "timeoutMs": 2000, "service": "mill", "maxAttempts": 2}],
 "services": [{"name": "mill"}, {"name": "model", "engine": {"slots": 8, "kvCapacityTokens": 30000, "moves": true, "backups": true, "stride": 4, "handleTtlS": 5}}],
 "tenants": [{"name": "w1", "apiKeys": [%s]}]}`

func (w *town) table(number int, prefix, keys string) {
	w.store.Put("config", "main", json.RawMessage(fmt.Sprintf(version, number, prefix, keys)))
}

func (w *town) register(e *plat.Engine, state string) {
	service := "mill"
	if e.Events > 0 {
		service = "model"
	}
	w.store.Put("servers", e.ID, map[string]any{
		"service": service, "address": e.Address().String(), "zone": "d1", "slots": 8, "state": state, "coldRemainingMs": 0,
	})
}

// newTown starts a store, three engines of each service and hosts that are ready.
func newTown(t *testing.T, hosts int) *town {
	t.Helper()
	w := &town{store: plat.NewStore()}
	t.Cleanup(w.store.Close)
	plant := &plat.Plant{}
	for i := range 6 {
		e := &plat.Engine{ID: fmt.Sprint("e", i), Pause: 10 * time.Millisecond, Plant: plant}
		if i%2 == 0 {
			e.Events = 40
		}
		e.Start()
		t.Cleanup(e.Crash)
		w.engines = append(w.engines, e)
		w.register(e, "healthy")
	}
	w.table(1, "/old/", `"k1"`)
	for i := range hosts {
		w.start(t, i)
	}
	w.eventually(t, "all hosts to be ready", func() bool {
		for i := range w.hosts {
			if w.ready(t, i) != http.StatusOK {
				return false
			}
		}
		return true
	})
	return w
}

func free(t *testing.T) netip.AddrPort {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (w *town) start(t *testing.T, i int) {
	t.Helper()
	s := config.Default()
	s.Host, s.Domain, s.Region = fmt.Sprint("h", i), "d1", "east"
	s.Callers, s.Peers, s.Metrics, s.Store = free(t), free(t), free(t), w.store.Address()
	s.Platform = &config.Platform{
		Ready: free(t), Regions: map[string]string{"d1": "east"}, KeyAge: config.Duration(2 * time.Second), RetryRatio: 0.2, RetryExtra: 50,
		RetryWindow: config.Duration(10 * time.Second), Grace: config.Duration(5 * time.Second), Cores: 1, MemoryMB: 512,
	}
	assert.NilError(t, s.Check())
	site, err := Build(t.Context(), s, logs.NewWriter(io.Discard), slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	h := &running{Site: site, ended: make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	abort, cancel := context.WithCancel(context.Background())
	h.stop, h.abort = stop, cancel
	go func() { h.ended <- site.Run(ctx, abort) }()
	t.Cleanup(func() {
		cancel()
		stop()
		<-h.ended
	})
	w.hosts = append(w.hosts, h)
}

func (w *town) ready(t *testing.T, i int) int {
	t.Helper()
	return w.get(t, "http://"+w.hosts[i].Settings.Platform.Ready.String()+"/any/path", "").status
}

type answer struct {
	status int
	body   string
	header http.Header
}

func (w *town) ask(t *testing.T, i int, path, key string) answer {
	t.Helper()
	return w.get(t, "http://"+w.hosts[i].Settings.Callers.String()+path, key)
}

func (w *town) get(t *testing.T, url, key string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "id1")
	req.Header.Set("Key", key)
	if strings.Contains(url, "/report/") {
		req.Header.Set("Token-Usage", "300,2000")
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(body), resp.Header}
}

func (w *town) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestCalmDay(t *testing.T) {
	w := newTown(t, 2)
	for i := range w.hosts {
		assert.Equal(t, w.ask(t, i, "/read/x", "k1").status, http.StatusOK)
		var story strings.Builder
		for n := range 40 {
			story.WriteString(plat.Event("id1", n))
		}
		assert.Equal(t, w.ask(t, i, "/report/x", "k1").body, story.String())
	}
	w.eventually(t, "the hosts to meet", func() bool {
		return len(w.hosts[0].Gossip.Names()) == 2 && len(w.hosts[1].Gossip.Names()) == 2
	})
	w.eventually(t, "one host to read for both", func() bool {
		_, first := w.hosts[0].Gossip.Reader()
		_, second := w.hosts[1].Gossip.Reader()
		return first != second
	})
	metrics := w.get(t, "http://"+w.hosts[0].Settings.Metrics.String()+"/metrics", "")
	assert.Assert(t, strings.Contains(metrics.body, "front_requests_total"), metrics.body)
}

func TestTableIsInForceOnAllHosts(t *testing.T) {
	w := newTown(t, 2)
	w.eventually(t, "one host to read for both", func() bool {
		_, first := w.hosts[0].Gossip.Reader()
		_, second := w.hosts[1].Gossip.Reader()
		return first != second
	})
	w.table(2, "/new/", `"k1","k2"`)
	for i := range w.hosts {
		w.eventually(t, "the new route", func() bool { return w.ask(t, i, "/new/x", "k2").status == http.StatusOK })
		assert.Equal(t, w.ask(t, i, "/old/x", "k1").status, http.StatusNotFound)
	}
	w.table(3, "/new/", `"k1"`)
	for i := range w.hosts {
		w.eventually(t, "the key to be gone", func() bool { return w.ask(t, i, "/read/x", "k2").status == http.StatusUnauthorized })
	}
}

func TestDrainingAndEvacuation(t *testing.T) {
	w := newTown(t, 1)
	for _, e := range []int{1, 3} {
		w.register(w.engines[e], "draining")
	}
	w.eventually(t, "the draining engines to be known", func() bool {
		return w.hosts[0].Pool.IsLeaving("e1") && w.hosts[0].Pool.IsLeaving("e3")
	})
	before := len(w.engines[1].Requests()) + len(w.engines[3].Requests())
	for range 10 {
		assert.Equal(t, w.ask(t, 0, "/read/x", "k1").status, http.StatusOK)
	}
	assert.Equal(t, len(w.engines[1].Requests())+len(w.engines[3].Requests()), before)
	w.store.Put("evacuations", "d1", struct{}{})
	w.eventually(t, "the failure domain to be out", func() bool { return w.ask(t, 0, "/read/x", "k1").status == http.StatusServiceUnavailable })
	w.store.Delete("evacuations", "d1")
	w.eventually(t, "the failure domain to be back", func() bool { return w.ask(t, 0, "/read/x", "k1").status == http.StatusOK })
}

func TestStoreOutage(t *testing.T) {
	w := newTown(t, 1)
	w.store.SetOutage(plat.Busy)
	assert.Equal(t, w.ask(t, 0, "/read/x", "k1").status, http.StatusOK, "the last known state serves on")
	w.eventually(t, "keys to fail closed", func() bool { return w.ask(t, 0, "/read/x", "k1").status == http.StatusServiceUnavailable })
	assert.Equal(t, w.ready(t, 0), http.StatusOK)
	w.store.SetOutage(plat.Up)
	w.eventually(t, "keys to be accepted again", func() bool { return w.ask(t, 0, "/read/x", "k1").status == http.StatusOK })
}

func TestStoreForgetsItsHistory(t *testing.T) {
	w := newTown(t, 1)
	w.store.Compact()
	w.table(2, "/new/", `"k1"`)
	w.eventually(t, "the new route", func() bool { return w.ask(t, 0, "/new/x", "k1").status == http.StatusOK })
}

func TestStopLetsRequestsEnd(t *testing.T) {
	w := newTown(t, 1)
	done := make(chan answer, 1)
	for i := range w.engines {
		w.engines[i].Pause = 25 * time.Millisecond
	}
	go func() { done <- w.ask(t, 0, "/report/x", "k1") }()
	time.Sleep(100 * time.Millisecond)
	w.hosts[0].stop()
	w.eventually(t, "the readiness check to fail", func() bool { return w.ready(t, 0) == http.StatusServiceUnavailable })
	assert.Equal(t, (<-done).status, http.StatusOK)
	got := w.ask(t, 0, "/read/x", "k1")
	assert.Equal(t, got.status, http.StatusOK, "connections that still come are served")
	began := time.Now()
	err := <-w.hosts[0].ended
	w.hosts[0].ended <- err
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}
