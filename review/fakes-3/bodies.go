package main

import (
	"net"
	"sync"
	"time"
)

const (
	// crowd is the number of channels on which a body is sent and not ended.
	crowd     = 1500
	calmCrowd = 100
	// bodyBytes is the size of a body; manifests allow 4 MiB.
	bodyBytes = 64 << 10
	memoryMB  = 134
)

// bodies opens channels on each of which a consumer sends a request of legal size whose last byte is late.
func bodies(w *world) outcome {
	if err := w.begin(2, 0); err != nil {
		return w.unable(err)
	}
	w.store.put("config", "main", manifest(1, "k1"))
	if _, err := newPlainEngine(w.rec, w.store, "127.0.32.1", "i-p1", "plain", "z1"); err != nil {
		return w.unable(err)
	}
	if err := w.startHosts(); err != nil {
		return w.unable(err)
	}
	time.Sleep(time.Second)
	target := w.hosts[0]
	before, _ := target.memoryMB()
	w.rec.add("memory of %s: %.0f MB", target.name, before)
	n := crowd
	if !w.isTrouble {
		n = calmCrowd
	}
	var opened sync.WaitGroup
	body := make([]byte, bodyBytes-1)
	var mu sync.Mutex
	var conns []net.Conn
	for i := range n {
		opened.Add(1)
		go func() {
			defer opened.Done()
			c, err := net.DialTimeout("tcp", w.callers(target), 5*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
			_, _ = c.Write(head("POST", "/report/x", id("b", i), "k1", 39*time.Second, nil, bodyBytes))
			_, _ = c.Write(body)
		}()
		time.Sleep(time.Millisecond)
	}
	opened.Wait()
	w.rec.add("%d channels opened, each with a body of %d bytes that lacks its last byte", len(conns), bodyBytes)
	most := 0.0
	for range 50 {
		now, high := target.memoryMB()
		most = max(most, now, high)
		time.Sleep(100 * time.Millisecond)
		if target.hasEnded() {
			w.rec.add("host %s has ended by itself", target.name)
			return broken
		}
	}
	w.rec.add("memory of %s: most %.0f MB, its machine has %d MB", target.name, most, memoryMB)
	r := send(w.callers(target), "POST", "/book/1", "ordinary-1", "k1", 2*time.Second, nil, []byte("x"))
	w.rec.add("an ordinary request on a new channel: %s", r)
	for _, c := range conns {
		_ = c.Close()
	}
	if most > memoryMB {
		return broken
	}
	return held
}

func id(prefix string, i int) string { return prefix + "-" + itoa(i) }
