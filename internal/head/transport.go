package head

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/tarragonspur/tarragonspur/internal/whole"
)

// NewClient returns a client over a transport, which no other client may use. Its calls return ErrInvalid for broken answers, and it
// follows no redirects, because a call that ends, removes or writes something is another call elsewhere.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport is an http.RoundTripper over HTTP/1.1 that returns ErrInvalid for broken answers. An answer that ends with its connection ends
// with whole.ErrReset if that was reset.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses the connections of another one, which is changed.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted := tls.Client(opened, clientConfig(t.TLSClientConfig, address))
		if err := encrypted.HandshakeContext(ctx); err != nil {
			_ = opened.Close()
			return nil, errors.Wrapf(err, "encrypt the connection to %s", address)
		}
		return &conn{Conn: encrypted}, nil
	}
	return &Transport{t}
}

// clientConfig returns a configuration that names the server at an address.
func clientConfig(config *tls.Config, address string) *tls.Config {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	config = config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *conn
	// A request that http.Transport sends again is written again.
	var upload atomic.Pointer[whole.Upload]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				upload.Store(c.expectHead())
				used = c
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if u := upload.Load(); u != nil {
				u.End(info.Err)
			}
		},
	})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		if invalid := used.invalidHead(); invalid != nil {
			return nil, invalid
		}
		return nil, err //nolint:wrapcheck // callers test for the errors of http.Transport
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CheckResponse checks a response that net/http has read, which does not show what was wrong with lines that it has joined or skipped. The
// error is ErrInvalid.
func CheckResponse(resp *http.Response) error {
	if !IsStatus(resp.StatusCode) {
		return errors.Wrapf(ErrInvalid, "status %03d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field %q", name)
		}
	}
	return nil
}

// conn checks the heads that are read from a connection, and how it ends.
type conn struct {
	net.Conn

	mu      sync.Mutex
	checker Checker
	invalid error
	// upload is the writing of the latest request; nil before the first.
	upload *whole.Upload
}

// expectHead expects the head of the answer to the next request, and returns its upload.
func (c *conn) expectHead() *whole.Upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker, c.upload = Checker{}, whole.NewUpload()
	return c.upload
}

// checkEnd returns whole.ErrReset if the connection was reset, although its reader sees a proper end. http.Transport closes the connection
// at the end of an answer that ends with it, also while the request is being written, so that the end has to wait.
func (c *conn) checkEnd() error {
	c.mu.Lock()
	upload := c.upload
	c.mu.Unlock()
	if upload == nil {
		return nil
	}
	return upload.Check(context.Background(), c.Conn)
}

// invalidHead returns the error of an invalid head; nil if there was none.
func (c *conn) invalidHead() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read implements net.Conn. A head that is invalid from its first byte still counts as begun: http.Transport sends some requests again
// whose answers have not begun.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.invalidHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.checkEnd(); failure != nil {
			err = failure
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, invalid := c.checker.Check(p[:n])
	if invalid != nil {
		c.invalid = invalid
		return max(valid, 1), invalid
	}
	return n, err //nolint:wrapcheck // callers test for the errors of net.Conn
}
