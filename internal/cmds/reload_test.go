package cmds_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
)

// TestReloadSignalsDoNotEndAStoppingHost guards against a SIGHUP that ends the process because nothing catches it any more.
func TestReloadSignalsDoNotEndAStoppingHost(t *testing.T) {
	platform := town.New(2, 10)
	t.Cleanup(platform.Close)
	settings, err := town.Settings(t.Context(), 0, platform.Store.Address())
	assert.NilError(t, err)
	text, err := json.Marshal(settings)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	p := start(t, "serve", "--settings", file)
	p.waitForOutput(t, `msg="(host serves)"`)
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.waitForOutput(t, `msg="(settings reloaded)"`)
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	for {
		select {
		case err := <-ended:
			assert.NilError(t, err, "the host ends by itself")
			return
		case <-time.After(200 * time.Microsecond):
			// The process may have ended meanwhile.
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
}
