// Package town puts stand-ins of the users' platform together: a store, backend servers of two services, and settings
// for entry hosts that use them.
package town

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// The names of a town.
const (
	// Host is the name that callers ask for.
	Host = "town.example"
	// Patience is how long a caller waits.
	Patience = 4 * time.Second
	// Key is a caller's key.
	Key    = "town-key"
	domain = "d1"
	region = "east"
	model  = "model"
	mill   = "mill"
)

// The paths of a town's routes.
const (
	// ReadPath takes requests that may be repeated.
	ReadPath = "/read/"
	// BookPath takes requests that run once at most.
	BookPath = "/book/"
	// ReportPath is answered by long streams that can't be resumed by callers.
	ReportPath = "/report/"
)

const (
	slots = 8
	// memoryTokens is an engine's memory.
	memoryTokens = 30000
	// eventPause is the time between two events of a stream.
	eventPause = 10 * time.Millisecond
)

// Platform is a platform on loopback.
type Platform struct {
	Store   *plat.Store
	Engines []*plat.Engine
	Copies  *plat.CopyRegistry

	version int
}

// New starts a store and backend servers; every second one is a model engine that streams a number of events.
func New(engines, events int) *Platform {
	t := &Platform{Store: plat.NewStore(), Copies: &plat.CopyRegistry{}}
	for i := range engines {
		e := &plat.Engine{ID: fmt.Sprint("e", i), Pause: eventPause, Copies: t.Copies}
		if i%2 == 0 {
			e.Events = events
		}
		e.Start()
		t.Engines = append(t.Engines, e)
		t.Register(e, false)
	}
	t.SetTable(ReadPath, Key)
	return t
}

// Close ends the stand-ins.
func (t *Platform) Close() {
	for _, e := range t.Engines {
		e.Crash()
	}
	t.Store.Close()
}

// Register writes a backend server's entry.
func (t *Platform) Register(e *plat.Engine, draining bool) {
	service, state := mill, "healthy"
	if e.Events > 0 {
		service = model
	}
	if draining {
		state = "draining"
	}
	t.Store.Put("servers", e.ID, map[string]any{
		"service": service, "address": e.PublicAddress().String(), "zone": domain, "slots": slots, "state": state, "coldRemainingMs": 0,
	})
}

// Unregister removes a backend server's entry.
func (t *Platform) Unregister(e *plat.Engine) { t.Store.Delete("servers", e.ID) }

// Evacuate takes the town's failure domain out, or back.
func (t *Platform) Evacuate(out bool) {
	if out {
		t.Store.Put("evacuations", domain, struct{}{})
	} else {
		t.Store.Delete("evacuations", domain)
	}
}

type fields map[string]any

// SetTable writes the next version of the table; reads go by the given path, and the keys are accepted.
func (t *Platform) SetTable(readPath string, keys ...string) {
	t.version++
	route := func(name, path, kind, service string, timeout time.Duration, attempts int) fields {
		return fields{
			"name": name, "host": Host, "pathPrefix": path, "routeKind": kind, "service": service,
			"timeoutMs": timeout.Milliseconds(), "maxAttempts": attempts,
		}
	}
	t.Store.Put("config", "main", fields{
		"version": t.version,
		"routes": []fields{
			route("read", readPath, "idempotent", mill, 2*time.Second, 2),
			route("book", BookPath, "non_idempotent", mill, 2*time.Second, 1),
			route("report", ReportPath, "streaming", model, 9*time.Second, 1),
		},
		"services": []fields{
			{"name": mill},
			{"name": model, "engine": fields{
				"slots": slots, "kvCapacityTokens": memoryTokens, "moves": true, "backups": true, "stride": 4, "handleTtlS": 5,
			}},
		},
		"tenants": []fields{{"name": "w1", "apiKeys": keys}},
	})
}

// CallerHeader returns what a caller of the town sends with one attempt.
func CallerHeader(attempt, path string) http.Header {
	h := http.Header{"Attempt-Id": {attempt}, "Key": {Key}, "Deadline-Ms": {fmt.Sprint(Patience.Milliseconds())}}
	if path == ReportPath {
		h.Set("Token-Usage", "500,4000")
	}
	return h
}

// Settings returns the settings of an entry host with addresses of its own; store is where it finds the store.
func Settings(ctx context.Context, i int, store netip.AddrPort) (config.Settings, error) {
	s := config.Default()
	s.Host, s.Domain, s.Region, s.Store = fmt.Sprint("h", i), domain, region, store
	s.Platform = &config.Platform{
		Regions: map[string]string{domain: region}, KeyAge: config.Duration(2 * time.Second),
		RetryRatio: 0.2, RetryExtra: 50, RetryWindow: config.Duration(10 * time.Second),
		Grace: config.Duration(5 * time.Second), Cores: 1, MemoryMB: 512,
	}
	for _, address := range []*netip.AddrPort{&s.Callers, &s.Peers, &s.Metrics, &s.Platform.Ready} {
		free, err := freeAddress(ctx)
		if err != nil {
			return s, err
		}
		*address = free
	}
	return s, errors.Wrap(s.Check(), "check settings")
}

// The ports of hosts lie below those that the kernel gives to listeners on port 0, so that no other listener gets one
// between its choice and the host's start.
const (
	firstPort = 20000
	ports     = 12000
	// portTries bounds the search for a port that nobody listens on.
	portTries = 100
)

// freeAddress returns an address on loopback that nobody listens on now.
func freeAddress(ctx context.Context) (netip.AddrPort, error) {
	var failed error
	for range portTries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(ports)))
		l, err := httpd.Listen(ctx, address.String())
		if err != nil {
			failed = err
			continue
		}
		return address, errors.Wrap(l.Close(), "close listener")
	}
	return netip.AddrPort{}, errors.Wrap(failed, "find a free port")
}
