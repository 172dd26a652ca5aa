package config_test

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

func FuzzParseTable(f *testing.F) {
	f.Add([]byte(`// comment
{"services":[{"name":"s","kind":"plain","routes":[{"method":"GET","path":"/a","repeatable":true}]}],
 "workspaces":[{"name":"w","key_hashes":[]}],
 "backends":[{"name":"b","service":"s","domain":"d","address":"10.0.0.1:80","max_running":1}],
 "rows":[{"workspace":"w","service":"s","weight":1.5,"lend":true},]}`))
	f.Add([]byte(`{"rows":[{"weight":1e400}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := config.ParseTable(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, config.ErrInvalid), "%v", err)
			return
		}
		encoded, err := json.Marshal(table)
		assert.NilError(t, err)
		_, err = config.ParseTable(encoded)
		assert.NilError(t, err, "an accepted table must parse again after encoding")
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"host":"h","domain":"d","region":"r","callers":"127.0.0.1:1","operators":"127.0.0.1:2",
 "peers":"127.0.0.1:3","metrics":"127.0.0.1:4","store":"127.0.0.1:5","limits":{"wait":"1s"},"operator_keys":[]}`))
	f.Add([]byte(`{"timing":{"heartbeat":"-1ns"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := config.ParseSettings(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, config.ErrInvalid), "%v", err)
			return
		}
		encoded, err := json.Marshal(s)
		assert.NilError(t, err)
		_, err = config.ParseSettings(encoded)
		assert.NilError(t, err, "accepted settings must parse again after encoding")
	})
}
