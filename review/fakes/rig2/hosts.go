package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// The bounds of the small site hallowbrook-trials.
const (
	contact      = 4000 * time.Millisecond
	configApply  = 2500 * time.Millisecond
	grace        = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	memoryMB     = 134
	retryExtra   = 54
	revoke       = 5000 * time.Millisecond
	drainTimeout = 2500 * time.Millisecond
)

// host is one entry host: the project's own program as a process.
type host struct {
	name, callers, ready string
	settings             string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// isClosed is set at the end of the case, after which the process is not started again.
	isClosed bool
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// writeSettings writes the settings of hosts of one zone, at 127.0.9.1 and on, as the template of the deploy file renders them; stores
// are the addresses at which they reach the store.
func writeSettings(folder string, stores []string) ([]*host, error) {
	hosts := make([]*host, len(stores))
	peers, metrics := freePort("127.0.9.1"), freePort("127.0.9.1")
	var seeds []string
	for i := range min(len(stores), 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.9.%d:8748", i+1))
	}
	for i := range hosts {
		ip := fmt.Sprintf("127.0.9.%d", i+1)
		h := &host{name: fmt.Sprintf("edge-trent-mill-%d", i+1), callers: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
		h.settings = filepath.Join(folder, h.name+".jsonc")
		text, err := json.Marshal(map[string]any{
			"host": h.name, "domain": "trent-mill", "region": "midlands-east", "callers": h.callers,
			"peers": fmt.Sprintf("%s:%d", ip, peers), "metrics": fmt.Sprintf("%s:%d", ip, metrics), "store": stores[i],
			"platform": map[string]any{
				"ready": h.ready, "regions": map[string]string{"trent-mill": "midlands-east", "severn-yard": "midlands-west", "soar-lab": "midlands-east"},
				"key_age": ms(revoke), "table_apply": ms(configApply), "retry_ratio": 0.2, "retry_extra": retryExtra, "retry_window": "10s",
				"grace": ms(grace), "seeds": seeds, "cores": 0.4, "memory_mb": memoryMB, "fair_shares": true, "even_load": true,
			},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(h.settings, text, 0o600); err != nil {
			return nil, err
		}
		hosts[i] = h
	}
	return hosts, nil
}

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// start starts the host with the command of the deploy file; its log goes into the folder of its settings.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/tarragonspur", "serve")
	cmd.Env = append(os.Environ(), "TARRAGONSPUR_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
	return nil
}

// process returns the host's process and a channel that is closed when it has ended; nil before the first start.
func (h *host) process() (*os.Process, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil, nil
	}
	return h.cmd.Process, h.ended
}

func (h *host) signal(s syscall.Signal) {
	if p, _ := h.process(); p != nil {
		_ = p.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if p, ended := h.process(); p != nil {
		_ = p.Kill()
		<-ended
	}
}

// isReady asks the host's readiness address as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/tarragonspur/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

// close ends the process for good, and keeps its log in the folder KEEP_LOGS if that is set.
func (h *host) close() {
	h.mu.Lock()
	h.isClosed = true
	h.mu.Unlock()
	h.kill()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if text, err := os.ReadFile(h.settings + ".log"); err == nil {
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), text, 0o600)
		}
	}
}

// ownMemory returns the bytes of memory that the process has for itself: anonymous pages, without those of its program file.
func (h *host) ownMemory() int64 {
	p, _ := h.process()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, found := strings.CutPrefix(string(line), "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
