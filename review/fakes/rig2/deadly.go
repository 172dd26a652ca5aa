package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["deadly"] = deadlyRequest }

const (
	// repeats is the number of requests that a consumer sends at once: the largest x of retry_abuse.
	repeats = 3
	// mayReach is the number of retries that may reach servers later than contact after the third crash.
	mayReach = 3
	// downTime is how long a server that has crashed is away.
	downTime = 3 * time.Second
)

// crashing is a server that crashes when it begins to run a request of the path prefix /deadly/.
type crashing struct {
	*server

	store   *store
	service string
	onCrash func(id string)

	mu       sync.Mutex
	listener net.Listener
	http     *http.Server
}

// serve opens the server's address, with a new lifetime, and enters it in the store.
func (c *crashing) serve() error {
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener, c.http = l, &http.Server{Handler: c}
	server := c.http
	c.mu.Unlock()
	entry := c.entry(c.service, "trent-mill")
	entry["born"] = time.Now().UnixMilli()
	c.store.put("servers", c.id, entry)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (c *crashing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) < 8 || r.URL.Path[:8] != "/deadly/" {
		c.server.ServeHTTP(w, r)
		return
	}
	c.onCrash(r.Header.Get("Attempt-Id"))
	c.record.line("server %s begins to run %s and crashes", c.id, r.Header.Get("Attempt-Id"))
	c.mu.Lock()
	server := c.http
	c.mu.Unlock()
	// All its connections end.
	_ = server.Close()
	time.AfterFunc(downTime, func() { _ = c.serve() })
	panic(http.ErrAbortHandler)
}

// deadlyRequest has a request that crashes servers come in batches of three at once, and then singly, and counts those that reach
// servers later than contact after the third crash.
func deadlyRequest(r *rig) error {
	var mu sync.Mutex
	var crashes []time.Time
	late := 0
	onCrash := func(string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	r.store.put("config", "main", manifest(7, 32, plain("r-plain", "/plain/"), plain("r-deadly", "/deadly/")))
	for i := range 12 {
		address := fmt.Sprintf("127.0.9.%d:%d", 100+i, freePort(fmt.Sprintf("127.0.9.%d", 100+i)))
		c := &crashing{
			server: &server{
				id: fmt.Sprintf("i-5b2e7d%02d", i), address: address, slots: 6, record: r.rec, runs: map[string]int{},
				works: map[string]work{"/plain/": {first: 20 * time.Millisecond}},
			},
			store: r.store, service: "wuno96b", onCrash: onCrash,
		}
		if err := c.serve(); err != nil {
			return err
		}
	}
	if err := r.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	send := func(host int) {
		call{id: newID(), host: hostName, path: "/deadly/2f", deadline: 4 * time.Second, body: "the same body"}.do(r.hosts[host].callers, r.rec)
	}
	batch := func(gap time.Duration) {
		var all sync.WaitGroup
		for i := range repeats {
			all.Go(func() { send(i % len(r.hosts)) })
			time.Sleep(gap)
		}
		all.Wait()
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		late = 0
		for _, at := range crashes {
			if len(crashes) >= 3 && at.Sub(crashes[2]) > contact {
				late++
			}
		}
		return late
	}
	batch(40 * time.Millisecond)
	time.Sleep(6 * time.Second)
	if r.hasTrouble {
		batch(0)
	} else {
		// Without a batch, the request comes again singly.
		for i := range repeats {
			send(i)
			time.Sleep(time.Second)
		}
	}
	for i, end := 0, time.Now().Add(75*time.Second); time.Now().Before(end) && count() <= mayReach; i++ {
		time.Sleep(2 * time.Second)
		send(i % len(r.hosts))
	}
	r.rec.line("%d crashes; %d retries reached servers later than %s after the third", len(crashes), count(), contact)
	if count() > mayReach {
		return fmt.Errorf("%w: BUDGET: %d retries of a request that crashes servers reached servers later than %s after the third crash, %d may", errBroken, count(), contact, mayReach)
	}
	return nil
}
