package host_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/host"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	roleVariable = "TARRAGONSPUR_TEST_ROLE"
	roleEngine   = "engine"
	roleCallers  = "callers"
	tokenPeriod  = 10 * time.Millisecond
	streamTokens = 300
)

// TestMain runs the engine and the callers as child processes of the test binary, so that the benchmark's own process
// spends processor time only on the host.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleEngine:
		engineMain()
	case roleCallers:
		callersMain()
	default:
		os.Exit(m.Run())
	}
}

// engineMain is the engine's process. It prints its address, and exits when its standard input is closed.
func engineMain() {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It ends with the process.
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	_ = http.Serve(l, http.HandlerFunc(streamTimestamps)) //nolint:gosec // A fake on loopback.
}

// streamTimestamps answers a generation with tokens that carry their send time in Unix nanoseconds.
func streamTimestamps(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		_ = json.NewEncoder(w).Encode(engine.Load{Boot: "1", TotalTokens: 1 << 20})
		return
	}
	var request engine.Request
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	enc := json.NewEncoder(w)
	tick := time.NewTicker(tokenPeriod)
	defer tick.Stop()
	for i := range request.MaxTokens {
		f := engine.Frame{Request: request.ID, Generation: "g", Offset: i, Token: strconv.FormatInt(time.Now().UnixNano(), 10) + " "}
		if enc.Encode(f) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		<-tick.C
	}
	_ = enc.Encode(engine.Frame{Request: request.ID, Generation: "g", Offset: request.MaxTokens, Finish: "length"})
}

// delays holds the times from the engine's send to the caller's receipt of a token.
type delays struct {
	Tokens int     `json:"tokens"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
}

// callersMain is the callers' process. It opens streams at a host or directly at the engine and prints their delays as JSON.
func callersMain() {
	url, streams := os.Args[1], mustInt(os.Args[2])
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(i) * tokenPeriod / time.Duration(streams))
			got := measureDelays(url, i)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	group.Wait()
	slices.Sort(all)
	if len(all) == 0 {
		os.Exit(1)
	}
	quantile := func(q float64) float64 { return float64(all[int(q*float64(len(all)-1))]) / float64(time.Millisecond) }
	_ = json.NewEncoder(os.Stdout).Encode(delays{Tokens: len(all), P50MS: quantile(0.5), P99MS: quantile(0.99)})
}

func mustInt(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		os.Exit(1)
	}
	return n
}

func measureDelays(url string, i int) []time.Duration {
	body := fmt.Sprintf(`{"id":"r%d","model":"m","prompt":"p","max_tokens":%d,"stream":true}`, i, streamTokens)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var got []time.Duration
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		now := time.Now().UnixNano()
		if sent := parseTimestamp(lines.Bytes()); sent > 0 {
			got = append(got, time.Duration(now-sent))
		}
	}
	return got
}

// parseTimestamp returns the timestamp in a line of the host's or the engine's interface, or 0. Both write it as a
// quoted string that ends with a space.
func parseTimestamp(line []byte) int64 {
	end := bytes.Index(line, []byte(` "`))
	if end < 0 {
		return 0
	}
	start := bytes.LastIndexByte(line[:end], '"')
	n, err := strconv.ParseInt(string(line[start+1:end]), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

const callerKey = "bench-key"

func startEngine(b *testing.B) netip.AddrPort {
	b.Helper()
	executable, err := os.Executable()
	assert.NilError(b, err)
	cmd := exec.CommandContext(b.Context(), executable)
	cmd.Env = append(os.Environ(), roleVariable+"="+roleEngine)
	stdin, err := cmd.StdinPipe()
	assert.NilError(b, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(b, err)
	return netip.MustParseAddrPort(strings.TrimSpace(line))
}

func runCallers(b *testing.B, url string, streams int) delays {
	b.Helper()
	executable, err := os.Executable()
	assert.NilError(b, err)
	cmd := exec.CommandContext(b.Context(), executable, url, strconv.Itoa(streams))
	cmd.Env = append(os.Environ(), roleVariable+"="+roleCallers)
	cmd.Stderr = os.Stderr
	text, err := cmd.Output()
	assert.NilError(b, err)
	var d delays
	assert.NilError(b, json.Unmarshal(text, &d))
	assert.Equal(b, d.Tokens, streams*streamTokens)
	return d
}

// startHost runs a host in this process, with an in-memory store that lists the engine, and returns the address for callers.
func startHost(b *testing.B, engineAddr netip.AddrPort) netip.AddrPort {
	b.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	memory := &objapi.Memory{}
	err := devel.Seed(memory, change.State{Table: config.Table{
		Services:   []config.Service{{Name: "m", Kind: config.ServiceModel, Model: "m"}},
		Workspaces: []config.Workspace{{Name: "w", KeyHashes: []string{devel.HashKey(callerKey)}}},
		Backends:   []config.Backend{{Name: "e", Service: "m", Domain: "d", Address: engineAddr, MaxRunning: 1 << 12, ColdRunning: 1 << 12, MemoryTokens: 1 << 24}},
		Rows:       []config.Row{{Workspace: "w", Service: "m", Weight: 1, Lend: true}},
	}})
	assert.NilError(b, err)
	l, err := net.Listen("tcp", loopback.String()) //nolint:noctx // Closed with the benchmark.
	assert.NilError(b, err)
	platform := &objapi.Server{Memory: memory}
	store := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = store.Serve(l) }()
	s := config.Default()
	s.Host, s.Domain, s.Region = "h", "d", "r"
	s.Callers, s.Operators, s.Peers, s.Metrics = loopback, loopback, loopback, loopback
	s.Store = netip.MustParseAddrPort(l.Addr().String())
	s.Timing.BalancerLag = 0
	s.Timing.Heartbeat = config.Duration(50 * time.Millisecond)
	listeners, err := host.Listen(b.Context(), &s)
	assert.NilError(b, err)
	platform.Hosts.Put(object.Host{Name: s.Host, Domain: s.Domain, Region: s.Region, Address: s.Peers}, time.Now())
	h, err := host.Build(s, listeners, slog.New(slog.DiscardHandler))
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx, context.Background()) }()
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-ended)
		_ = store.Close()
	})
	for !h.Board.Process.IsReady() {
		time.Sleep(time.Millisecond)
	}
	return s.Callers
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay measures the processor time, the allocations and the delay that a host adds per token.
// 53 streams of 100 tokens a second are the peak load of one host at the size expected in two years.
func BenchmarkRelay(b *testing.B) {
	engineAddr := startEngine(b)
	callers := startHost(b, engineAddr)
	for _, streams := range []int{10, 53, 200} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			direct := runCallers(b, fmt.Sprintf("http://%s/v1/generations", engineAddr), streams)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpuUsed, start := cpuTime(), time.Now()
			tokens := 0
			var relayed delays
			for range b.N {
				relayed = runCallers(b, fmt.Sprintf("http://%s/v1/completions", callers), streams)
				tokens += relayed.Tokens
			}
			elapsed := time.Since(start)
			cpuUsed = cpuTime() - cpuUsed
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(cpuUsed.Microseconds())/float64(tokens), "cpu_us/token")
			b.ReportMetric(100*cpuUsed.Seconds()/elapsed.Seconds(), "core_%")
			b.ReportMetric(float64(tokens)/elapsed.Seconds(), "tokens/s")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(tokens), "alloc_B/token")
			b.ReportMetric(relayed.P99MS-direct.P99MS, "added_p99_ms")
		})
	}
}
