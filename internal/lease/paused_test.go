package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/internal/store"
)

const (
	envHolder    = "LEASE_TEST_HOLDER"
	envStore     = "LEASE_TEST_STORE"
	envEngine    = "LEASE_TEST_ENGINE"
	realDuration = time.Second
	sendPause    = 5 * time.Millisecond
)

// TestMain runs as a lease holder if the environment names one, otherwise it runs the tests.
func TestMain(m *testing.M) {
	if holder := os.Getenv(envHolder); holder != "" {
		hold(holder, os.Getenv(envStore), os.Getenv(envEngine))
		return
	}
	os.Exit(m.Run())
}

// hold competes for the lease and keeps sending its fencing token to the engine while it holds it, until it is killed.
func hold(holder, storeAddr, engineURL string) {
	client := store.NewClient(netip.MustParseAddrPort(storeAddr))
	k := &lease.Keeper{
		Store: client, Lease: "orders", Holder: holder, Incarnation: 1, Duration: realDuration, Log: slog.New(slog.DiscardHandler),
	}
	go func() { _ = k.Run(context.Background()) }()
	for ; ; time.Sleep(sendPause) {
		grant, ok := k.Holds(time.Now())
		if !ok {
			continue
		}
		resp, err := http.Post(fmt.Sprintf("%s?fence=%d", engineURL, grant.Fence), "", nil) //nolint:noctx // The process is killed.
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// sendCounter counts sends by fencing token, and those with token 1 that arrive after a higher one.
type sendCounter struct {
	mu      sync.Mutex
	highest uint64
	stale   int
	sends   map[uint64]int
}

func (e *sendCounter) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	fence, _ := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence == 1 && e.highest > 1 {
		e.stale++
	}
	e.highest = max(e.highest, fence)
	e.sends[fence]++
}

func (e *sendCounter) has(fence uint64, sends int) poll.Check {
	return func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sends[fence] >= sends {
			return poll.Success()
		}
		return poll.Continue("%d sends with token %d", e.sends[fence], fence)
	}
}

func startHolder(t *testing.T, name, storeAddr, engineURL string) *os.Process {
	t.Helper()
	self, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.CommandContext(t.Context(), self)
	cmd.Env = append(os.Environ(), envHolder+"="+name, envStore+"="+storeAddr, envEngine+"="+engineURL)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// TestPausedHolderStopsSendingAfterTakeover pauses a real holder past the end of its lease and resumes it after another
// one took over. At most one stale send may arrive: the one that was paused between its check and its sending.
func TestPausedHolderStopsSendingAfterTakeover(t *testing.T) {
	api := httptest.NewServer((&objapi.Server{Memory: &objapi.Memory{}}).Handler())
	defer api.Close()
	e := &sendCounter{sends: make(map[uint64]int)}
	sink := httptest.NewServer(e)
	defer sink.Close()
	storeAddr := api.Listener.Addr().String()
	first := startHolder(t, "first", storeAddr, sink.URL)
	poll.WaitOn(t, e.has(1, 20), poll.WithTimeout(20*time.Second))
	startHolder(t, "second", storeAddr, sink.URL)
	assert.NilError(t, first.Signal(syscall.SIGSTOP))
	poll.WaitOn(t, e.has(2, 20), poll.WithTimeout(20*time.Second))
	assert.NilError(t, first.Signal(syscall.SIGCONT))
	poll.WaitOn(t, e.has(2, 220), poll.WithTimeout(20*time.Second))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.stale <= 1, "%d sends with the old token after the new one", e.stale)
}
