// Package httpd runs HTTP servers with a known end.
package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const shutdownTimeout = 500 * time.Millisecond

// Listen opens a TCP listener.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// Port is one listener of several that are opened together.
type Port struct {
	// Name names the port in errors.
	Name string
	// Address is where to listen; it receives the real port.
	Address *netip.AddrPort
	// Listener receives the open listener.
	Listener *net.Listener
}

// ListenAll opens all ports, or none if one of them fails.
func ListenAll(ctx context.Context, ports ...Port) error {
	for i, p := range ports {
		l, err := Listen(ctx, p.Address.String())
		if err != nil {
			for _, opened := range ports[:i] {
				Close(*opened.Listener)
				*opened.Listener = nil
			}
			return errors.Wrapf(err, "listen for %s", p.Name)
		}
		*p.Listener, *p.Address = l, netip.MustParseAddrPort(l.Addr().String())
	}
	return nil
}

// Close closes the listeners that are open.
func Close(listeners ...net.Listener) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// AwaitOK asks a URL until it answers with status 200.
func AwaitOK(ctx context.Context, url string, pause time.Duration) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.Wrap(err, "build check")
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !ticks.Sleep(ctx, pause) {
			return errors.Wrapf(ctx.Err(), "wait for %s", url)
		}
	}
}

// Serve answers on the listener until ctx ends, then closes every connection.
// The server's own error is returned when it ends before that.
func Serve(ctx context.Context, server *http.Server, l net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(stopping) != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}
