package call

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrAnswerTooLarge says that a backend server's answer is larger than the limit.
var ErrAnswerTooLarge = errors.New("answer too large")

// HeaderTimeout carries the time that the caller leaves for the call, in milliseconds.
const HeaderTimeout = "X-Request-Timeout-Ms"

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerBackend = 64
	// keepAlive closes a pooled connection that has gone silent.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
	// DefaultAnswerBytes bounds a backend server's answer.
	DefaultAnswerBytes = 16 << 20
)

// HTTPSender sends calls over HTTP.
//
// The standard library's transport repeats a request by itself when a reused connection breaks and the
// request is a GET, or carries an Idempotency-Key, and its body is empty or can be rewound. Neither may
// happen here: a call that may not be repeated goes over a connection of its own, and every body is one
// that can't be rewound, so that each send is counted.
type HTTPSender struct {
	// AnswerBytes bounds an answer's body; zero means DefaultAnswerBytes.
	AnswerBytes int64

	pooled *http.Client
	fresh  *http.Client
}

// NewHTTPSender returns a sender that dials each backend server by its address.
func NewHTTPSender() *HTTPSender {
	return &HTTPSender{pooled: newClient(false), fresh: newClient(true)}
}

func newClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerBackend,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the connections that are idle.
func (h *HTTPSender) Close() {
	h.pooled.CloseIdleConnections()
	h.fresh.CloseIdleConnections()
}

// Send sends the call once and reads its whole answer.
func (h *HTTPSender) Send(ctx context.Context, addr netip.AddrPort, c Call, o SendOptions) SendResult {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, addr, c, o)
	if err != nil {
		return SendResult{Event: EventUnreachable, Err: err}
	}
	client := h.pooled
	if o.Fresh {
		client = h.fresh
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return SendResult{Event: EventUnreachable, Err: err}
	}
	if err != nil {
		return SendResult{Event: EventLost, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return h.read(resp)
}

func (h *HTTPSender) read(resp *http.Response) SendResult {
	limit := h.AnswerBytes
	if limit == 0 {
		limit = DefaultAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return SendResult{Event: EventLost, Err: err}
	}
	if int64(len(body)) > limit {
		return SendResult{Event: EventLost, Err: ErrAnswerTooLarge}
	}
	return SendResult{Event: EventAnswered, Answer: Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}}
}

func newRequest(ctx context.Context, addr netip.AddrPort, c Call, o SendOptions) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: addr.String(), Path: c.Path, RawPath: c.RawPath, RawQuery: c.Query}
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), onceReader{bytes.NewReader(c.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	if len(c.Body) == 0 && !isReplayed(c.Method) {
		req.Body = http.NoBody
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(1, o.Left.Milliseconds()), 10))
	return req, nil
}

// isReplayed reports whether the transport repeats a request of the method that has an empty body.
func isReplayed(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// onceReader hides the reader's type, so that the request gets no GetBody and is not taken for an empty one.
type onceReader struct{ io.Reader }
