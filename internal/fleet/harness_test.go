package fleet_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/cmds"
	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	childVariable = "TARRAGONSPUR_FLEET_CHILD"
	callerKey     = "fleet-caller"
	operatorKey   = "fleet-operator"
	startTimeout  = 20 * time.Second
	model         = "modelo"
	service       = "club-app"
	// killSignal ends a process at once.
	killSignal = syscall.SIGKILL
)

// TestMain runs the program itself when the test binary is started as a child process.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(cmds.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a child process and its output.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	mu     sync.Mutex
	output bytes.Buffer
}

// startProcess starts the program with the arguments and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	executable, err := os.Executable()
	assert.NilError(t, err)
	p := &process{cmd: exec.CommandContext(context.Background(), executable, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), childVariable+"=1")
	reader, writer := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	assert.NilError(t, p.cmd.Start())
	go func() {
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			p.mu.Lock()
			p.output.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
		}
	}()
	go func() {
		defer close(p.exited)
		p.err = p.cmd.Wait()
		_ = writer.Close()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// outputText returns what the process has printed so far.
func (p *process) outputText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// waitForOutput waits until the output matches the pattern and returns the first group.
func (p *process) waitForOutput(t *testing.T, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if m := re.FindStringSubmatch(p.outputText()); m != nil {
			return m[1]
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("process did not print %q:\n%s", pattern, p.outputText())
	return ""
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

func (p *process) waitForExit(t *testing.T, timeout time.Duration) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.err
	case <-time.After(timeout):
		t.Fatalf("process did not exit within %s:\n%s", timeout, p.outputText())
		return nil
	}
}

// entryHost is one running host.
type entryHost struct {
	*process
	name          string
	domain        string
	callersAddr   string
	operatorsAddr string
	// unlisted is set while the balancer does not list the host, before it is ready and while it stops.
	unlisted atomic.Bool
}

// fleet is a deployment of real processes.
type fleet struct {
	t     *testing.T
	store string
	// mu guards hosts, to which a test may add while callers send.
	mu      sync.Mutex
	hosts   []*entryHost
	engines []string
	servers []string
}

// location is a failure domain and its region.
type location struct{ domain, region string }

func locations() []location {
	return []location{{"cordoba", "norte"}, {"salta", "norte"}, {"neuquen", "sur"}}
}

// newFleet starts a store, engines, plain backend servers and hosts, and waits until all hosts are ready.
func newFleet(t *testing.T, hosts, engines, servers int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.store = startProcess(t, "standin", "store", "--reads-per-second", "2000", "--writes-per-second", "300").waitForOutput(t, `(127\.0\.0\.1:\d+)`)
	for range engines {
		f.engines = append(f.engines, startProcess(t, "standin", "engine", "--model", model).waitForOutput(t, `(127\.0\.0\.1:\d+)`))
	}
	for i := range servers {
		f.servers = append(f.servers, startProcess(t, "standin", "service", "--name", fmt.Sprintf("server-%d", i)).waitForOutput(t, `(127\.0\.0\.1:\d+)`))
	}
	for i := range hosts {
		f.startHost(i)
	}
	f.putTable(f.table())
	for _, h := range f.hosts {
		f.waitReady(h)
	}
	return f
}

// startHost starts a host and adds it to the platform's host list. It does not wait until the host is ready.
func (f *fleet) startHost(i int) *entryHost {
	f.t.Helper()
	location := locations()[i%len(locations())]
	name := fmt.Sprintf("entry-%d", i)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s := config.Default()
	s.Host, s.Domain, s.Region = name, location.domain, location.region
	s.Callers, s.Operators, s.Peers, s.Metrics = loopback, loopback, loopback, loopback
	s.Store = netip.MustParseAddrPort(f.store)
	s.Timing.BalancerLag = config.Duration(300 * time.Millisecond)
	s.OperatorKeys = []config.OperatorKey{{Name: "operator", Hash: devel.HashKey(operatorKey), Scopes: []string{"read", "table", "domains"}}}
	text, err := json.Marshal(s)
	assert.NilError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "settings.jsonc")
	assert.NilError(f.t, os.WriteFile(path, text, 0o600))
	p := startProcess(f.t, "serve", "--settings", path)
	h := &entryHost{
		process: p, name: name, domain: location.domain,
		callersAddr:   p.waitForOutput(f.t, `callers=(\S+)`),
		operatorsAddr: p.waitForOutput(f.t, `operators=(\S+)`),
	}
	h.unlisted.Store(true)
	hostEntry := object.Host{Name: name, Domain: location.domain, Region: location.region, Address: netip.MustParseAddrPort(p.waitForOutput(f.t, `peers=(\S+)`))}
	f.putControl(f.store, "/control/hosts", hostEntry)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	return h
}

