package board

import "sync"

// Process is the state of this host's process; its zero value is a process that is starting.
type Process struct {
	mu       sync.Mutex
	ready    bool
	draining bool
	out      bool
	active   int
}

// SetReady records that the host has received the configuration.
func (p *Process) SetReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
}

// SetDraining records that the host is about to stop.
func (p *Process) SetDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// SetOut records whether operators have taken the host's failure domain out of service.
func (p *Process) SetOut(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = out
}

// IsReady reports whether the balancer may send callers to this host.
func (p *Process) IsReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready && !p.draining && !p.out
}

// IsDraining reports whether the host is about to stop.
func (p *Process) IsDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// Enter counts a request as in progress until the returned function is called.
func (p *Process) Enter() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.active--
	}
}

// Active returns the number of requests in progress.
func (p *Process) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}
