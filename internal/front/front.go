package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// transientRetryAfter is the Retry-After of refusals whose cause usually passes within a second.
	transientRetryAfter = 400 * time.Millisecond
	// defaultTimeout is the time limit of requests whose caller and route state none.
	defaultTimeout = 60 * time.Second
	// outputReserveTokens is the memory reserved for a run's next output: about three seconds of an engine's output.
	outputReserveTokens = 300
	// writeSlack is the time after a request's deadline in which its last bytes may still be written.
	writeSlack = 300 * time.Millisecond
)

// Budget is the retry budget: it bounds the sends beyond the first of each request to a service.
type Budget interface {
	Arrived(service string)
	Allow(service string, urgent bool) bool
}

// Guard detects what crashes backend servers.
type Guard interface {
	// Check returns how long requests with these keys are refused, and the key that is quarantined; 0 if they may be sent.
	Check(keys crash.Keys) (wait time.Duration, key uint64)
	// Enter registers a request; abort is called if it may no longer be sent.
	Enter(id string, keys crash.Keys, abort func()) *crash.Run
}

// Notices keeps what backend servers state of themselves in their answers.
type Notices interface {
	Heard(server notice.Server, states notice.Statement)
}

// Store reports the state of the platform's store.
type Store interface {
	// IsUnreachable reports whether notices of backend servers that shut down may have been missed.
	IsUnreachable() bool
}

// Front is the HTTP handler for callers.
type Front struct {
	RoutingState
	Store       Store
	HeaderCodec HeaderCodec
	Copies      Copies
	// Others ends runs at backend servers that this host does not reach; may be nil.
	Others Others
	Budget Budget
	// Queue holds requests until a model engine has room.
	Queue   *queue.Queue
	Guard   Guard
	Notices Notices
	// Rollouts chooses between the versions of backend servers; nil where roll-outs are not switched on.
	Rollouts Rollouts
	Meter    Meter
	// MaxBodiesBytes bounds the bytes of all large request bodies that the host holds; 0 means no bound.
	MaxBodiesBytes int64
	// MaxAnswersBytes bounds the bytes of all answers that the host holds, except the first of each; 0 means maxAnswersBytes.
	MaxAnswersBytes int64
	// CallerConn returns the connection of a request's context; may be nil.
	CallerConn func(context.Context) CallerConn
	Log        *slog.Logger

	keyAge atomic.Int64
	// stop is set while the host is stopping.
	stop    atomic.Pointer[stop]
	aborts  aborts
	bodies  memory.Pool
	answers memory.Pool
	active  active
}

// request is one request in progress.
type request struct {
	*Front
	Call

	w http.ResponseWriter
	// conn is the caller's connection; nil if it is not known.
	conn CallerConn
	// writingSince is when the write to the caller in progress began, in Unix nanoseconds; 0 while there is none.
	writingSince atomic.Int64
	arrived      time.Time
	method       string
	target       string
	host         string
	body         []byte
	hasBody      bool
	// bodyBytes is what the body takes of the memory for bodies.
	bodyBytes int64
	// account is what its answers take of the memory for answers.
	account  *memory.Account
	deadline time.Time
	binding
	// keys are what the request has in common with others, guarded its registration with the guard.
	keys    crash.Keys
	guarded *crash.Run
	// runs counts the backend servers that may have run the request, sends all that received it.
	// Atomic, because the goroutine that opens a stream's next upstream counts too.
	runs  atomic.Int32
	sends atomic.Int32
	tried []string
	// triedVersions are the versions that have received the request, begunVersion is the one whose events the caller has.
	triedVersions []string
	begunVersion  *string
	// unended are the backend servers that may still work on the request although the host has closed its connection to them.
	unended []unendedRun
	// unreached are those at which the run is ended in the background; they get the request no more, since that would end it too.
	unreached []string
	log       *slog.Logger
	// hasHead is set once the head of an answer has been written to the caller.
	hasHead bool
}

// binding is what a version of the table says of a request.
type binding struct {
	route     *policy.Route
	service   *policy.Service
	workspace *policy.Workspace
	table     int64
	tableAge  time.Duration
}

// SetMaxKeyAge sets the age of the routing table above which keys are no longer accepted; 0 means no bound.
func (f *Front) SetMaxKeyAge(age time.Duration) { f.keyAge.Store(int64(age)) }

