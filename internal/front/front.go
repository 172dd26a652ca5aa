package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// soon is when a caller may come back after a refusal for a state that lasts for moments.
	soon = 400 * time.Millisecond
	// maxBodyBytes bounds bodies while no table says otherwise.
	maxBodyBytes = 4 << 20
	// defaultPatience bounds requests whose caller and route state no time limit.
	defaultPatience = 60 * time.Second
	// growthTokens is the memory beyond what a run holds that is kept for its next output: what an engine
	// makes in some three seconds.
	growthTokens = 300
	// longRunTime and shortRunTime are what a long stream and another request may take on a stopping host. Long
	// streams are taken until the balancer has surely seen the host's readiness.
	longRunTime  = 5 * time.Second
	shortRunTime = 1500 * time.Millisecond
	// writeSlack is the time after a request's limit in which its last bytes may still leave.
	writeSlack = 300 * time.Millisecond
)

// Budget bounds the sends beyond the first of each request to a service.
type Budget interface {
	Arrived(service string)
	Allow(service string, urgent bool) bool
}

// Guard knows the requests that crash backend servers.
type Guard interface {
	IsQuarantined(fingerprint uint64) bool
	// Probe finds out whether a backend server that broke a connection is dead.
	Probe(ctx context.Context, fingerprint uint64, server string, address netip.AddrPort)
}

// Store tells what the host sees of the platform's store.
type Store interface {
	// IsUnreachable reports whether notices of backend servers that end may have been missed.
	IsUnreachable() bool
}

// Front answers callers.
type Front struct {
	RoutingState
	Store   Store
	Dialect Dialect
	Copies  Copies
	Budget  Budget
	Guard   Guard
	Meter   Meter
	Log     *slog.Logger

	keyAge atomic.Int64
	// ends is the time at which a stopping host cuts what is still in progress; nil while it goes on.
	ends   atomic.Pointer[time.Time]
	active sync.WaitGroup
}

// request is one request in progress.
type request struct {
	*Front
	Call

	w         http.ResponseWriter
	arrived   time.Time
	method    string
	target    string
	host      string
	body      []byte
	hasBody   bool
	route     *policy.Route
	service   *policy.Service
	workspace *policy.Workspace
	table     int64
	tableAge  time.Duration
	limit     time.Time
	// print identifies requests that are the same work.
	print uint64
	// runs counts the backend servers that may have run the request, sends all that received it.
	// They are also counted by a goroutine that opens a stream's next backend server.
	runs  atomic.Int32
	sends atomic.Int32
	tried []string
	log   *slog.Logger
}

// SetKeyAge sets the age of the table beyond which keys are not accepted any more; 0 means no bound.
func (f *Front) SetKeyAge(age time.Duration) { f.keyAge.Store(int64(age)) }

// StopAt makes the host refuse new requests that may still be in progress at the given time.
func (f *Front) StopAt(end time.Time) { f.ends.Store(&end) }

// isTooLate reports whether a stopping host ends before the request is surely answered.
func (q *request) isTooLate() bool {
	end := q.ends.Load()
	if end == nil {
		return false
	}
	left := end.Sub(q.arrived)
	if q.route.Kind == policy.Streaming && q.expectedOutput() >= longOutput {
		return left < longRunTime
	}
	return left < shortRunTime
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Done()
	call := f.Dialect.Decode(r)
	q := &request{
		Front: f, Call: call, w: w, arrived: time.Now(),
		method: r.Method, target: r.RequestURI, host: r.Host,
		log: f.Log.With("request", call.ID),
	}
	if err := q.admit(r); err != nil {
		q.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.limit)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(q.limit.Add(writeSlack))
	var err error
	if q.route.Kind == policy.Streaming {
		err = q.stream(ctx)
	} else {
		err = q.unary(ctx)
	}
	if err != nil {
		q.fail(q.explain(r.Context(), err))
	}
}

