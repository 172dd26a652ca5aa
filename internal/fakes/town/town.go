// Package town combines fakes into a platform on loopback: a store, backend servers of two services, and settings for
// entry hosts that use them.
package town

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// The names that settings, table and callers have in common.
const (
	// Host is the host name that callers send.
	Host = "town.example"
	// CallerTimeout is a caller's deadline for one request.
	CallerTimeout = 4 * time.Second
	// Key is a caller's API key.
	Key          = "town-key"
	domain       = "d1"
	region       = "east"
	modelService = "model"
	plainService = "mill"
)

// The path prefixes of the routes.
const (
	// ReadPath is for idempotent requests, which may be repeated.
	ReadPath = "/read/"
	// BookPath is for requests that run at most once.
	BookPath = "/book/"
	// ReportPath is for requests answered by long streams, which callers can't resume.
	ReportPath = "/report/"
	// NotePath is for requests answered by long streams, which may be resumed at any backend server.
	NotePath = "/note/"
)

const (
	// slots is the number of requests that a backend server may run at once.
	slots = 8
	// memoryTokens is the size of a model engine's KV cache in tokens.
	memoryTokens = 30000
	// eventPause is the pause between two events of a stream.
	eventPause = 10 * time.Millisecond
)

// Platform is a fake platform on loopback: a store and backend servers, which share one registry of standby copies.
type Platform struct {
	Store   *plat.Store
	Servers []*plat.Server
	Copies  *plat.CopyRegistry

	version int

	mu sync.Mutex
	// sequences counts what each server has written about itself.
	sequences map[string]int
}

// New starts a store and backend servers and writes the table; every second backend server is a model engine, whose
// streams have the given number of events.
func New(engines, events int) *Platform {
	p := &Platform{Store: plat.NewStore(), Copies: &plat.CopyRegistry{}}
	for i := range engines {
		e := &plat.Server{ID: fmt.Sprint("e", i), Pause: eventPause, Copies: p.Copies}
		if i%2 == 0 {
			e.Events = events
		}
		e.Start()
		p.Servers = append(p.Servers, e)
		p.Register(e, false)
	}
	p.SetTable(ReadPath, Key)
	return p
}

// Close stops the backend servers and the store.
func (p *Platform) Close() {
	for _, e := range p.Servers {
		e.Crash()
	}
	p.Store.Close()
}

// Register writes a backend server's entry to the store, as healthy or draining.
func (p *Platform) Register(e *plat.Server, draining bool) {
	service, state := plainService, "healthy"
	if e.Events > 0 {
		service = modelService
	}
	if draining {
		state = "draining"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sequences == nil {
		p.sequences = make(map[string]int)
	}
	p.sequences[e.InstanceID()]++
	p.Store.Put("servers", e.InstanceID(), map[string]any{
		"service": service, "address": e.PublicAddress().String(), "zone": domain, "slots": slots, "state": state, "coldRemainingMs": 0,
		"sequence": p.sequences[e.InstanceID()],
		"version":  e.Version,
	})
}

// Unregister removes a backend server's entry.
func (p *Platform) Unregister(e *plat.Server) { p.Store.Delete("servers", e.InstanceID()) }

// Evacuate sets or clears the evacuation of the failure domain that all hosts and backend servers are in.
func (p *Platform) Evacuate(evacuated bool) {
	if evacuated {
		p.Store.Put("evacuations", domain, struct{}{})
	} else {
		p.Store.Delete("evacuations", domain)
	}
}

type fields map[string]any

// SetTable writes the next version of the table, with the given path prefix for reads and the accepted API keys.
func (p *Platform) SetTable(readPath string, keys ...string) {
	p.version++
	route := func(name, path, kind, service string, timeout time.Duration, attempts int) fields {
		return fields{
			"name": name, "host": Host, "pathPrefix": path, "routeKind": kind, "service": service,
			"timeoutMs": timeout.Milliseconds(), "maxAttempts": attempts,
		}
	}
	note := route("note", NotePath, "streaming", modelService, 9*time.Second, 2)
	note["resumable"] = true
	p.Store.Put("config", "main", fields{
		"version": p.version,
		"routes": []fields{
			route("read", readPath, "idempotent", plainService, 2*time.Second, 2),
			route("book", BookPath, "non_idempotent", plainService, 2*time.Second, 1),
			route("report", ReportPath, "streaming", modelService, 9*time.Second, 1),
			note,
		},
		"services": []fields{
			{"name": plainService},
			{"name": modelService, "engine": fields{
				"slots": slots, "kvCapacityTokens": memoryTokens, "moves": true, "backups": true, "stride": 4, "handleTtlS": 5,
			}},
		},
		"tenants": []fields{{"name": "w1", "apiKeys": keys}},
	})
}

// CallerHeader returns the header that a caller sends with an attempt at a path.
func CallerHeader(attempt, path string) http.Header {
	h := http.Header{"Attempt-Id": {attempt}, "Key": {Key}, "Deadline-Ms": {fmt.Sprint(CallerTimeout.Milliseconds())}}
	if path == ReportPath || path == NotePath {
		h.Set("Token-Usage", "500,4000")
	}
	return h
}

// Settings returns the settings of the entry host with the given index, with free ports of its own. The store argument
// is the address at which the host reaches the store.
func Settings(ctx context.Context, index int, store netip.AddrPort) (config.Settings, error) {
	s := config.Default()
	s.Host, s.Domain, s.Region, s.Store = fmt.Sprint("h", index), domain, region, store
	s.Platform = &config.Platform{
		Regions: map[string]string{domain: region}, KeyAge: config.Duration(2 * time.Second), TableApply: config.Duration(2500 * time.Millisecond),
		RetryRatio: 0.2, RetryExtra: 50, RetryWindow: config.Duration(10 * time.Second),
		Grace: config.Duration(5 * time.Second), Cores: 1, MemoryMB: 512,
	}
	for _, address := range []*netip.AddrPort{&s.Callers, &s.Peers, &s.Metrics, &s.Platform.Ready} {
		available, err := freeAddress(ctx)
		if err != nil {
			return s, err
		}
		*address = available
	}
	return s, errors.Wrap(s.Check(), "check settings")
}

// Hosts get ports below those that the kernel assigns to listeners on port 0, so that no such listener takes a port
// between its choice and the host's start.
const (
	firstPort = 20000
	portCount = 12000
)

// ErrNoPort is returned when a process has used all ports of its loopback address.
var ErrNoPort = errors.New("all ports are in use or were given out")

// portsGiven counts the ports that this process has given out.
var portsGiven atomic.Int64 //nolint:gochecknoglobals // ports belong to the process

// freeAddress returns an address that no other host gets: a port that this process has not given out yet, at a loopback
// address that no other process uses.
func freeAddress(ctx context.Context) (netip.AddrPort, error) {
	for {
		given := portsGiven.Add(1) - 1
		if given >= portCount {
			return netip.AddrPort{}, ErrNoPort
		}
		address := netip.AddrPortFrom(processAddress(os.Getpid()), uint16(firstPort+given))
		l, err := httpd.Listen(ctx, address.String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return netip.AddrPort{}, err
		}
		return address, errors.Wrap(l.Close(), "close listener")
	}
}

// processAddress returns the loopback address of a process. Process IDs have at most 22 bits.
func processAddress(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
}
