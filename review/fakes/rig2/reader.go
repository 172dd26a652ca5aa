package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reader"] = readerCut }

// door is one host's way to the store. While it is cut, nothing passes in either direction and no connection ends.
type door struct {
	address string
	store   *store
	isCut   atomic.Bool

	mu sync.Mutex
	// tableCalls are the times at which watches of the manifest have come.
	tableCalls []time.Time
	serverCall time.Time
}

func openDoor(s *store, address string) (*door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{address: l.Addr().String(), store: s}
	go func() { _ = (&http.Server{Handler: d}).Serve(l) }()
	return d, nil
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "" {
		d.mu.Lock()
		switch {
		case strings.HasSuffix(r.URL.Path, "/config"):
			d.tableCalls = append(d.tableCalls, time.Now())
		case strings.HasSuffix(r.URL.Path, "/servers"):
			d.serverCall = time.Now()
		}
		d.mu.Unlock()
	}
	d.store.ServeHTTP(&doorWriter{w, d, r}, r)
	d.hold(r)
}

// hold waits until the cut has ended or the host has closed the connection.
func (d *door) hold(r *http.Request) {
	for d.isCut.Load() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// doorWriter holds an answer back while the way is cut.
type doorWriter struct {
	http.ResponseWriter

	door    *door
	request *http.Request
}

func (w *doorWriter) WriteHeader(status int) {
	w.door.hold(w.request)
	w.ResponseWriter.WriteHeader(status)
}

// readsServers reports whether the host has watched the backend servers lately.
func (d *door) readsServers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.serverCall) < 2500*time.Millisecond
}

// awaitTableCall waits for the next watch of the manifest and returns when it came.
func (d *door) awaitTableCall() time.Time {
	d.mu.Lock()
	n := len(d.tableCalls)
	d.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		d.mu.Lock()
		if len(d.tableCalls) > n {
			defer d.mu.Unlock()
			return d.tableCalls[n]
		}
		d.mu.Unlock()
	}
}

// readerCut cuts the host that reads the store for its region off from the store, a moment before a server reports that it leaves, and
// counts the requests that the other hosts send there later than drainTimeout after the store's confirmation.
func readerCut(r *rig) error {
	servers := make([]*server, 3)
	for i := range servers {
		s, err := startServer(fmt.Sprintf("i-5b2e7d1%d", i), "127.0.9.100", 6, map[string]work{"/plain/": {first: 20 * time.Millisecond}}, r.rec)
		if err != nil {
			return err
		}
		servers[i] = s
		if i < 2 {
			r.store.put("servers", s.id, s.entry("wuno96b", "trent-mill"))
		}
	}
	r.store.put("config", "main", manifest(7, 32, plain("r-plain", "/plain/")))
	doors := make([]*door, 3)
	for i := range doors {
		d, err := openDoor(r.store, fmt.Sprintf("127.0.9.%d:0", 201+i))
		if err != nil {
			return err
		}
		doors[i] = d
	}
	if err := r.startHostsAt([]string{doors[0].address, doors[1].address, doors[2].address}); err != nil {
		return err
	}
	time.Sleep(contact + 2*time.Second)
	reader := -1
	for i, d := range doors {
		if d.readsServers() {
			r.rec.line("%s reads the servers from the store", r.hosts[i].name)
			reader = i
		}
	}
	if reader < 0 {
		return fmt.Errorf("no host reads the servers")
	}
	var leavesAt atomic.Pointer[time.Time]
	servers[0].onRun = func(id string) {
		if at := leavesAt.Load(); at != nil && time.Since(*at) > drainTimeout {
			r.rec.line("DRAIN: %s reaches %s %.0f ms after its leaving was confirmed", id, servers[0].id, float64(time.Since(*at))/1e6)
			servers[0].late.Add(1)
		}
	}
	// A server that starts sets the phase of the hosts' calls for servers: it is cold at first, which its second entry ends. The cut
	// comes just after a call for the manifest.
	began := doors[reader].awaitTableCall()
	time.Sleep(time.Until(began.Add(200 * time.Millisecond)))
	added := servers[2].entry("wuno96b", "trent-mill")
	added["coldRemainingMs"] = 150
	r.store.put("servers", servers[2].id, added)
	time.Sleep(time.Until(began.Add(350 * time.Millisecond)))
	added["coldRemainingMs"], added["sequence"] = 0, 2
	r.store.put("servers", servers[2].id, added)
	r.rec.line("a server is added")
	for range 3 {
		doors[reader].awaitTableCall()
	}
	if r.hasTrouble {
		doors[reader].isCut.Store(true)
		r.rec.line("%s is cut off from the store", r.hosts[reader].name)
	}
	time.Sleep(20 * time.Millisecond)
	leaving := servers[0].entry("wuno96b", "trent-mill")
	leaving["state"], leaving["sequence"] = "draining", 2
	confirmed := r.store.put("servers", servers[0].id, leaving)
	leavesAt.Store(&confirmed)
	r.rec.line("%s leaves: confirmed by the store", servers[0].id)
	var all sync.WaitGroup
	for end := confirmed.Add(drainTimeout + 1500*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, h := range r.hosts {
			if i != reader {
				all.Go(func() {
					call{id: newID(), host: hostName, path: "/plain/2f", deadline: 4 * time.Second}.do(h.callers, r.rec)
				})
			}
		}
	}
	all.Wait()
	doors[reader].isCut.Store(false)
	if late := servers[0].late.Load(); late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests of hosts that reach the store came to a leaving server later than %s after the confirmation", errBroken, late, drainTimeout)
	}
	return nil
}

// startHostsAt starts a host at each of the given addresses of the store.
func (r *rig) startHostsAt(stores []string) error {
	var err error
	if r.hosts, err = writeSettings(r.folder, stores); err != nil {
		return err
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !h.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", h.name)
		}
		r.rec.line("%s is ready", h.name)
	}
	return nil
}
