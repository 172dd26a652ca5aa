// Package httpd opens listeners and runs HTTP servers until a context is cancelled.
package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// shutdownTimeout bounds the graceful shutdown of a server; then its connections are closed.
const shutdownTimeout = 500 * time.Millisecond

// Listen opens a TCP listener on an address.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// Port is one of several listeners that ListenAll opens.
type Port struct {
	// Name names the port in errors.
	Name string
	// Address is the address to listen on; ListenAll replaces it with the bound one.
	Address *netip.AddrPort
	// Listener is set to the open listener.
	Listener *net.Listener
}

// ListenAll opens the listeners of all ports. If one fails, it closes the others and returns the error.
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

// Close closes the listeners that are not nil.
func Close(listeners ...net.Listener) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// AwaitOK polls a URL at the interval until a valid response has status 200. It fails when ctx is cancelled.
func AwaitOK(ctx context.Context, url string, interval time.Duration) error {
	client := head.NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !ticks.Sleep(ctx, interval) {
			return errors.Wrapf(ctx.Err(), "wait for status 200 from %s", url)
		}
	}
}

// Serve runs the server on the listener until ctx is cancelled, then shuts it down and closes its connections.
// It returns an error if the server stops before that.
func Serve(ctx context.Context, server *http.Server, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}
