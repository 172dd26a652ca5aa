package cause

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestCases explains requests recorded in fault-injection runs; each log file holds the lines of all hosts around one
// request, whose ID is in the file name.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, name := range files {
		base := strings.TrimSuffix(filepath.Base(name), ".log")
		t.Run(base, func(t *testing.T) {
			_, request, ok := strings.Cut(base, "-")
			assert.Assert(t, ok)
			text, err := os.ReadFile(name)
			assert.NilError(t, err)
			lines, err := Read(bytes.NewReader(text), "file", request)
			assert.NilError(t, err)
			c, err := Explain(request, lines)
			assert.NilError(t, err)
			var out bytes.Buffer
			assert.NilError(t, c.Print(&out))
			golden.Assert(t, out.String(), base+".golden")
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := Explain("none", nil)
	assert.ErrorIs(t, err, ErrUnknown)
}

func TestParseLine(t *testing.T) {
	const timestamp = "time=2026-12-04T10:00:00.5Z"
	tests := []struct {
		name, text, host, message string
		ok                        bool
	}{
		{"without a prefix", timestamp + ` level=INFO msg="request ended" request=a`, "file", "request ended", true},
		{"with the host in a prefix", "  3.2 h7 " + timestamp + ` level=INFO msg="store lost"`, "h7", "store lost", true},
		{"quoted value with escapes", timestamp + ` msg="store lost" error="a \"b\" c"`, "file", "store lost", true},
		{"without time", `level=INFO msg="store lost"`, "", "", false},
		{"broken time", `time=soon msg="store lost"`, "", "", false},
		{"without message", timestamp + ` level=INFO request=a`, "", "", false},
		{"truncated in a quoted value", timestamp + ` msg="store lost" error="a`, "", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l, ok := parse([]byte(tc.text), "file")
			assert.Equal(t, ok, tc.ok)
			if ok {
				assert.Equal(t, l.Host, tc.host)
				assert.Equal(t, l.Message, tc.message)
			}
		})
	}
}

func TestReadSkipsUnrelatedLines(t *testing.T) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "time=2026-12-04T10:00:00Z msg=\"request ended\" request=r%d\n", i)
	}
	lines, err := Read(strings.NewReader(text.String()), "file", "r7")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 1)
}
