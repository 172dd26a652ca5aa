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

	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/memory"
)

var (
	// ErrAnswerTooLarge says that a backend server's answer is larger than the limit.
	ErrAnswerTooLarge = errors.New("answer too large")
	// ErrNoMemory says that an answer was not read, because other answers take the host's memory for answers.
	ErrNoMemory = errors.New("other answers take the host's memory for answers")
)

// HeaderTimeout is the header with the time until the caller's deadline, in milliseconds.
const HeaderTimeout = "X-Request-Timeout-Ms"

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerBackend = 64
	// keepAliveIdle and keepAliveCount make TCP keep-alive close a dead connection after four seconds.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
	// DefaultAnswerBytes is the default limit of an answer's body.
	DefaultAnswerBytes = 16 << 20
	maxHeadBytes       = 64 << 10
	// firstAnswerBytes is the first buffer of an answer; up to smallAnswerBytes no memory of Call.Memory is taken.
	firstAnswerBytes = 4 << 10
	smallAnswerBytes = 16 << 10
	// maxReservedBytes is the part of an answer's stated length that its memory is taken for in one step, so that answers with a
	// part of their memory don't wait for each other.
	maxReservedBytes = 1 << 20
	// maxMemoryWait bounds how long an answer waits for memory.
	maxMemoryWait = 600 * time.Millisecond
)

// HTTPSender sends calls over HTTP.
//
// net/http's transport retries a request by itself when a reused connection breaks, if the request is a GET or
// has an Idempotency-Key, and its body is empty or can be rewound. This must not happen here, because each send
// is counted: a call that may not be repeated uses a new connection, and no body can be rewound.
type HTTPSender struct {
	// AnswerBytes limits an answer's body; zero means DefaultAnswerBytes.
	AnswerBytes int64

	pooled   *http.Client
	unpooled *http.Client
}

// NewHTTPSender returns a sender that dials each backend server by its address.
func NewHTTPSender() *HTTPSender {
	return &HTTPSender{pooled: newClient(false), unpooled: newClient(true)}
}

func newClient(disableKeepAlives bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return head.NewClient(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Close closes the idle connections.
func (h *HTTPSender) Close() {
	h.pooled.CloseIdleConnections()
	h.unpooled.CloseIdleConnections()
}

// Send sends the call once and reads its complete answer.
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
	if o.NewConnection {
		client = h.unpooled
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return SendResult{Event: EventUnreachable, Err: err}
	}
	if err != nil {
		return SendResult{Event: EventLost, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return h.read(ctx, resp, c.Memory)
}

func (h *HTTPSender) read(ctx context.Context, resp *http.Response, m *memory.Account) SendResult {
	limit := h.AnswerBytes
	if limit == 0 {
		limit = DefaultAnswerBytes
	}
	r := answerReader{memory: m, limit: int(limit), length: int(resp.ContentLength)}
	body, err := r.read(ctx, resp.Body)
	if err != nil {
		return SendResult{Event: EventLost, Err: err}
	}
	return SendResult{Event: EventAnswered, Answer: Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}}
}

// answerReader reads the body of an answer, of at most a number of bytes, into a buffer whose memory it takes before.
type answerReader struct {
	memory *memory.Account
	limit  int
	// length is the stated length of the body, or -1.
	length int
	buf    []byte
}

func (r *answerReader) read(ctx context.Context, body io.Reader) ([]byte, error) {
	r.buf = make([]byte, 0, firstAnswerBytes)
	for {
		if len(r.buf) == cap(r.buf) {
			if err := r.grow(ctx); err != nil {
				r.release(cap(r.buf))
				return nil, err
			}
		}
		n, err := body.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		switch {
		case len(r.buf) > r.limit:
			err = ErrAnswerTooLarge
		case errors.Is(err, io.EOF):
			return r.buf, nil
		}
		if err != nil {
			r.release(cap(r.buf))
			return nil, err
		}
	}
}

// grow replaces the buffer by one of twice its size, or of what is left of a stated length and a byte to see its end.
func (r *answerReader) grow(ctx context.Context) error {
	size := 2 * cap(r.buf)
	if size > smallAnswerBytes {
		size = max(size, min(r.length+1, maxReservedBytes))
	}
	if r.length >= len(r.buf) {
		size = min(size, r.length+1)
	}
	size = min(size, r.limit+1)
	if r.memory != nil && size > smallAnswerBytes {
		waiting, cancel := context.WithTimeout(ctx, maxMemoryWait)
		defer cancel()
		if !r.memory.Acquire(waiting, size-smallAnswerBytes) {
			return ErrNoMemory
		}
	}
	grown := make([]byte, len(r.buf), size)
	copy(grown, r.buf)
	r.release(cap(r.buf))
	r.buf = grown
	return nil
}

// release releases what a buffer of a size takes of the memory.
func (r *answerReader) release(size int) {
	if r.memory != nil && size > smallAnswerBytes {
		r.memory.Release(size - smallAnswerBytes)
	}
}

func newRequest(ctx context.Context, addr netip.AddrPort, c Call, o SendOptions) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: addr.String(), Path: c.Path, RawPath: c.RawPath, RawQuery: c.Query}
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), onceReader{bytes.NewReader(c.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	if len(c.Body) == 0 && !isAutoRetried(c.Method) {
		req.Body = http.NoBody
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(1, o.Remaining.Milliseconds()), 10))
	return req, nil
}

// isAutoRetried reports whether net/http's transport retries a request with the method and an empty body.
func isAutoRetried(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// onceReader hides the type of the reader, so that net/http sets no GetBody and does not treat the body as empty.
type onceReader struct{ io.Reader }
