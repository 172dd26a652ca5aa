package front_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

func TestAdmission(t *testing.T) {
	tests := []struct {
		name   string
		ask    callerRequest
		status int
	}{
		{"route and key", callerRequest{path: "/read/x", key: "k1"}, http.StatusOK},
		{"unknown route", callerRequest{path: "/none/x", key: "k1"}, http.StatusNotFound},
		{"prefix without its slash", callerRequest{path: "/read", key: "k1"}, http.StatusNotFound},
		{"no key", callerRequest{path: "/read/x"}, http.StatusUnauthorized},
		{"unknown key", callerRequest{path: "/read/x", key: "k9"}, http.StatusUnauthorized},
		{"public route without key", callerRequest{path: "/open/x"}, http.StatusOK},
		{"body within the limit", callerRequest{method: http.MethodPost, path: "/book/x", key: "k1", body: "small"}, http.StatusOK},
		{"body over the limit", callerRequest{method: http.MethodPost, path: "/book/x", key: "k1", body: string(make([]byte, 2<<10))}, http.StatusRequestEntityTooLarge},
		{"no server in the route's region", callerRequest{path: "/west/x", key: "k1"}, http.StatusServiceUnavailable},
		{"no server in the workspace's region", callerRequest{path: "/read/x", key: "k2"}, http.StatusServiceUnavailable},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			resp := r.do(t, tc.ask)
			assert.Equal(t, resp.status, tc.status)
			if tc.status != http.StatusOK {
				assert.Equal(t, len(r.received()), 0, "a refused request must not reach a backend server")
				assert.Equal(t, resp.header.Get("Response-Signature"), "")
			}
		})
	}
}

func TestKeysFailClosedOnAnOldTable(t *testing.T) {
	r := newRig(t, 2)
	r.SetMaxKeyAge(time.Nanosecond)
	for _, tc := range []struct {
		path   string
		status int
	}{
		{"/read/x", http.StatusServiceUnavailable},
		{"/none/x", http.StatusServiceUnavailable},
		{"/open/x", http.StatusOK},
	} {
		resp := r.do(t, callerRequest{path: tc.path, key: "k1"})
		assert.Equal(t, resp.status, tc.status, tc.path)
	}
	r.SetMaxKeyAge(time.Hour)
	r.Tables.Confirm(ticks.Now())
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusOK)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	r := newRig(t, 2)
	resp := r.do(t, callerRequest{
		method: http.MethodPut, path: "/book/a%2Fb/../c//?q=1&q=%zz", key: "k1", body: "the body",
		headers: map[string]string{
			"Kv-From": "1.2.3.4:5/x", "Kv-Backup": "1.2.3.4:5", "Retention": "r", "Pin-Ms": "9", "Tenant": "other",
			"Expected-Instance": "other", "Request-Priority": "0", "X-Own": "kept", "Connection": "X-Hop", "X-Hop": "dropped",
		},
	})
	assert.Equal(t, resp.status, http.StatusOK)
	assert.NilError(t, resp.err)
	body := resp.text
	assert.Equal(t, body, "answer to "+attempt)
	assert.Equal(t, resp.header.Get("Response-Signature"), "s1")
	got := r.received()
	assert.Equal(t, len(got), 1)
	q := got[0]
	assert.Equal(t, q.Method, http.MethodPut)
	assert.Equal(t, q.RequestURI, "/book/a%2Fb/../c//?q=1&q=%zz")
	assert.Equal(t, q.Host, "h.example")
	assert.Equal(t, q.Text, "the body")
	for _, header := range []struct{ name, want string }{
		{"Attempt-Id", attempt},
		{"Tenant", "w1"},
		{"Expected-Instance", "b"},
		{"X-Own", "kept"},
		{"Key", ""},
		{"Kv-From", ""},
		{"Kv-Backup", ""},
		{"Retention", ""},
		{"Pin-Ms", ""},
		{"Request-Priority", ""},
		{"X-Hop", ""},
	} {
		assert.Equal(t, q.Header.Get(header.name), header.want, header.name)
	}
	left, err := strconv.Atoi(q.Header.Get("Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 600, "the route allows 600 ms, the caller 2,000: %d", left)
}

func TestEvacuatedAndDrainingServersGetNoRequests(t *testing.T) {
	r := newRig(t, 2)
	r.Pool.SetEvacuated([]string{"d1"})
	resp := r.do(t, callerRequest{path: "/read/x", key: "k1"})
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.header.Get("Retry-After") != "")
	r.Pool.SetEvacuated(nil)
	r.put(1, true)
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(r.received()), 0)
}

func TestStoppingHostRefusesWhatItCouldNotFinish(t *testing.T) {
	r := newRig(t, 2)
	r.StopAt(time.Now(), time.Now().Add(1900*time.Millisecond))
	long := callerRequest{method: http.MethodPost, path: "/report/x", key: "k1", headers: map[string]string{"Token-Usage": "100,4000"}}
	assert.Equal(t, r.do(t, long).status, http.StatusServiceUnavailable)
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusOK)
	r.StopAt(time.Now(), time.Now().Add(time.Second))
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusServiceUnavailable)
}
