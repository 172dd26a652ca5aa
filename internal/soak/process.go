package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	pollPeriod = 30 * time.Millisecond
	// stopLimit exceeds the grace period of the hosts.
	stopLimit = 8 * time.Second
	// lastWordsBytes is the part of a host's log that an error shows.
	lastWordsBytes = 600
)

// process is one entry host as a process of its own.
type process struct {
	settings config.Settings
	binary   string

	mu    sync.Mutex
	dir   string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start runs the host; a process that still runs is left alone.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return errors.Wrap(err, "make directory for settings")
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
	cmd := exec.Command(p.binary, "serve", "--settings", file) //nolint:noctx // ended by signals, as on the platform
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	// The process has a descriptor of its own.
	_ = log.Close()
	if err != nil {
		return errors.Wrap(err, "start host")
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		defer close(ended)
		// How the process ended is seen by its callers.
		_ = cmd.Wait()
	}(p.ended)
	return nil
}

func (p *process) logFile() string { return filepath.Join(p.dir, "host.log") }

// lastWords is the end of the host's log.
func (p *process) lastWords() string {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-lastWordsBytes):])
}

// signal sends a signal to the process if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// A process that has ended needs no signal.
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process at once; terminate lets it end by itself first.
func (p *process) kill() { p.finish(syscall.SIGKILL) }

func (p *process) terminate() { p.finish(syscall.SIGTERM) }

func (p *process) finish(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopLimit):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == ended {
		// Another one that waited for the same end may have started the next process already.
		p.cmd, p.ended = nil, nil
	}
}

// end kills the process and removes what it left.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.kill()
	_ = os.RemoveAll(p.dir)
}

// awaitReady waits until the host's readiness check succeeds.
func (p *process) awaitReady(ctx context.Context) error {
	if err := httpd.AwaitOK(ctx, "http://"+p.settings.Platform.Ready.String()+"/", pollPeriod); err != nil {
		return errors.Wrapf(err, "host %s is not ready; its log ends with %q", p.settings.Host, p.lastWords())
	}
	return nil
}
