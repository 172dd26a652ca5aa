package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/audit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/spread"
	"github.com/tarragonspur/tarragonspur/internal/survey"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// store is an object API that can be down or lose its answers.
type store struct {
	memory objapi.Memory
	down   bool
	// loseAnswers is the number of further changes whose answers are lost. With downAfterLoss, the store is down after
	// a lost answer.
	loseAnswers   int
	downAfterLoss bool
}

func (s *store) Get(_ context.Context, key string) (object.Object, error) {
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	return s.memory.Get(key)
}

func (s *store) List(_ context.Context, prefix string) (object.Listing, error) {
	if s.down {
		return object.Listing{}, object.ErrUnavailable
	}
	return s.memory.List(prefix), nil
}

func (s *store) Put(_ context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	o, err := s.memory.Put(key, value, expect)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.down = s.downAfterLoss
		return object.Object{}, object.ErrUnknown
	}
	return o, err
}

func (s *store) Watch(context.Context, string, object.Version, func(object.Event)) error {
	return object.ErrUnavailable
}

// peerTransport delivers messages to the host at port 1; all other hosts are unreachable.
type peerTransport struct{ other survey.Survey }

func (p *peerTransport) Deliver(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) ([]*peerpb.Message, error) {
	if addr.Port() != 1 {
		return nil, peer.ErrUnreachable
	}
	return p.other.Receive(ctx, peer.Sender{}, messages[0]), nil
}

type noPeers struct{}

func (noPeers) Send(...peer.Outgoing) {}

// driver sends requests to the operators' interface of one host and records a transcript.
type driver struct {
	store      *store
	board      *board.Board
	handler    http.Handler
	transcript strings.Builder
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newDriver(t *testing.T) *driver {
	t.Helper()
	d := &driver{store: &store{}, board: &board.Board{}}
	log := slog.New(slog.DiscardHandler)
	sp := &spread.Syncer{Self: "entry-a", Domain: "cordoba", Board: d.board, Store: d.store, Peers: noPeers{}, Log: log}
	other := &board.Board{}
	other.Decisions.Add(board.Decision{Request: "req-1", At: time.Now().Add(time.Second), Step: "started", Backend: "modelo-1"})
	d.board.Decisions.Add(board.Decision{Request: "req-1", At: time.Now(), Step: "queued", Reason: "limit"})
	for i, name := range []string{"entry-b", "entry-c"} {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		d.board.Hosts.Put(board.Host{Name: name, Domain: "salta", Address: addr, State: board.HostLive})
	}
	transport := &peerTransport{other: survey.Survey{Self: "entry-b", Domain: "salta", Board: other}}
	transport.other.Transport = transport
	for _, h := range d.board.Hosts.All() {
		other.Hosts.Put(h)
	}
	a := &admin.Admin{
		Board:   d.board,
		Changes: &commit.Committer{Board: d.board, Store: d.store, Log: sp},
		Trail:   &audit.Trail{Store: d.store},
		Fleet:   &survey.Survey{Self: "entry-a", Domain: "cordoba", Board: d.board, Transport: transport},
		Keys: []config.OperatorKey{
			{Name: "ana", Hash: hashKey("key-ana"), Scopes: []string{"read", "table", "domains"}},
			{Name: "reader", Hash: hashKey("key-reader"), Scopes: []string{"read"}},
			{Name: "tables", Hash: hashKey("key-tables"), Scopes: []string{"read", "table"}},
		},
		Log: log,
	}
	d.handler = a.Handler()
	d.seed(t)
	assert.NilError(t, sp.Sync(t.Context()))
	return d
}

func (d *driver) seed(t *testing.T) {
	t.Helper()
	backend := func(name, domain string) config.Backend {
		return config.Backend{
			Name: name, Service: "modelo", Domain: domain, MaxRunning: 8, MemoryTokens: 1000,
			Address: netip.MustParseAddrPort("127.0.0.1:9"),
		}
	}
	to := change.State{Table: config.Table{
		Services:   []config.Service{{Name: "modelo", Kind: config.ServiceModel, Model: "modelo"}},
		Workspaces: []config.Workspace{{Name: "club", KeyHashes: []string{hashKey("key-club")}}},
		Backends:   []config.Backend{backend("modelo-0", "cordoba"), backend("modelo-1", "salta")},
		Rows:       []config.Row{{Workspace: "club", Service: "modelo", Weight: 1, Lend: true}},
	}, Domains: []config.Domain{
		{Name: "cordoba", Region: "norte", State: config.DomainIn},
		{Name: "salta", Region: "norte", State: config.DomainIn},
	}}
	first, err := change.Encode(change.Change{Version: 1, ID: "first", Operator: "seed", At: time.Now().UTC(), Edits: change.Diff(change.State{}, to)})
	assert.NilError(t, err)
	_, err = d.store.memory.Put(change.Key(1), first.Raw, 0)
	assert.NilError(t, err)
}

// call sends one request and adds it and its response to the transcript.
func (d *driver) call(key, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	fmt.Fprintf(&d.transcript, "> %s %s (%s)\n", method, path, key)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
		fmt.Fprintf(&d.transcript, "> %s: %s\n", headers[i], headers[i+1])
	}
	if body != "" {
		fmt.Fprintf(&d.transcript, "> %s\n", body)
	}
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	fmt.Fprintf(&d.transcript, "< %d\n", w.Code)
	for _, name := range []string{"Etag", "Age", "Retry-After"} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&d.transcript, "< %s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&d.transcript, "%s\n\n", bytes.TrimSpace(w.Body.Bytes()))
	return w
}