// ServeHTTP forwards a request and answers it.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add()
	defer f.active.Done()
	call := f.HeaderCodec.Decode(r)
	q := &request{
		Front: f, Call: call, w: w, arrived: time.Now(),
		method: r.Method, target: r.RequestURI, host: r.Host,
		account: f.answerAccount(), log: f.Log.With("request", call.ID),
	}
	defer q.account.Close()
	defer q.handlePanic()
	if f.CallerConn != nil {
		q.conn = f.CallerConn(r.Context())
	}
	ctx, release := q.abortable(r.Context())
	defer release()
	defer func() { q.bodies.Release(q.bodyBytes) }()
	if err := q.admit(ctx, r); err != nil {
		q.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	q.guarded = q.Guard.Enter(q.ID, q.keys, func() { abort(crash.ErrQuarantined) })
	defer q.guarded.End()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(q.deadline.Add(writeSlack))
	var err error
	if q.route.Kind == policy.Streaming {
		err = q.stream(ctx)
	} else {
		err = q.unary(ctx)
	}
	switch cause := context.Cause(ctx); {
	case err != nil && errors.Is(cause, crash.ErrQuarantined):
		err = errors.CombineErrors(crash.ErrQuarantined, err)
	case err != nil && errors.Is(cause, errReaderDropped):
		err = errors.CombineErrors(cause, err)
	case err != nil && errors.Is(cause, errHostStopped):
		err = errors.Mark(err, errHostStopped)
	}
	if err != nil {
		q.fail(q.callerError(r.Context(), err))
	}
}

// admit matches the route, authenticates the workspace and reads the body. Its errors are refusals.
func (q *request) admit(ctx context.Context, r *http.Request) error {
	table, confirmed := q.Tables.View()
	if table == nil {
		return retryable(refuse.CodeStoreUnavailable, "no table is known yet")
	}
	if err := q.match(table, confirmed); err != nil {
		return err
	}
	q.deadline = q.arrived.Add(q.effectiveTimeout())
	if err := q.readBody(ctx, r, table.Limits); err != nil {
		return err
	}
	q.keys = crash.NewKeys(q.Parts, q.fingerprint())
	q.keys.IsWholeShared = !q.hasBody
	if wait, key := q.Guard.Check(q.keys); wait > 0 {
		return q.quarantined(wait, key)
	}
	return nil
}

// match finds the request's route, workspace and service in a table. Its errors are refusals.
func (q *request) match(table *policy.Table, confirmed time.Duration) error {
	q.table, q.tableAge = table.Version, ticks.Now()-confirmed
	isStale := q.isStale(confirmed)
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.Match(hostName(q.host), path)
	if q.route == nil {
		if isStale {
			return retryable(refuse.CodeStoreUnavailable, "the table is too old to tell whether the route exists")
		}
		return refuse.New(refuse.CodeNotFound, "no route takes this host and path")
	}
	if table.Keys != nil && !q.route.Public {
		if isStale {
			return retryable(refuse.CodeStoreUnavailable, "the table is too old to accept keys")
		}
		if q.workspace = table.Keys[q.Key]; q.workspace == nil {
			return refuse.New(refuse.CodeUnauthorized, "the key is not known")
		}
	}
	q.service = table.Services[q.route.ServiceFor(q.ID)]
	if q.service == nil {
		return retryable(refuse.CodeNoBackend, "the route's service is not known")
	}
	return q.checkStop(time.Now())
}

// isStale reports whether a table confirmed at a time is too old to accept keys.
func (q *request) isStale(confirmed time.Duration) bool {
	keyAge := time.Duration(q.keyAge.Load())
	return keyAge > 0 && ticks.Now()-confirmed > keyAge
}

// effectiveTimeout returns the time limit of the request: the least of the default, the route's and the caller's.
func (q *request) effectiveTimeout() time.Duration {
	timeout := defaultTimeout
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	return timeout
}

// requirements returns what the request needs of a backend server.
func (q *request) requirements() pool.Requirements {
	a := pool.Requirements{Service: q.service, Exclude: q.tried, Prompt: q.Prompt, Tokens: q.Prompt + outputReserveTokens}
	a.Regions = append(a.Regions, q.route.Regions)
	if q.workspace != nil {
		a.Regions = append(a.Regions, q.workspace.Regions)
	}
	return a
}

// expectedOutput returns the estimated number of output tokens.
func (q *request) expectedOutput() int {
	if q.OutputHint > 0 && (q.MaxOutput == 0 || q.OutputHint < q.MaxOutput) {
		return q.OutputHint
	}
	return q.MaxOutput / 2
}

// forwardMetadata returns the metadata of a send to one backend server.
func (q *request) forwardMetadata(server string) ForwardMetadata {
	s := ForwardMetadata{Server: server, Timeout: time.Until(q.deadline)}
	if q.workspace != nil {
		s.Workspace = q.workspace.Name
	}
	return s
}

func (q *request) backendRequest(s ForwardMetadata) *send.Request {
	return &send.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: q.HeaderCodec.Encode(q.Call, s), Body: q.body, HasBody: q.hasBody,
		Memory: q.account,
	}
}

// checkForCrash checks in the background whether the request has crashed a backend server.
func (q *request) checkForCrash(s pool.Server) {
	q.active.Add()
	q.guarded.Broke(context.Background(), crash.Server{ID: s.ID, Address: s.Address, StartedMS: s.StartedMS}, q.active.Done)
}

// hostName strips the port from a host.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Wait blocks until no request is in progress or the context is done.
func (f *Front) Wait(ctx context.Context) { f.active.wait(ctx) }
