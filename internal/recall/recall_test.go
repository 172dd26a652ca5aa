package recall_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/recall"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/platform"
)

// host is the part of an entry host that finds out and keeps quarantined keys.
type host struct {
	*crash.Table

	// later is added to the table's time.
	later atomic.Int64
	kill  func()
	eras  *epoch.Tracker
}

// start starts a host; kill ends it without a word.
func start(t *testing.T, name string, store *plat.Store) *host {
	t.Helper()
	h := &host{}
	h.Table = &crash.Table{
		Host: name, Log: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Hour + ticks.Now() + time.Duration(h.later.Load()) },
	}
	client := platform.NewStore(store.Address(), h.Log)
	k := &recall.Keeper{Table: h.Table, Store: platform.Quarantines{Store: client}, Eras: client.Eras, Log: h.Log}
	h.eras = client.Eras
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	var isKilled bool
	h.kill = func() {
		if !isKilled {
			isKilled = true
			cancel()
			assert.NilError(t, <-ended)
		}
	}
	t.Cleanup(h.kill)
	return h
}

// crash sends a request with the keys to a server that crashes under it.
func (h *host) crash(t *testing.T, keys crash.Keys, server string) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", plat.ListenAddress)
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	r := h.Enter("r", keys, func() {})
	assert.NilError(t, r.Send(t.Context(), server))
	ended := make(chan struct{})
	r.Broke(t.Context(), crash.Server{ID: server, Address: address}, func() { close(ended) })
	<-ended
	r.End()
	h.later.Add(int64(time.Second))
}

