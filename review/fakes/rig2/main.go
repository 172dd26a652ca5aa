// Command rig2 plays the cases of a review against entry hosts that run as processes of their own: it stands in for the platform's
// store, the backend servers and the consumers, and writes down what they see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 115 * time.Second

// key is the consumers' key, hostName the host of all routes.
const (
	key      = "xd9dnn2ctnfzs989anu6"
	hostName = "ficu95.example"
)

// errBroken says that a rule was broken.
var errBroken = errors.New("the rule was broken")

// rig is what a case works with.
type rig struct {
	folder string
	// hasTrouble is false if the case is played without its disruption.
	hasTrouble bool
	rec        *record
	store      *store
	hosts      []*host
}

var cases = map[string]func(*rig) error{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, in the repository's root")
		return 2
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	rec, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{folder: folder, hasTrouble: os.Getenv("TROUBLE") != "0", rec: rec}
	ended := make(chan error, 1)
	go func() {
		err := r.prepare()
		if err == nil {
			err = cases[os.Args[1]](r)
		}
		ended <- err
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case <-signals:
		err = errors.New("stopped by a signal")
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	for _, h := range r.hosts {
		h.close()
	}
	switch {
	case err == nil:
		rec.line("result: the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.line("result: %v", err)
		fmt.Println(err)
		return 1
	default:
		rec.line("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}

func (r *rig) prepare() error {
	var err error
	r.store, err = startStore("127.0.9.200:0")
	return err
}

// startHosts starts n hosts and waits until they are ready.
func (r *rig) startHosts(n int) error {
	stores := make([]string, n)
	for i := range stores {
		stores[i] = r.store.address
	}
	return r.startHostsAt(stores)
}

// manifest is the operator's manifest with the given routes, for engines with a number of slots.
func manifest(version, slots int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 302, "coldPerS": 39.0, "engine": map[string]any{
				"slots": slots, "kvCapacityTokens": 34297, "kvTokenBytes": 262144, "linkCapacityMbps": 38000.0, "moves": false, "backups": false,
				"stride": 4, "handleTtlS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 100, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{key}, "allowedRegions": []string{}}},
	}
}

// streaming is a route for long streams that can't be resumed, like those of trial-report.
func streaming(name, prefix string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "routeKind": "streaming", "timeoutMs": timeoutMs, "targetLatencyMs": 1800,
		"priority": 1, "service": "huvo11a", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 180,
		"allowedRegions": []string{},
	}
}

// plain is a route for requests that may run once at most, like those of kiln-booking.
func plain(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "routeKind": "non_idempotent", "timeoutMs": 30000, "targetLatencyMs": 250,
		"priority": 2, "service": "wuno96b", "maxAttempts": 1, "public": false, "allowedRegions": []string{},
	}
}
