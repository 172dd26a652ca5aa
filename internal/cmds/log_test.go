package cmds

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestLogWritesOneLinePerEvent(t *testing.T) {
	var out bytes.Buffer
	newLogger(&out, slog.LevelInfo).Info("watch ended", "error", errors.Wrap(errors.New("store down"), "list"), "retry_in", "1s")
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	assert.Assert(t, strings.HasSuffix(out.String(), "level=INFO msg=\"watch ended\" error=\"list: store down\" retry_in=1s\n"), out.String())
}
