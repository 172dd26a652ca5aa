package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of every host; hosts differ in their addresses.
const (
	callerPort  = "8740"
	readyPort   = "8749"
	peerPort    = "7200"
	metricsPort = "9464"
	storePort   = "8742"
)

// host is one entry host: a process started with the command of the deploy file.
type host struct {
	rig      *rig
	name     string
	zone     string
	region   string
	ip       string
	cores    float64
	settings string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	// termAt is when the running process got SIGTERM; zero if it did not.
	termAt time.Time
	// isReady and misses are what the platform's readiness checks have seen.
	isReady    bool
	misses     int
	isRotating bool
}

// writeSettings renders the settings as the platform does from deploy/settings.jsonc.
func (h *host) writeSettings(seeds string) error {
	text := fmt.Sprintf(`{
  "host": %q, "domain": %q, "region": %q,
  "callers": "%s:%s", "peers": "%s:%s", "metrics": "%s:%s", "store": "%s:%s",
  "platform": {
    "ready": "%s:%s",
    "regions": {"trent-mill": "midlands-east", "soar-lab": "midlands-east", "severn-yard": "midlands-west"},
    "key_age": "5000ms", "table_apply": "2500ms",
    "retry_ratio": 0.2, "retry_extra": 54, "retry_window": "10s", "grace": "8s",
    "seeds": %s, "cores": %g, "memory_mb": 134
  }
}
`, h.name, h.zone, h.region, h.ip, callerPort, h.ip, peerPort, h.ip, metricsPort, h.rig.net+".2", storePort, h.ip, readyPort, seeds, h.cores)
	h.settings = filepath.Join(h.rig.dir, h.name+".jsonc")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.rig.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.rig.program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.rig.dir, "TARRAGONSPUR_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.cmd, h.exited, h.startedAt, h.termAt = cmd, exited, time.Now(), time.Time{}
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	if s == syscall.SIGTERM {
		h.termAt = time.Now()
	}
	_ = h.cmd.Process.Signal(s)
}

// restart sends SIGTERM, SIGKILL after the grace period, and starts the process again after a short delay, as the platform does.
func (h *host) restart(grace, delay time.Duration) error {
	h.rig.log("%s gets SIGTERM", h.name)
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		h.rig.log("%s has exited", h.name)
	case <-time.After(grace):
		h.rig.log("%s gets SIGKILL", h.name)
		h.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(delay)
	h.rig.log("%s starts again", h.name)
	return h.start()
}

// keepRunning starts the process again a short delay after it has ended by itself, as the platform does, until the returned function is called.
// It counts these ends.
func (h *host) keepRunning(ends *atomic.Int32) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			h.mu.Lock()
			exited := h.exited
			h.mu.Unlock()
			select {
			case <-exited:
			case <-done:
				return
			}
			ends.Add(1)
			h.rig.say("the process of %s has ended by itself", h.name)
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				h.rig.say("%s did not start: %v", h.name, err)
				return
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// kill ends the process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// check asks once whether the host is ready.
func (h *host) check() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(h.ip, readyPort) + "/tarragonspur/readyz")
	isReady := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isReady = isReady
	if isReady {
		h.misses, h.isRotating = 0, true
		return
	}
	if h.misses++; h.misses >= 2 {
		h.isRotating = false
	}
}

// pick returns the host that gets a new channel of a consumer in a zone, by the rules of the platform.
func (r *rig) pick(zone string, consumer int) *host {
	var all, rotating, others []*host
	for _, h := range r.hosts {
		h.mu.Lock()
		isRotating := h.isRotating
		h.mu.Unlock()
		switch {
		case h.zone == zone:
			all = append(all, h)
			if isRotating {
				rotating = append(rotating, h)
			}
		case isRotating && h.region == r.regionOf(zone):
			others = append(others, h)
		}
	}
	choice := rotating
	switch {
	case len(rotating) == 0 && len(others) > 0:
		choice = others
	case 2*len(rotating) < len(all):
		choice = all
	}
	return choice[consumer%len(choice)]
}

func (r *rig) regionOf(zone string) string {
	for _, h := range r.hosts {
		if h.zone == zone {
			return h.region
		}
	}
	return ""
}