// tableWithWeight returns the table in force as JSON, with the weight of its first row replaced.
func (d *driver) tableWithWeight(t *testing.T, weight float64) string {
	t.Helper()
	table := d.board.Config.State().Table
	table.Rows = slices.Clone(table.Rows)
	table.Rows[0].Weight = weight
	text, err := json.Marshal(table)
	assert.NilError(t, err)
	return string(text)
}

const (
	path             = "/admin/v1"
	newWorkspaceBody = `{"name":"club-2","key_hashes":[]}`
	newBackendBody   = `{"name":"modelo-2","service":"modelo","domain":"neuquen","address":"10.0.0.7:80","max_running":4,"memory_tokens":10}`
)

func TestSessions(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, d *driver)
	}{
		{"table-conflict", func(t *testing.T, d *driver) {
			d.call("key-ana", "GET", path+"/table", "")
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`, "Idempotency-Key", "change-a")
			d.call("key-tables", "PUT", path+"/table", d.tableWithWeight(t, 3), "If-Match", `"1"`, "Idempotency-Key", "change-b")
			d.call("key-reader", "GET", path+"/table/history", "")
		}},
		{"repeated-change", func(t *testing.T, d *driver) {
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`, "Idempotency-Key", "change-a")
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`, "Idempotency-Key", "change-a")
			d.call("key-ana", "GET", path+"/audit/change-a", "")
		}},
		{"lost-answer", func(t *testing.T, d *driver) {
			d.store.loseAnswers = 1
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`, "Idempotency-Key", "change-a")
			d.call("key-ana", "GET", path+"/audit", "")
		}},
		{"unknown-outcome", func(t *testing.T, d *driver) {
			d.store.loseAnswers, d.store.downAfterLoss = 1, true
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`, "Idempotency-Key", "change-a")
			d.store.down = false
			d.call("key-ana", "GET", path+"/audit/change-a", "")
		}},
		{"store-down", func(t *testing.T, d *driver) {
			d.store.down = true
			time.Sleep(time.Minute)
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", `"1"`)
			d.call("key-ana", "GET", path+"/audit", "")
			d.call("key-ana", "GET", path+"/domains", "")
		}},
		{"nothing-learned", func(_ *testing.T, d *driver) {
			*d.board = board.Board{}
			d.store.down = true
			d.call("key-ana", "GET", path+"/table", "")
			d.call("key-ana", "GET", path+"/domains", "")
			d.call("key-ana", "GET", path+"/status", "")
		}},
		{"keys-and-scopes", func(_ *testing.T, d *driver) {
			d.call("", "GET", path+"/table", "")
			d.call("key-nobody", "GET", path+"/table", "")
			d.call("key-reader", "PUT", path+"/table", "{}", "If-Match", `"1"`)
			d.call("key-tables", "POST", path+"/domains/salta/out", "")
			d.call("key-reader", "POST", path+"/workspaces", newWorkspaceBody)
		}},
		{"refusals", func(t *testing.T, d *driver) {
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2))
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, 2), "If-Match", "latest")
			d.call("key-ana", "PUT", path+"/table", d.tableWithWeight(t, -2), "If-Match", `"1"`)
			d.call("key-ana", "PUT", path+"/table", `{"rows":[}`, "If-Match", `"1"`)
			d.call("key-ana", "POST", path+"/workspaces", `{"title":"club-2"}`)
			d.call("key-ana", "POST", path+"/workspaces", `{"name":"club"}`)
			d.call("key-ana", "DELETE", path+"/workspaces/club", "")
			d.call("key-ana", "DELETE", path+"/services/modelo", "")
			d.call("key-ana", "DELETE", path+"/backends/absent", "")
			d.call("key-ana", "GET", path+"/audit/absent", "")
			d.call("key-ana", "GET", path+"/audit?before=soon", "")
			d.call("key-ana", "GET", path+"/nothing", "")
		}},
		{"items", func(_ *testing.T, d *driver) {
			d.call("key-ana", "POST", path+"/workspaces", newWorkspaceBody, "Idempotency-Key", "w")
			d.call("key-ana", "GET", path+"/workspaces", "")
			d.call("key-ana", "POST", path+"/backends", newBackendBody, "Idempotency-Key", "b")
			d.call("key-ana", "GET", path+"/backends/modelo-2", "")
			d.call("key-ana", "DELETE", path+"/backends/modelo-2?reason=tried", "", "Idempotency-Key", "d")
			d.call("key-ana", "GET", path+"/audit?limit=2", "")
		}},
		{"domains", func(_ *testing.T, d *driver) {
			d.call("key-ana", "POST", path+"/domains/salta/out?reason=power+work", "", "Idempotency-Key", "out")
			d.call("key-ana", "POST", path+"/domains/salta/out", "", "Idempotency-Key", "again")
			d.call("key-ana", "POST", path+"/domains/cordoba/out", "")
			d.call("key-ana", "POST", path+"/backends/modelo-0/out", "")
			d.call("key-ana", "POST", path+"/domains/cordoba/out?force=true", "", "Idempotency-Key", "forced")
			d.call("key-ana", "POST", path+"/domains/salta/in", "", "Idempotency-Key", "in")
			d.call("key-ana", "POST", path+"/domains/absent/out", "")
			d.call("key-ana", "GET", path+"/domains", "")
		}},
		{"reports", func(_ *testing.T, d *driver) {
			time.Sleep(5 * time.Second)
			d.call("key-reader", "GET", path+"/status", "")
			club := board.RowKey{Workspace: "club", Service: "modelo"}
			d.board.Usage.Open(club).CountOutput(time.Now())
			d.board.Usage.Open(club).Close("overloaded")
			d.call("key-reader", "GET", path+"/usage", "")
			d.call("key-reader", "GET", path+"/requests/req-1", "")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDriver(t)
				tt.run(t, d)
				assert.Assert(t, !strings.Contains(d.transcript.String(), "key-club"), "caller's key in a response")
				golden.Assert(t, d.transcript.String(), tt.name+".golden")
			})
		})
	}
}
