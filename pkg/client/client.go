// Package client calls a deployment of tarragonspur: it streams generations and calls plain services.
//
// A request that must not run twice carries an idempotency key, which is the same for all attempts.
// With errors.Is an error is matched with its Code and with its Run, which says whether the request ran.
package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/head"
)

const (
	headerRequestID    = "X-Request-Id"
	headerKey          = "Idempotency-Key"
	headerAttempt      = "Idempotency-Attempt"
	headerTimeout      = "X-Request-Timeout-Ms"
	jsonContentType    = "application/json"
	maxRefusalBytes    = 1 << 20
	maxResponseBytes   = 32 << 20
	defaultMaxAttempts = 6
	initialBackoff     = 100 * time.Millisecond
	maxBackoff         = 5 * time.Second
	dialTimeout        = 3 * time.Second
)

// Client calls a deployment. It is safe for concurrent use; its fields must not change after the first call.
type Client struct {
	// Hosts are the addresses of entry hosts or of a load balancer in front of them; attempts use them in turn.
	Hosts []netip.AddrPort
	// Key is the bearer key of the workspace.
	Key string
	// HTTP sends requests; nil means a client with a dial timeout of three seconds. It must not follow redirects.
	HTTP *http.Client
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// Sendings is the maximum number of attempts of one request; zero means six.
	Sendings int

	next atomic.Uint64
	// make guards the creation of defaultHTTP.
	make        sync.Once
	defaultHTTP *http.Client
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient().CloseIdleConnections() }

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return head.NewClient(&http.Transport{DialContext: dialer.DialContext})
}

// request is what all attempts of one request send.
type request struct {
	method      string
	path        string
	query       string
	body        []byte
	contentType string
	key         string
}

// send makes one attempt of a request at the next host. Attempts count from one.
func (c *Client) send(ctx context.Context, s request, attempt int) (*http.Response, error) {
	if len(c.Hosts) == 0 {
		return nil, &Error{Code: ErrConnection, Message: "the client has no host addresses", Run: ErrNotRun}
	}
	host := c.Hosts[(c.next.Add(1)-1)%uint64(len(c.Hosts))]
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	u := url.URL{Scheme: scheme, Host: host.String(), Path: s.path, RawQuery: s.query}
	req, err := http.NewRequestWithContext(ctx, s.method, u.String(), s.reader())
	if err != nil {
		return nil, &Error{Code: ErrBadRequest, Message: "the request can't be built", Run: ErrNotRun, Cause: err}
	}
	req.ContentLength = int64(len(s.body))
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if len(s.body) > 0 {
		req.Header.Set("Content-Type", s.contentType)
	}
	if s.key != "" {
		req.Header.Set(headerKey, s.key)
		req.Header.Set(headerAttempt, strconv.Itoa(attempt))
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, newSendError(err)
	}
	if err := head.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, newConnectionError(err)
	}
	return resp, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	c.make.Do(func() { c.defaultHTTP = newHTTPClient() })
	return c.defaultHTTP
}

// reader returns the body as a type that the transport can't rewind, so that it can't send a request twice on its own.
func (s request) reader() io.Reader {
	if len(s.body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(s.body)}
}

// newSendError returns an error that is ErrNotRun only if no connection was made.
func newSendError(err error) *Error {
	e := newConnectionError(err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.Run = ErrNotRun
	}
	return e
}

// retry calls send, with exponential backoff, until it succeeds, its error is not one that canRetry allows, the attempts
// are used up or ctx would end before the next one.
func (c *Client) retry(ctx context.Context, canRetry func(*Error) bool, send func(attempt int) error) error {
	maxAttempts := c.Sendings
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	backoffs := backoff.ExponentialBackOff{
		InitialInterval: initialBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: backoff.DefaultMultiplier, MaxInterval: maxBackoff,
	}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		err := send(attempt)
		var e *Error
		if !errors.As(err, &e) {
			return err
		}
		mayHaveRun = mayHaveRun || e.Run == ErrMayHaveRun
		if mayHaveRun && e.Run == ErrNotRun {
			// This attempt did not run, but an earlier one may have.
			e.Run = ErrMayHaveRun
		}
		if attempt == maxAttempts || !canRetry(e) || !sleep(ctx, max(backoffs.NextBackOff(), e.RetryAfter)) {
			return e
		}
	}
}

// sleep waits for d; it returns false if ctx ends, or would end, before that.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isPermanent reports whether every host would refuse the request with the same code.
func isPermanent(c Code) bool {
	switch c {
	case ErrBadRequest, ErrUnauthorized, ErrForbidden, ErrNotFound, ErrTooLarge, ErrKeyReused, ErrQuarantined, ErrAnswerTooLarge:
		return true
	default:
		return false
	}
}
