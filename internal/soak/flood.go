package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// floodStream is the stream of random numbers of the floods.
	floodStream = 1 << 34
	// floodCallers is the number of connections of one flood, and floodRedial the pause before a closed one is opened again.
	floodCallers = 150
	floodRedial  = 200 * time.Millisecond
	// floodLines is the number of short lines of a large head.
	floodLines = 5000
	// floodMemoryMB is the memory of the smallest machines.
	floodMemoryMB = 88
	// memoryPeriod is how often the hosts' memory is read.
	memoryPeriod = 50 * time.Millisecond
)

// floods lists the kinds of callers that leave what they send unfinished, or do not read.
func floods() []fault {
	head := func(method, path string) string {
		var b strings.Builder
		fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: %s\r\n", method, path, town.Host)
		_ = town.CallerHeader("flood", path).Write(&b)
		return b.String()
	}
	var lines strings.Builder
	for i := range floodLines {
		lines.WriteString(strconv.FormatInt(int64(36*36+i), 36) + ":\n")
	}
	return []fault{
		flood("unfinished heads", head("GET", town.ReadPath)+lines.String()),
		flood("large heads without bodies", head("POST", town.ReadPath)+"Content-Length: 9\r\n"+lines.String()+"\r\n"),
		flood("heads over the limit", head("GET", town.ReadPath)+"a: "+strings.Repeat("x", 1<<18)),
		flood("empty lines", strings.Repeat("\r\n", 1000)),
		flood("bodies that do not come", head("POST", town.ReadPath)+"Content-Length: 9\r\n\r\n"),
		flood("connections without a request", ""),
	}
}

// flood returns a fault that opens connections to one of a host's addresses and sends the text on each.
func flood(name, text string) fault {
	return fault{"flood of " + name, func(s *Soak, r *rand.Rand) func() {
		settings := s.hosts[r.IntN(len(s.hosts))].settings
		addresses := []netip.AddrPort{settings.Callers, settings.Platform.Ready, settings.Metrics, settings.Peers}
		at := addresses[r.IntN(len(addresses))].String()
		ctx, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for range floodCallers {
			callers.Go(func() {
				for ctx.Err() == nil {
					sendAndWait(ctx, at, text)
					ticks.Sleep(ctx, floodRedial)
				}
			})
		}
		return func() {
			cancel()
			callers.Wait()
		}
	}}
}

// sendAndWait sends a text on a new connection and waits until that is closed or ctx ends.
func sendAndWait(ctx context.Context, at, text string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", at)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// memoryWatch keeps the most memory that a host took.
type memoryWatch struct {
	host            string
	mostMB, limitMB int64
}

// watchMemory reads the hosts' resident memory until ctx ends.
func (s *Soak) watchMemory(ctx context.Context) {
	w := &s.memory
	for ticks.Sleep(ctx, memoryPeriod) {
		for _, h := range s.hosts {
			if memory, ok := h.memoryMB(); ok && memory > w.mostMB {
				w.mostMB, w.host, w.limitMB = memory, h.settings.Host, h.settings.Platform.MemoryMB
			}
		}
	}
}

// violations lists a host that took more memory than its settings state.
func (w *memoryWatch) violations() []string {
	if w.mostMB <= w.limitMB {
		return nil
	}
	return []string{fmt.Sprintf("host %s took %d MB of memory, %d are allowed", w.host, w.mostMB, w.limitMB)}
}

// memoryMB returns the resident memory of the process in megabytes; false if it is not running.
func (p *process) memoryMB() (int64, bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0, false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, false
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes >> 10, err == nil
}
