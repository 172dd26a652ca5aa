package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// host is one entry host, a process of the project's own program.
type host struct {
	name, domain, region, ip string
	settings                 string
	log                      *os.File
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

// bounds are those of the smallest installations on the users' pages.
const bounds = `"key_age": "5000ms", "table_apply": "2500ms", "server_apply": "2500ms",
    "retry_ratio": 0.2, "retry_extra": 54, "retry_window": "10s", "grace": "8s", "cores": 0.4, "memory_mb": 134, "fair_shares": true, "even_load": true`

// ports are the same at all hosts.
type ports struct{ callers, peers, metrics, ready, control int }

func freePorts(ip string) ports {
	var all [5]int
	for i := range all {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer func() { _ = l.Close() }()
		all[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{all[0], all[1], all[2], all[3], all[4]}
}

func newHost(dir, name, domain, region, ip string, p ports, storeAddress string, seeds []string) *host {
	quoted := []string{}
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(fmt.Sprintf("%s:%d", s, p.control)))
	}
	h := &host{name: name, domain: domain, region: region, ip: ip, settings: filepath.Join(dir, name+".jsonc")}
	text := fmt.Sprintf(`{"host": %q, "domain": %q, "region": %q, "callers": "%s:%d", "peers": "%s:%d", "metrics": "%s:%d", "store": %q,
  "platform": {"ready": "%s:%d", "regions": {"z1":"east","z2":"west","z3":"east"}, "seeds": [%s],
    %s}}`, name, domain, region, ip, p.callers, ip, p.peers, ip, p.metrics, storeAddress, ip, p.ready, strings.Join(quoted, ","), bounds)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	h.log, _ = os.Create(filepath.Join(dir, name+".log"))
	return h
}

func (h *host) start() error {
	h.cmd = exec.Command("target/tarragonspur", "serve")
	h.cmd.Env = []string{"TARRAGONSPUR_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); close(ended) }(h.cmd, h.ended)
	return nil
}

func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	<-h.ended
}

func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

func (h *host) awaitReady(p ports, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady(p) {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

func (h *host) isReady(p ports) bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/tarragonspur/readyz", h.ip, p.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}
