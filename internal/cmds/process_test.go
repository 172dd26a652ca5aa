package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/cmds"
	"github.com/tarragonspur/tarragonspur/internal/devel"
	"github.com/tarragonspur/tarragonspur/internal/survey"
)

// envArgs makes the test binary run one command line instead of the tests.
const envArgs = "TARRAGONSPUR_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(envArgs); args != "" {
		os.Exit(cmds.Execute(strings.Split(args, "\n"), os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a command that runs in its own process, with its output in a file.
type process struct {
	cmd        *exec.Cmd
	outputFile string
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{outputFile: filepath.Join(t.TempDir(), "out")}
	file, err := os.Create(p.outputFile)
	assert.NilError(t, err)
	p.cmd = exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0])
	p.cmd.Env = append(os.Environ(), envArgs+"="+strings.Join(args, "\n"))
	p.cmd.Stdout, p.cmd.Stderr = file, file
	assert.NilError(t, p.cmd.Start())
	assert.NilError(t, file.Close())
	t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// waitForOutput waits until the process's output matches the pattern and returns the match of its first group.
func (p *process) waitForOutput(t *testing.T, pattern string) string {
	t.Helper()
	found := ""
	check := func(poll.LogT) poll.Result {
		text, err := os.ReadFile(p.outputFile)
		if err != nil {
			return poll.Error(err)
		}
		match := regexp.MustCompile(pattern).FindSubmatch(text)
		if match == nil {
			return poll.Continue("%q not in %q", pattern, text)
		}
		found = string(match[1])
		return poll.Success()
	}
	poll.WaitOn(t, check, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	return found
}

// cluster is a store and entry hosts that run as real processes.
type cluster struct {
	store         string
	hosts         map[string]*process
	settingsFiles map[string]string
}

func (v *cluster) control(t *testing.T, path, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+v.store+"/control/"+path, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.StatusCode < http.StatusMultipleChoices, "%s", resp.Status)
}

// serve starts a host. A host that is started again gets the same peer address as before.
func (v *cluster) serve(t *testing.T, name string) {
	t.Helper()
	v.hosts[name] = start(t, "serve", "--settings", v.settingsFiles[name])
	peers := v.hosts[name].waitForOutput(t, `peers=([0-9.:]+)`)
	text, err := os.ReadFile(v.settingsFiles[name])
	assert.NilError(t, err)
	text = bytes.Replace(text, []byte(`"peers":"127.0.0.1:0"`), []byte(`"peers":"`+peers+`"`), 1)
	assert.NilError(t, os.WriteFile(v.settingsFiles[name], text, 0o600))
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	v := &cluster{hosts: make(map[string]*process), settingsFiles: make(map[string]string)}
	v.store = start(t, "standin", "store", "--listen", "127.0.0.1:0").waitForOutput(t, `(127\.0\.0\.1:\d+)`)
	for _, domain := range []string{"cordoba", "salta", "neuquen"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i)
			v.settingsFiles[name] = filepath.Join(t.TempDir(), name+".json")
			text := fmt.Sprintf(`{"host":%q,"domain":%q,"region":"norte","callers":"127.0.0.1:0","operators":"127.0.0.1:0",
"peers":"127.0.0.1:0","metrics":"127.0.0.1:0","store":%q,"timing":{"balancer_lag":"0s"},
"operator_keys":[{"name":"ana","hash":%q,"scopes":["read","table","domains"]}]}`, name, domain, v.store, devel.HashKey(devel.OperatorKey))
			assert.NilError(t, os.WriteFile(v.settingsFiles[name], []byte(text), 0o600))
			v.serve(t, name)
			peers := v.hosts[name].waitForOutput(t, `peers=([0-9.:]+)`)
			v.control(t, "hosts", fmt.Sprintf(`{"name":%q,"domain":%q,"region":"norte","address":%q}`, name, domain, peers))
		}
	}
	return v
}

// operator returns an operator that connects to the named host.
func (v *cluster) operator(t *testing.T, host string) operator {
	t.Helper()
	return operator{address: v.hosts[host].waitForOutput(t, `operators=([0-9.:]+)`)}
}

