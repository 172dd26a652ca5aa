package config_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const goodSettings = `{
	// One host of the mill.
	"host": "entry-1", "domain": "trent-mill", "region": "midlands-east",
	"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081",
	"peers": "127.0.0.1:8082", "metrics": "127.0.0.1:8083", "store": "127.0.0.1:9000",
	"limits": {"wait": "5s"},
}`

func TestParseSettingsFillsInDefaults(t *testing.T) {
	s, err := config.ParseSettings([]byte(goodSettings))
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(s.Limits.Wait), 5*time.Second)
	assert.Equal(t, s.Limits.BodyBytes, config.Default().Limits.BodyBytes)
}

func TestParseSettingsReportsEachInvalidField(t *testing.T) {
	_, err := config.ParseSettings([]byte(`{"host": "Entry 1", "timing": {"heartbeat": "0s"}, "tls": {"cert_file": "a"}}`))
	assert.Assert(t, errors.Is(err, config.ErrInvalid))
	for _, path := range []string{"host", "domain", "region", "callers", "store", "timing.heartbeat", "tls"} {
		assert.Assert(t, is.Contains(err.Error(), path+": want"))
	}
}

func TestParseSettingsRejectsInvalidInput(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", `{"hosts": "a"}`, "unknown field"},
		{"not JSON", `{`, "read JSON"},
		{"bad duration", `{"timing": {"heartbeat": "soon"}}`, "duration"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := config.ParseSettings([]byte(tt.text))
			assert.Assert(t, errors.Is(err, config.ErrInvalid))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestParseTableReportsEachInvalidField(t *testing.T) {
	_, err := config.ParseTable([]byte(`{
		"services": [{"name": "m", "kind": "model"}, {"name": "m", "kind": "odd"}],
		"workspaces": [{"name": "w", "key_hashes": ["xyz"]}],
		"backends": [{"name": "b", "service": "none", "domain": "d", "address": "127.0.0.1:1", "max_running": 0}],
		"rows": [{"workspace": "w", "service": "m", "weight": 0}, {"workspace": "v", "service": "m", "weight": 1}],
	}`))
	assert.Assert(t, errors.Is(err, config.ErrInvalid))
	for _, path := range []string{
		"services[0].model", "services[1].name", "services[1].kind", "workspaces[0].key_hashes[0]",
		"backends[0].service", "backends[0].max_running", "rows[0].weight", "rows[1].workspace",
	} {
		assert.Assert(t, is.Contains(err.Error(), path+": want"))
	}
}

func TestRepeatableFollowsRoutes(t *testing.T) {
	s := config.Service{Routes: []config.Route{{Method: "GET", Path: "/records", Repeatable: true}}}
	tests := []struct {
		name   string
		method string
		path   string
		want   bool
	}{
		{"declared", "GET", "/records", true},
		{"below", "GET", "/records/7", true},
		{"longer path segment", "GET", "/records-of-others", false},
		{"other method", "POST", "/records", false},
		{"undeclared", "POST", "/bookings", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, s.Repeatable(tt.method, tt.path), tt.want)
		})
	}
}
