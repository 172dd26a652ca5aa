package devel_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// TestOrdersReachTheEngines edits the table of a running deployment and checks that its engines get the orders for the new
// version and adapters.
func TestOrdersReachTheEngines(t *testing.T) {
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	spec, err := devel.SpecByName("federacion")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), spec, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer v.Stop()
	assert.NilError(t, v.WaitReady(t.Context()))

	text, version := requestTable(t, v, http.MethodGet, nil, "")
	var table config.Table
	assert.NilError(t, json.Unmarshal(text, &table))
	for i, s := range table.Services {
		if s.Name == spec.ModelService {
			table.Services[i].Version = "v2"
			table.Services[i].Adapters = []string{"agate", "jasper"}
			table.Services[i].AdapterSlots = 1
			table.Services[i].Orders = &config.Orders{LoadsPerMinute: 600, AtOnce: 4}
		}
	}
	text, err = json.Marshal(table)
	assert.NilError(t, err)
	requestTable(t, v, http.MethodPut, text, version)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ordered := 0
		for _, e := range v.Engines {
			if orders := e.Orders(); len(orders) > 0 && orders[len(orders)-1].Version == "v2" {
				ordered++
			}
		}
		if ordered == len(v.Engines) {
			return poll.Success()
		}
		return poll.Continue("%d of %d engines got the order", ordered, len(v.Engines))
	}, poll.WithTimeout(30*time.Second))
	for _, adapter := range []string{"agate", "jasper"} {
		waitForAdapter(t, v, spec.ModelService+":"+adapter)
	}
}

// waitForAdapter repeats a request for a model with an adapter at each host until it succeeds: the host must first learn
// which engines have the adapter loaded.
func waitForAdapter(t *testing.T, v *devel.Deployment, model string) {
	t.Helper()
	for _, host := range v.CallerAddrs {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			body := strings.NewReader(`{"model": "` + model + `", "prompt": "p", "max_tokens": 2}`)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host.String()+"/v1/completions", body)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+devel.CallerKey)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("%s at %s: status %d", model, host, resp.StatusCode)
		}, poll.WithTimeout(20*time.Second))
	}
}

// requestTable reads or writes the table as an operator and returns the response's body and the table's version.
func requestTable(t *testing.T, v *devel.Deployment, method string, body []byte, version string) ([]byte, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+v.OperatorAddrs[0].String()+"/admin/v1/table", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+devel.OperatorKey)
	if version != "" {
		req.Header.Set("If-Match", version)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode < 300, "%d: %s", resp.StatusCode, text)
	return text, resp.Header.Get("Etag")
}
