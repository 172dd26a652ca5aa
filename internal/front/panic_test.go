package front_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/front"
)

// panickyBudget panics when a request arrives.
type panickyBudget struct{ front.Budget }

func (panickyBudget) Arrived(string) { panic("out of range") }

// TestRequestWhoseHandlingPanicsIsAnsweredAndLogged guards against requests that end without an answer and without a log line.
func TestRequestWhoseHandlingPanicsIsAnsweredAndLogged(t *testing.T) {
	r := newRig(t, 2)
	var lines bytes.Buffer
	r.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	r.Budget = panickyBudget{r}
	assert.Equal(t, <-r.start(t, callerRequest{path: "/read/x", key: "k1"}), http.StatusInternalServerError)
	// The server has ended, so that nothing else writes lines.
	r.server.Close()
	var panicked, ended int
	for line := range strings.Lines(lines.String()) {
		switch {
		case !strings.Contains(line, `"request":"`+attempt+`"`):
		case strings.Contains(line, "out of range") && strings.Contains(line, "panicked"):
			panicked++
		case strings.Contains(line, `"msg":"request ended"`):
			ended++
		}
	}
	assert.Equal(t, panicked, 1, lines.String())
	assert.Equal(t, ended, 1, lines.String())
}