// putControl sends a value to a control path of a stand-in.
func (f *fleet) putControl(addr, path string, value any) {
	f.t.Helper()
	text, err := json.Marshal(value)
	assert.NilError(f.t, err)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, "http://"+addr+path, bytes.NewReader(text))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Assert(f.t, resp.StatusCode < 300, "control %s: %s", path, resp.Status)
}

func (f *fleet) table() config.Table {
	t := config.Table{
		Services: []config.Service{
			{Name: model, Kind: config.ServiceModel, Model: model},
			{Name: service, Kind: config.ServicePlain, Routes: []config.Route{{Method: http.MethodGet, Path: "/catalogue", Repeatable: true}}},
		},
		Workspaces: []config.Workspace{{Name: "members", KeyHashes: []string{devel.HashKey(callerKey)}}},
		Rows: []config.Row{
			{Workspace: "members", Service: model, Weight: 1, Lend: true},
			{Workspace: "members", Service: service, Weight: 1, Lend: true},
		},
	}
	for i, addr := range f.engines {
		t.Backends = append(t.Backends, config.Backend{
			Name: fmt.Sprintf("engine-%d", i), Service: model, Domain: locations()[i%len(locations())].domain,
			Address: netip.MustParseAddrPort(addr), MaxRunning: 32, MemoryTokens: 65536,
		})
	}
	for i, addr := range f.servers {
		t.Backends = append(t.Backends, config.Backend{
			Name: fmt.Sprintf("server-%d", i), Service: service, Domain: locations()[i%len(locations())].domain,
			Address: netip.MustParseAddrPort(addr), MaxRunning: 32,
		})
	}
	return t
}

// callOperators sends one request to a host's operators' interface and returns the status, the Etag and the body.
func (f *fleet) callOperators(h *entryHost, method, path, ifMatch string, body []byte) (int, string, []byte) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+h.operatorsAddr+"/admin/v1"+path, bytes.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode, resp.Header.Get("Etag"), text
}

func (f *fleet) putTable(t config.Table) {
	f.t.Helper()
	text, err := json.Marshal(t)
	assert.NilError(f.t, err)
	_, version, _ := f.callOperators(f.hosts[0], http.MethodGet, "/table", "", nil)
	if version == "" {
		version = `"0"`
	}
	status, _, answer := f.callOperators(f.hosts[0], http.MethodPut, "/table", version, text)
	assert.Assert(f.t, status < 300, "%d: %s", status, answer)
}

// waitReady waits until a host is ready; from then on the balancer lists it.
func (f *fleet) waitReady(h *entryHost) {
	f.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if status := f.readiness(h); status == http.StatusOK {
			h.unlisted.Store(false)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s is not ready:\n%s", h.name, h.outputText())
}

// readiness returns the status of a host's readiness check, or 0 without a response.
func (f *fleet) readiness(h *entryHost) int {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+h.callersAddr+"/readyz", nil)
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runs returns the body of each run at the plain backend servers.
func (f *fleet) runs() []string {
	f.t.Helper()
	var all []string
	for _, addr := range f.servers {
		req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+addr+"/control/runs", nil)
		assert.NilError(f.t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(f.t, err)
		var runs []struct {
			Body string `json:"body"`
		}
		assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&runs))
		_ = resp.Body.Close()
		for _, r := range runs {
			all = append(all, strings.TrimSpace(r.Body))
		}
	}
	return all
}