// waitForStatus polls the status at one host until it meets a condition; it fails the test after the given time.
func waitForStatus(t *testing.T, o operator, within time.Duration, isMet func(admin.Status) bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		_, out, errOut := o.run("status", "-o", "json")
		var s admin.Status
		if err := json.Unmarshal([]byte(out), &s); err != nil {
			return poll.Continue("%s", errOut)
		}
		if !isMet(s) {
			return poll.Continue("%s", out)
		}
		return poll.Success()
	}
	poll.WaitOn(t, check, poll.WithTimeout(within), poll.WithDelay(50*time.Millisecond))
}

// allHosts returns the condition that so many hosts are reached, all with this version in force and each ready exactly if
// isReady says so, and that none is unreachable.
func allHosts(hosts int, version change.Version, isReady func(survey.Status) bool) func(admin.Status) bool {
	return func(s admin.Status) bool {
		count := 0
		for _, h := range s.Hosts {
			if h.Reached && h.Version == version && h.Ready == isReady(h) {
				count++
			}
		}
		return count == hosts && len(s.Unreached) == 0
	}
}

func isAlwaysReady(survey.Status) bool { return true }

func (o operator) mustRun(t *testing.T, args ...string) {
	t.Helper()
	code, _, errOut := o.run(args...)
	assert.Equal(t, code, 0, errOut)
}

func TestRealProcessesKeepTheConfiguration(t *testing.T) {
	const configTimeout = 3 * time.Second
	v := startCluster(t)
	o := v.operator(t, "cordoba-0")
	waitForStatus(t, o, 20*time.Second, allHosts(6, 0, isAlwaysReady))

	applyFirst := operator{address: o.address, stdin: `{"services":[{"name":"modelo","kind":"model","model":"modelo"}],"workspaces":[],"backends":[],"rows":[]}`}
	applyFirst.mustRun(t, "table", "apply", "-", "--version", "0")
	for _, domain := range []string{"cordoba", "salta"} {
		o.mustRun(t, "backend", "create", "modelo-"+domain, "--service", "modelo", "--domain", domain, "--at", "127.0.0.1:9", "--max-running", "4", "--memory-tokens", "100")
	}
	o.mustRun(t, "domain", "out", "salta")
	waitForStatus(t, o, configTimeout, allHosts(6, 4, func(h survey.Status) bool { return h.Domain != "salta" }))

	// A host that is killed while the store is down restarts with the configuration of its peers.
	v.control(t, "faults", `{"down":true}`)
	v.hosts["neuquen-1"].kill()
	v.serve(t, "neuquen-1")
	waitForStatus(t, v.operator(t, "neuquen-1"), 10*time.Second, func(s admin.Status) bool { return s.Version == 4 })
	code, _, errOut := o.run("domain", "in", "salta")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(errOut, "nothing was changed"), errOut)

	// The store's answer to the first write after the outage is lost; the change is still made only once.
	v.control(t, "faults", `{"lose_answers":1}`)
	o.mustRun(t, "domain", "in", "salta")
	waitForStatus(t, o, configTimeout, allHosts(6, 5, isAlwaysReady))

	// A paused host catches up after it resumes, even if the other hosts declared it dead meanwhile.
	paused := v.hosts["neuquen-0"].cmd.Process
	assert.NilError(t, paused.Signal(syscall.SIGSTOP))
	o.mustRun(t, "workspace", "create", "club")
	time.Sleep(time.Second)
	assert.NilError(t, paused.Signal(syscall.SIGCONT))
	waitForStatus(t, v.operator(t, "neuquen-0"), configTimeout, func(s admin.Status) bool { return s.Version == 6 })

	// The audit trail holds each change once.
	_, out, _ := o.run("audit", "-o", "json")
	var auditTrail []change.Change
	assert.NilError(t, json.Unmarshal([]byte(out), &auditTrail))
	for i, c := range auditTrail {
		assert.Equal(t, c.Version, change.Version(6-i))
	}
	assert.Equal(t, len(auditTrail), 6)

	stopped := v.hosts["salta-1"].cmd
	assert.NilError(t, stopped.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, stopped.Wait())
}