func (h *host) isQuarantined(keys crash.Keys) bool {
	wait, _ := h.Check(keys)
	return wait > 0
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestQuarantineOutlastsAKillOfAllHosts guards against evidence of crashes that is lost with the hosts' memory.
func TestQuarantineOutlastsAKillOfAllHosts(t *testing.T) {
	store := plat.NewStore()
	defer store.Close()
	deadly, sound := crash.NewKeys([]string{"aa", "dead", "own"}, 1), crash.NewKeys([]string{"bb", "own"}, 2)
	first := start(t, "h1", store)
	for _, server := range []string{"s1", "s2"} {
		first.crash(t, deadly, server)
	}
	assert.Assert(t, first.isQuarantined(deadly))
	eventually(t, "the keys to be saved", func() bool { return store.Count("quarantined-keys") > 0 })
	time.Sleep(time.Second)
	first.kill()

	second := start(t, "h2", store)
	eventually(t, "the evidence to be read", func() bool { return second.isQuarantined(deadly) })
	assert.Assert(t, !second.isQuarantined(sound))

	// The quarantine ends for good with the answer to a trial.
	second.later.Add(int64(10 * time.Minute))
	r := second.Enter("r", deadly, func() {})
	assert.NilError(t, r.Send(t.Context(), "s3"))
	r.Answered()
	eventually(t, "the keys to be removed", func() bool { return store.Count("quarantined-keys") == 0 })
	second.kill()
	third := start(t, "h3", store)
	time.Sleep(time.Second)
	assert.Assert(t, !third.isQuarantined(deadly))
}

// TestOutageOfTheStoreDelaysEvidence checks that evidence is read and saved once the store is back.
func TestOutageOfTheStoreDelaysEvidence(t *testing.T) {
	store := plat.NewStore()
	defer store.Close()
	store.PutText("quarantined-keys", "not a key", []byte(`{}`))
	store.PutText("quarantined-keys", "00000000000000ff", []byte(`[]`))
	deadly := crash.NewKeys([]string{"dead", "own"}, 1)
	store.SetOutage(plat.Busy)
	first := start(t, "h1", store)
	for _, server := range []string{"s1", "s2"} {
		first.crash(t, deadly, server)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, store.Count("quarantined-keys"), 2)
	store.SetOutage(plat.Up)
	eventually(t, "the key to be saved", func() bool { return store.Count("quarantined-keys") > 2 })
	time.Sleep(time.Second)
	first.kill()
	second := start(t, "h2", store)
	eventually(t, "the evidence to be read", func() bool { return second.isQuarantined(deadly) })
}

// TestOldEvidenceIsRemoved checks that entries of keys that nobody has asked for in a long time do not stay.
func TestOldEvidenceIsRemoved(t *testing.T) {
	store := plat.NewStore()
	defer store.Close()
	store.Put("quarantined-keys", "00000000000000ff", map[string]any{
		"written_ms": time.Now().Add(-time.Hour).UnixMilli(), "answer_age_ms": -1, "trial_age_ms": -1,
		"crashes": []map[string]any{{"server": "s1", "age_ms": 5000}, {"server": "s2", "age_ms": 1000}},
	})
	h := start(t, "h1", store)
	eventually(t, "the entry to be removed", func() bool { return store.Count("quarantined-keys") == 0 })
	assert.Equal(t, h.Quarantined(), 0)
}

// TestOddEntriesDoNoHarm checks entries that another writer may leave beside one of a host.
func TestOddEntriesDoNoHarm(t *testing.T) {
	store := plat.NewStore()
	defer store.Close()
	crashes := func(age string) string {
		return `[{"server":"s1","age_ms":` + age + `},{"server":"s2","age_ms":` + age + `9}]`
	}
	for i, spec := range []string{
		`{}`, `null`, `7`, `{"written_ms":"x"}`, `{"crashes":[{}]}`, `{"crashes":[null,null,null,null,null,null,null,null]}`,
		`{"written_ms":9223372036854775807,"crashes":` + crashes("922337203685477580") + `}`,
		`{"written_ms":-9223372036854775808,"crashes":` + crashes("1") + `}`,
		`{"crashes":` + crashes("-5") + `,"trials":9223372036854775807,"trial_age_ms":9223372036854775807}`,
		`{"written_ms":1e400,"crashes":[]}`,
	} {
		store.PutText("quarantined-keys", fmt.Sprintf("%016x", i+1), []byte(spec))
	}
	store.Put("quarantined-keys", "00000000000000ff", map[string]any{
		"written_ms": time.Now().UnixMilli(), "answer_age_ms": -1, "trial_age_ms": -1,
		"crashes": []map[string]any{{"server": "s1", "age_ms": 5000}, {"server": "s2", "age_ms": 1000}},
	})
	h := start(t, "h1", store)
	eventually(t, "the sound entry to be read", func() bool { return h.Quarantined() > 0 })
	assert.Equal(t, h.Quarantined(), 1)
	assert.Assert(t, h.isQuarantined(crash.Keys{Whole: 0xff}))
}

// TestKeysAreWrittenAgainAfterAReturn guards against quarantined keys that a copy of the store lacks, and against released ones that it holds:
// they would be lost, or refused again, after a kill of all hosts.
func TestKeysAreWrittenAgainAfterAReturn(t *testing.T) {
	// rewriteTime is the time in which the hosts write again after the store's return.
	const rewriteTime = 2 * time.Second
	deadly := crash.NewKeys([]string{"dead", "own"}, 1)
	for _, tc := range []struct {
		name string
		// isReleased is whether the quarantine ends between the copy and the return; otherwise it begins then.
		isReleased bool
	}{
		{"a key that the copy lacks", false},
		{"a released key that the copy holds", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			store := plat.NewStore()
			defer store.Close()
			store.NameEras()
			count := func() int { return store.Count("quarantined-keys") }
			h := start(t, "h1", store)
			empty := store.Copy()
			for _, server := range []string{"s1", "s2"} {
				h.crash(t, deadly, server)
			}
			eventually(t, "the key to be saved", func() bool { return count() > 0 })
			time.Sleep(time.Second)
			saved, copied, want := count(), empty, count()
			if tc.isReleased {
				copied, want = store.Copy(), 0
				h.later.Add(int64(10 * time.Minute))
				r := h.Enter("r", deadly, func() {})
				assert.NilError(t, r.Send(t.Context(), "s3"))
				r.Answered()
				eventually(t, "the key to be removed", func() bool { return count() == 0 })
			}
			store.Return(copied)
			assert.Assert(t, count() != want)
			calls := store.Calls()
			assert.NilError(t, h.eras.Observe(store.Era()))
			returned := time.Now()
			eventually(t, "the hosts to write again", func() bool { return count() == want })
			assert.Assert(t, time.Since(returned) < rewriteTime, "%s", time.Since(returned))
			time.Sleep(time.Second)
			// A key that exists is created and then replaced.
			assert.Assert(t, store.Calls()-calls <= 2*saved, "%d calls for %d keys", store.Calls()-calls, saved)
		})
	}
}
