package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = slowBodies }

const (
	// slowChannels is the number of channels of consumers at one host, of the 3,900 descriptors that it has for sockets, and bodyBytes
	// the size of their bodies, of the 4 MiB that the manifest allows.
	slowChannels = 1800
	bodyBytes    = 64 << 10
	// rounds is how often a host's process must end for the rule to be broken.
	rounds = 3
)

// slowBodies has consumers whose bodies arrive slowly, at two hosts. As the platform does, it kills a process whose memory exceeds its
// limit, and starts it again. It counts how often that happens at each host.
func slowBodies(r *rig) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 4100 {
		return fmt.Errorf("a process may have %d descriptors only (%v)", limit.Cur, err)
	}
	app, err := startServer("i-5b2e7d10", "127.0.9.100", 6, map[string]work{"/plain/": {first: 30 * time.Millisecond}}, r.rec)
	if err != nil {
		return err
	}
	r.store.put("servers", app.id, app.entry("wuno96b", "trent-mill"))
	r.store.put("config", "main", manifest(7, 32, plain("r-plain", "/plain/")))
	if err := r.startHosts(2); err != nil {
		return err
	}
	var ends [2]atomic.Int64
	var most [2]atomic.Int64
	stop := make(chan struct{})
	var watches sync.WaitGroup
	for i, h := range r.hosts {
		watches.Go(func() { r.limitMemory(h, &ends[i], &most[i], stop) })
	}
	time.Sleep(contact + time.Second)
	var all sync.WaitGroup
	for i, h := range r.hosts {
		all.Go(func() {
			for round := range rounds {
				h.awaitReady(10 * time.Second)
				r.sendBodies(h, round, &ends[i])
				h.awaitReady(10 * time.Second)
				if o := (call{id: newID(), host: hostName, path: "/plain/2f", deadline: 4 * time.Second}).do(h.callers, r.rec); o.status != 200 {
					r.rec.line("an ordinary request at %s was not served", h.name)
				}
				r.rec.line("%s: most memory so far %d MiB of %d, ended %d times", h.name, most[i].Load()>>20, memoryMB, ends[i].Load())
			}
		})
	}
	all.Wait()
	close(stop)
	watches.Wait()
	first, second := ends[0].Load(), ends[1].Load()
	if first >= rounds && second >= rounds {
		return fmt.Errorf("%w: Fault: processes of two machines of two ended %d and %d times, as their memory was over the limit of %d MB", errBroken, first, second, memoryMB)
	}
	return nil
}

// sendBodies opens channels to a host one after the other and sends a request on each. With trouble, the last byte of each body comes
// 8 s after the others; else, with them.
func (r *rig) sendBodies(h *host, round int, ends *atomic.Int64) {
	before := ends.Load()
	body := strings.Repeat("b", bodyBytes)
	var all sync.WaitGroup
	var answers, failures atomic.Int64
	sent := 0
	for range slowChannels {
		time.Sleep(2 * time.Millisecond)
		if ends.Load() > before {
			break
		}
		sent++
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", h.callers, time.Second)
			if err != nil {
				failures.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(25 * time.Second))
			c := call{id: newID(), host: hostName, path: "/plain/2f", deadline: 20 * time.Second, body: body}
			text := c.head() + body
			if r.hasTrouble {
				_, _ = io.WriteString(conn, text[:len(text)-1])
				_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				if n, err := conn.Read(make([]byte, 1<<10)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
					// The host has refused the request, or its process has ended.
					failures.Add(1)
					return
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				text = text[len(text)-1:]
			}
			_, _ = io.WriteString(conn, text)
			if n, _ := conn.Read(make([]byte, 1<<10)); n > 0 {
				answers.Add(1)
			} else {
				failures.Add(1)
			}
		})
	}
	all.Wait()
	r.rec.line("round %d at %s: %d requests with bodies of %d bytes, %d answers, %d without", round+1, h.name, sent, bodyBytes, answers.Load(), failures.Load())
}

// limitMemory kills a host's process when its own memory exceeds the limit, and starts it again, until stop is closed.
func (r *rig) limitMemory(h *host, ends, most *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := h.ownMemory()
		most.Store(max(most.Load(), used))
		if used <= memoryMB<<20 {
			continue
		}
		ends.Add(1)
		r.rec.line("platform: %s takes %d MiB of %d MB: killed", h.name, used>>20, memoryMB)
		h.kill()
		time.Sleep(500 * time.Millisecond)
		if err := h.start(); err != nil {
			r.rec.line("%s can't be started: %v", h.name, err)
			return
		}
		h.awaitReady(10 * time.Second)
	}
}
