package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/flow"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// drainLimit bounds the wait for the end of an answer's body after its last frame.
	drainLimit        = 100 * time.Millisecond
	maxDrainBytes     = 1 << 20
	maxIdlePerBackend = 64
	// keepAliveIdle and keepAliveCount make TCP keep-alive close a dead connection after four seconds.
	keepAliveIdle   = time.Second
	keepAliveCount  = 3
	maxReportBytes  = 1 << 20
	maxHeadBytes    = 16 << 10
	contentTypeJSON = "application/json"
	pathGenerations = "/v1/generations"
	pathLoad        = "/v1/load"
	pathCacheEvents = "/v1/cache_events"
	pathOrders      = "/v1/orders"
)

// Client sends requests to model engines over HTTP. Streams have one JSON object per line.
//
// Each engine has a pool of connections for starting generations, orders and reading reports. Calls that follow a
// failure (resume, cancel, progress) each use a new connection: a pooled one may be broken like the one that failed.
type Client struct {
	// Memory is what streams take long frames from; nil means no bound.
	Memory flow.Memory

	unpooled *http.Client

	mu    sync.Mutex
	pools map[netip.AddrPort]*http.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{unpooled: head.NewClient(fresh), pools: make(map[netip.AddrPort]*http.Client)}
}

// newTransport returns a transport without a limit on the time to the first byte: the user of a stream times it out
// itself, and the contexts of all other calls have a deadline.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// pool returns the engine's pool of connections.
func (c *Client) pool(addr netip.AddrPort) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = head.NewClient(newTransport())
		c.pools[addr] = p
	}
	return p
}

// DiscardPool closes the idle connections to an engine and replaces its pool; open streams are not interrupted.
func (c *Client) DiscardPool(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[addr]; p != nil {
		p.CloseIdleConnections()
		delete(c.pools, addr)
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// Start starts a new generation. Its error is marked ErrRefused or ErrUnreachable if no part of the request ran.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, r Request) (Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return c.open(ctx, c.pool(addr), http.MethodPost, requestURL(addr, pathGenerations, nil), body)
}

// Resume streams the rest of a generation from an offset in tokens; ErrGone means that the engine does not have it.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, id, generation string, offset int) (Stream, error) {
	query := url.Values{"generation": {generation}, "offset": {strconv.Itoa(offset)}}
	return c.open(ctx, c.unpooled, http.MethodGet, requestURL(addr, pathGenerations+"/"+url.PathEscape(id)+"/stream", query), nil)
}

// Cancel ends the request's generation; it is idempotent. Once it has returned nil or ErrGone, the engine does not run the
// request, nor a start of it that arrives later.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id string) error {
	return call(ctx, c.unpooled, http.MethodDelete, requestURL(addr, pathGenerations+"/"+url.PathEscape(id), nil), nil, nil)
}

// Progress returns how many tokens the engine has generated for the request, over a new connection.
func (c *Client) Progress(ctx context.Context, addr netip.AddrPort, id string) (Progress, error) {
	var p Progress
	err := call(ctx, c.unpooled, http.MethodGet, requestURL(addr, pathGenerations+"/"+url.PathEscape(id), nil), nil, &p)
	return p, err
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	var l Load
	err := call(ctx, c.pool(addr), http.MethodGet, requestURL(addr, pathLoad, nil), nil, &l)
	return l, err
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr netip.AddrPort, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := call(ctx, c.pool(addr), http.MethodGet, requestURL(addr, pathCacheEvents, query), nil, &events)
	return events, err
}

// Order sends an order and returns when the engine has accepted it; ErrFenced means that its fence is too old.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	return call(ctx, c.pool(addr), http.MethodPost, requestURL(addr, pathOrders, nil), o, nil)
}

func requestURL(addr netip.AddrPort, path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	return u.String()
}

func call(ctx context.Context, client *http.Client, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode call")
		}
		body = bytes.NewReader(text)
	}
	resp, err := send(ctx, client, method, target, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrBroken)
	}
	return nil
}

func send(ctx context.Context, client *http.Client, method, target string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	resp, err := client.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if head.IsSuccess(resp.StatusCode) {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, statusError(resp.StatusCode)
}

// classify marks an error as ErrUnreachable if no connection was made, also as ErrNotListening if it was refused, and else
// as ErrBroken.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Mark(err, ErrNotListening)
		}
		return errors.Mark(err, ErrUnreachable)
	}
	return errors.Mark(err, ErrBroken)
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return ErrGone
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return errors.Wrapf(ErrRefused, "status %d", status)
	default:
		return errors.Wrapf(ErrBroken, "status %d", status)
	}
}

func (c *Client) open(ctx context.Context, client *http.Client, method, target string, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := send(ctx, client, method, target, bytes.NewReader(body)) //nolint:bodyclose // stream.Close closes it.
	if err != nil {
		cancel()
		return nil, err
	}
	decoder := NewDecoder(resp.Body)
	decoder.lines.Memory = c.Memory
	return &stream{Decoder: decoder, body: resp.Body, cancel: cancel}, nil
}

// stream decodes an answer's body as it arrives.
type stream struct {
	*Decoder
	body   io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the connection, or returns it to the pool if the stream is complete.
func (s *stream) Close() {
	if s.ended {
		timer := time.AfterFunc(drainLimit, s.cancel)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxDrainBytes))
		timer.Stop()
	}
	s.cancel()
	_ = s.body.Close()
	s.lines.Close()
}
