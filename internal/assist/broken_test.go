package assist_test

import (
	"log/slog"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/assist"
	"github.com/tarragonspur/tarragonspur/internal/assist/astpb"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// TestBrokenAnswersOfHostsProveNoEnd guards against a broken answer of another host that passes for the end of a run.
func TestBrokenAnswersOfHostsProveNoEnd(t *testing.T) {
	source, target := servers()
	move := func(t *testing.T, host mirror.Host) error {
		t.Helper()
		c := assist.Client{Hosts: hosts{host}, Log: slog.New(slog.DiscardHandler)}
		_, err := c.Move(t.Context(), source, "run", target)
		return err
	}
	moved := &astpb.EndRunReply{Ending: astpb.Ending_ENDING_MOVED, Copy: "c1"}
	t.Run("sound", func(t *testing.T) {
		h := &broken.Host{Head: broken.SoundHostHead(), Message: moved}
		assert.NilError(t, move(t, mirror.Host{Name: "h1", Address: h.Start(t)}))
	})
	for _, head := range broken.HostHeads() {
		t.Run(head.Name, func(t *testing.T) {
			h := &broken.Host{Head: head, Message: moved}
			err := move(t, mirror.Host{Name: "h1", Address: h.Start(t)})
			assert.Assert(t, errors.Is(err, assist.ErrUnknown), "%v", err)
			assert.Equal(t, h.Calls(), 1, "it is asked once")
		})
	}
	for _, fault := range broken.Faults() {
		t.Run("HTTP/1.1, "+fault.Name, func(t *testing.T) {
			s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}") }}
			err := move(t, mirror.Host{Name: "h1", Address: s.Start(t)})
			assert.Assert(t, errors.Is(err, assist.ErrUnknown), "%v", err)
		})
	}
}
