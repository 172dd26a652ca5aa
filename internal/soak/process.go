package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	pollPeriod = 30 * time.Millisecond
	// stopTimeout exceeds the grace period of the hosts.
	stopTimeout = 8 * time.Second
	// logTailBytes is the part of a host's log that an error shows.
	logTailBytes = 600
)

// process is an entry host that runs as an operating system process.
type process struct {
	// index is the host's position among the hosts of its soak.
	index    int
	settings config.Settings
	binary   string

	mu     sync.Mutex
	starts []time.Time
	dir    string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the host unless it is already running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return errors.Wrap(err, "create settings directory")
		}
		p.dir = dir
	}
	text, err := json.Marshal(p.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(p.dir, "settings.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(p.binary, "serve", "--settings", file) //nolint:noctx // stopped by signals, as on the platform
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	// The child process has its own file descriptor.
	_ = log.Close()
	if err != nil {
		return errors.Wrap(err, "start host")
	}
	p.starts = append(p.starts, time.Now())
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		defer close(exited)
		// The exit status is ignored: the callers' outcomes show a failed host.
		_ = cmd.Wait()
	}(p.exited)
	return nil
}

// wasStarted reports whether the host was started between two moments.
func (p *process) wasStarted(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.starts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

func (p *process) logFile() string { return filepath.Join(p.dir, "host.log") }

// logTail returns the last logTailBytes of the host's log, or the error of reading it.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// signal sends a signal to the process if it has been started.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// A process that has already exited needs no signal.
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill stops the process with SIGKILL.
func (p *process) kill() { p.stop(syscall.SIGKILL) }

// terminate stops the process with SIGTERM, and with SIGKILL after stopTimeout.
func (p *process) terminate() { p.stop(syscall.SIGTERM) }

func (p *process) stop(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == exited {
		// Another goroutine that waited for the same exit may have started the next process already.
		p.cmd, p.exited = nil, nil
	}
}

// cleanUp kills the process, also if it is paused, and removes its directory.
func (p *process) cleanUp() {
	p.signal(syscall.SIGCONT)
	p.kill()
	_ = os.RemoveAll(p.dir)
}

// awaitReady polls the host's readiness check until it succeeds or ctx ends.
func (p *process) awaitReady(ctx context.Context) error {
	if err := httpd.AwaitOK(ctx, "http://"+p.settings.Platform.Ready.String()+"/", pollPeriod); err != nil {
		return errors.Wrapf(err, "host %s is not ready; its log ends with %q", p.settings.Host, p.logTail())
	}
	return nil
}
