package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// rig is a small deployment on loopback: hosts as processes, and stand-ins for the platform, its store, the backend servers and the
// consumers.
type rig struct {
	program string
	dir     string
	net     string
	began   time.Time
	record  *os.File
	store   *store
	hosts   []*host
	servers []*server
	// isQuiet is set when the record needs no line for each arrival.
	isQuiet bool
	// moves is what the manifest says of copies of runs between engines, on order and standing.
	moves bool

	mu       sync.Mutex
	lastID   uint64
	attempts []*attempt
	byID     map[string]*attempt
	arrivals []*arrival
	crashes  []time.Time
}

// hostSpec is the place of one host.
type hostSpec struct {
	zone, region string
	cores        float64
}

// place returns the hosts of a small deployment: 3 in trent-mill, 2 in soar-lab, 2 in severn-yard.
func place() []hostSpec {
	return []hostSpec{
		{"trent-mill", "midlands-east", 0.4},
		{"trent-mill", "midlands-east", 0.4},
		{"trent-mill", "midlands-east", 0.4},
		{"soar-lab", "midlands-east", 0.4},
		{"soar-lab", "midlands-east", 0.4},
		{"severn-yard", "midlands-west", 0.4},
		{"severn-yard", "midlands-west", 0.4},
	}
}

// newRig starts the store and prepares the hosts; close ends everything.
func newRig(program, recordFile string, specs []hostSpec) (*rig, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, began: time.Now(), record: record}
	return r, r.prepare(specs)
}

func (r *rig) prepare(specs []hostSpec) error {
	var err error
	r.byID = make(map[string]*attempt)
	if r.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return err
	}
	if r.net, err = freeNet(); err != nil {
		return err
	}
	if r.store, err = newStore(r.net + ".2:" + storePort); err != nil {
		return err
	}
	for i, spec := range specs {
		h := &host{
			rig: r, name: fmt.Sprintf("edge-%s-%d", spec.zone, i+1), zone: spec.zone, region: spec.region, cores: spec.cores,
			ip: fmt.Sprintf("%s.%d", r.net, 10+i),
		}
		r.hosts = append(r.hosts, h)
	}
	var seeds []string
	for _, h := range r.hosts[:min(3, len(r.hosts))] {
		seeds = append(seeds, h.ip+":8748")
	}
	text, _ := json.Marshal(seeds)
	for _, h := range r.hosts {
		if err := h.writeSettings(string(text)); err != nil {
			return err
		}
	}
	return nil
}

// freeNet returns the first three numbers of loopback addresses that nothing uses.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", prefix+".2:"+storePort)
		if err != nil {
			continue
		}
		_ = l.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// close ends all processes.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs of the hosts:", r.dir)
	}
	_ = r.record.Close()
}

// log writes a line with the time since the start to the record.
func (r *rig) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at formats a time for the record.
func (r *rig) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

// startAll starts the hosts and waits until all are ready.
func (r *rig) startAll() error {
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return r.awaitReady(15 * time.Second)
}

func (r *rig) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		isReady := true
		for _, h := range r.hosts {
			h.check()
			isReady = isReady && h.isReady
		}
		if isReady {
			r.log("all hosts are ready")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("hosts are not ready after %s", limit)
		}
	}
}

// checkReadiness asks every host once a second, as the platform does.
func (r *rig) checkReadiness(ctx context.Context) {
	for _, h := range r.hosts {
		go func() {
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					h.check()
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// newID returns the ID of a consumer attempt.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), r.lastID)
}

func (r *rig) arrived(a *arrival) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	if !r.isQuiet {
		r.log("request %s reaches server %s", a.attempt, a.server)
	}
}

// ended records the end of a server's work on a request.
func (r *rig) ended(a *arrival, isWhole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.endedAt, a.isWhole = time.Now(), isWhole
}

func (r *rig) noteCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
}

// addServers starts n servers of a service, spread over the zones of the hosts.
func (r *rig) addServers(n int, template *server) error {
	zones := []string{"trent-mill", "soar-lab", "severn-yard"}
	for range n {
		s := &server{
			rig: r, service: template.service, slots: template.slots, work: template.work, prefill: template.prefill, gap: template.gap,
			deadlyPart: template.deadlyPart, afterFirstEvent: template.afterFirstEvent, downtime: template.downtime,
			zone: template.zone, address: fmt.Sprintf("%s.%d:8080", r.net, 150+len(r.servers)),
		}
		if s.zone == "" {
			s.zone = zones[len(r.servers)%len(zones)]
		}
		r.servers = append(r.servers, s)
		if err := s.start(fmt.Sprintf("i-%04x%04d", rand.IntN(1<<16), len(r.servers))); err != nil {
			return err
		}
	}
	return nil
}

// putTable writes the first manifest.
func (r *rig) putTable() {
	engine := map[string]any{
		"slots": 32, "kvCapacityTokens": 34297, "kvTokenBytes": 262144, "linkCapacityMbps": 38000.0, "moves": r.moves, "backups": r.moves,
		"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	r.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "r-report", "host": hostName, "pathPrefix": reportPath, "routeKind": "streaming", "timeoutMs": 39000,
				"targetLatencyMs": 1800, "priority": 1, "service": "assay-model", "maxAttempts": 1, "public": false, "sticky": true,
				"resumable": false, "itlTargetMs": 180, "allowedRegions": []string{},
			},
			map[string]any{
				"name": "r-booking", "host": hostName, "pathPrefix": bookingPath, "routeKind": "non_idempotent", "timeoutMs": 2000,
				"targetLatencyMs": 250, "priority": 2, "service": "millbook", "maxAttempts": 1, "public": false, "allowedRegions": []string{},
			},
		},
		"services": []any{
			map[string]any{
				"name": "assay-model", "healthPath": "/healthz", "maxConnections": 302, "protocol": "h1", "tls": false,
				"coldStartS": 1.0, "coldPerS": 39.0, "engine": engine,
			},
			map[string]any{
				"name": "millbook", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false,
				"coldStartS": 0.0, "coldPerS": 0.0,
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "mill", "apiKeys": []string{apiKey}, "priority": 1, "allowedRegions": []string{}}},
	})
}

// arrivalsOf returns the arrivals of one attempt; the caller holds the lock.
func (r *rig) arrivalsOf(id string) []*arrival {
	var all []*arrival
	for _, a := range r.arrivals {
		if a.attempt == id {
			all = append(all, a)
		}
	}
	return all
}

// defaultProgram is the program that the deploy file builds.
func defaultProgram() string {
	path, _ := filepath.Abs("target/tarragonspur")
	return path
}
