package cmds_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tarragonspur/tarragonspur/internal/cmds"
	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// operator runs admin commands at one host, with stdin as their standard input.
type operator struct {
	address string
	stdin   string
}

func (o operator) run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"admin", "--address", o.address, "--key", devel.OperatorKey}, args...)
	code = cmds.Execute(all, strings.NewReader(o.stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func startDeployment(t *testing.T) operator {
	t.Helper()
	d, err := devel.SpecByName("hallowbrook")
	assert.NilError(t, err)
	v, err := devel.Start(t.Context(), d, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(v.Stop)
	assert.NilError(t, v.WaitReady(t.Context()))
	return operator{address: v.OperatorAddrs[0].String()}
}

func TestAdminCommands(t *testing.T) {
	o := startDeployment(t)
	code, file, errOut := o.run("table", "get", "--file")
	assert.Equal(t, code, 0, errOut)
	assert.Assert(t, strings.HasPrefix(file, "// version 1\n"))
	code, out, errOut := o.run("table", "set", "workshop/assay-model", "weight=2", "--reason", "a trial")
	assert.Equal(t, code, 0, errOut)
	assert.Assert(t, cmp.Contains(out, "accepted as version 2"))

	path := filepath.Join(t.TempDir(), "table.json")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(file, `"weight": 1`, `"weight": 7`, 1)), 0o600))
	code, out, errOut = o.run("table", "apply", path)
	assert.Equal(t, code, 1, out)
	for _, want := range []string{"version 2 is in force", "row workshop/assay-model", `"weight":7`, "based on version 1"} {
		assert.Assert(t, cmp.Contains(errOut, want))
	}

	code, out, errOut = o.run("table", "get", "-o", "json")
	assert.Equal(t, code, 0, errOut)
	var table config.Table
	assert.NilError(t, json.Unmarshal([]byte(out), &table))
	assert.Equal(t, table.Rows[0].Weight, 2.0)

	tests := []struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		{args: []string{"audit"}, want: "reason: a trial"},
		{args: []string{"table", "history"}, want: "row workshop/assay-model"},
		{args: []string{"domain", "list"}, want: "severn-yard"},
		{args: []string{"domain", "out", "severn-yard"}, want: "accepted as version 3"},
		{args: []string{"domain", "out", "severn-yard"}, want: "nothing to change"},
		{args: []string{"status"}, want: "entry-trent-mill"},
		{args: []string{"top", "--once"}, want: "assay-model-0"},
		{args: []string{"explain", "req-0"}, want: "no host keeps a decision"},
		{args: []string{"service", "delete", "millbook"}, code: 1, want: "still used by"},
		{args: []string{"workspace", "create", "lab", "--new-key"}, want: "accepted as version 4"},
		{args: []string{"table", "edit", "--set", "lab/millbook.weight=3", "--set", "lab/assay-model.weight=1"}, want: "accepted as version 5"},
		{args: []string{"table", "delete", "lab/millbook"}, want: "accepted as version 6"},
		{args: []string{"table", "delete", "lab/millbook"}, code: 1, want: "has no row"},
		{args: []string{"table", "set", "lab/millbook", "weights=3"}, code: 1, want: "unknown field"},
		{args: []string{"table", "edit"}, stdin: "{}", code: 1, want: "name the version"},
		{args: []string{"table", "edit"}, stdin: "// version 6\n{\"rows\":[{}]}", code: 2, want: "rows[0].weight"},
		{args: []string{"status", "-o", "yaml"}, code: 1, want: "table or json"},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			o.stdin = tt.stdin
			code, out, errOut := o.run(tt.args...)
			assert.Equal(t, code, tt.code, errOut)
			assert.Assert(t, cmp.Contains(out+errOut, tt.want))
		})
	}
}