// admit finds the route and the workspace, and reads the body.
func (q *request) admit(r *http.Request) error {
	table, confirmed := q.Tables.View()
	if table == nil {
		return retryable(refuse.CodeStoreDown, "no table is known yet")
	}
	q.table, q.tableAge = table.Version, ticks.Now()-confirmed
	keyAge := time.Duration(q.keyAge.Load())
	isStale := keyAge > 0 && q.tableAge > keyAge
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.Match(hostName(q.host), path)
	if q.route == nil {
		if isStale {
			return retryable(refuse.CodeStoreDown, "the table is too old to tell whether the route exists")
		}
		return refuse.New(refuse.CodeNotFound, "no route takes this host and path")
	}
	if table.Keys != nil && !q.route.Public {
		if isStale {
			return retryable(refuse.CodeStoreDown, "the table is too old to accept keys")
		}
		if q.workspace = table.Keys[q.Key]; q.workspace == nil {
			return refuse.New(refuse.CodeUnauthorized, "the key is not known")
		}
	}
	q.service = table.Services[q.route.ServiceFor(q.ID)]
	if q.service == nil {
		return retryable(refuse.CodeNoBackend, "the route's service is not known")
	}
	if q.isTooLate() {
		return retryable(refuse.CodeDraining, "the host is about to stop")
	}
	q.limit = q.arrived.Add(q.allowed())
	if err := q.readBody(r, table.Limits); err != nil {
		return err
	}
	q.print = q.fingerprint()
	if q.Guard.IsQuarantined(q.print) {
		return retryable(refuse.CodeNoBackend, "the request has crashed the backend servers that ran it")
	}
	return nil
}

// allowed is the time in which the request must be answered.
func (q *request) allowed() time.Duration {
	allowed := defaultPatience
	if q.route.Timeout > 0 {
		allowed = min(allowed, q.route.Timeout)
	}
	if q.Timeout > 0 {
		allowed = min(allowed, q.Timeout)
	}
	return allowed
}

func (q *request) readBody(r *http.Request, limits policy.Limits) error {
	q.hasBody = r.ContentLength != 0
	if !q.hasBody {
		return nil
	}
	most := limits.BodyBytes
	if most <= 0 {
		most = maxBodyBytes
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.limit)
	body, err := io.ReadAll(http.MaxBytesReader(q.w, r.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse.New(refuse.CodeTooLarge, "the body is too large")
	case err != nil:
		return errors.Mark(errors.Wrap(err, "read body"), errCallerGone)
	}
	q.body = body
	return nil
}

// ask describes the backend server that the request needs.
func (q *request) ask() pool.Requirements {
	a := pool.Requirements{Service: q.service, Exclude: q.tried, Prompt: q.Prompt, Tokens: q.Prompt + growthTokens}
	a.Regions = append(a.Regions, q.route.Regions)
	if q.workspace != nil {
		a.Regions = append(a.Regions, q.workspace.Regions)
	}
	return a
}

// expectedOutput estimates the number of output tokens.
func (q *request) expectedOutput() int {
	if q.OutputHint > 0 && (q.MaxOutput == 0 || q.OutputHint < q.MaxOutput) {
		return q.OutputHint
	}
	return q.MaxOutput / 2
}

// stamp is what the host adds for one backend server.
func (q *request) stamp(server string) ForwardMetadata {
	s := ForwardMetadata{Server: server, Timeout: time.Until(q.limit)}
	if q.workspace != nil {
		s.Workspace = q.workspace.Name
	}
	return s
}

func (q *request) outgoing(s ForwardMetadata) *send.Request {
	return &send.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: q.Dialect.Encode(q.Call, s), Body: q.body, HasBody: q.hasBody,
	}
}

// suspect asks in the background whether the request has crashed a backend server.
func (q *request) suspect(s pool.Server) {
	q.active.Add(1)
	go func() {
		defer q.active.Done()
		q.Guard.Probe(context.Background(), q.print, s.ID, s.Address)
	}()
}

// hostName returns a host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Wait waits until no request is in progress or the context ends.
func (f *Front) Wait(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.active.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
