// Package store is an HTTP client of the platform's object API.
package store

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
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveCount close an idle connection whose peer has been unresponsive for four seconds.
	keepAliveIdle    = time.Second
	keepAliveCount   = 3
	maxResponseBytes = 64 << 20
	// maxEventBytes bounds one event of a watch: a value, which is encoded, and its key.
	maxEventBytes = 2 * object.MaxValueBytes
	maxHeadBytes  = 16 << 10
	pathObjects   = "/v1/objects"
	pathWatch     = "/v1/watch"
	pathHosts     = "/v1/hosts"
)

// Client is an HTTP client of the object API. Failed calls return the sentinel errors of package object.
type Client struct {
	// Address is the object API's address.
	Address netip.AddrPort
	http    *http.Client
}

// NewClient returns a client of the object API at addr.
func NewClient(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	return &Client{Address: addr, http: head.NewClient(&http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHeadBytes})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the object with the key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (object.Object, error) {
	var o object.Object
	err := c.call(ctx, http.MethodGet, pathObjects, url.Values{"key": {key}}, nil, &o)
	return o, err
}

// List returns all objects whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) (object.Listing, error) {
	var l object.Listing
	err := c.call(ctx, http.MethodGet, pathObjects, url.Values{"prefix": {prefix}}, nil, &l)
	return l, err
}

// Hosts returns the platform's list of hosts; it lags behind the hosts' actual state.
func (c *Client) Hosts(ctx context.Context) (object.HostList, error) {
	var l object.HostList
	err := c.call(ctx, http.MethodGet, pathHosts, nil, nil, &l)
	return l, err
}

// Put writes the object if its version is the expected one, or returns ErrConflict; version zero means that it must
// not exist. With ErrUnknown the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect object.Version) (object.Object, error) {
	var o object.Object
	query := url.Values{"key": {key}, "expect": {strconv.FormatUint(uint64(expect), 10)}}
	err := c.call(ctx, http.MethodPut, pathObjects, query, value, &o)
	return o, err
}

// Delete deletes the object if its version is the expected one. With ErrUnknown it may have been deleted.
func (c *Client) Delete(ctx context.Context, key string, expect object.Version) error {
	query := url.Values{"key": {key}, "expect": {strconv.FormatUint(uint64(expect), 10)}}
	return c.call(ctx, http.MethodDelete, pathObjects, query, nil, nil)
}

// Watch calls onEvent for each change of a key with the prefix after a version. It returns an error when ctx ends or
// the watch stream breaks; ErrCompacted if the changes after the version are no longer kept.
func (c *Client) Watch(ctx context.Context, prefix string, after object.Version, onEvent func(object.Event)) error {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	resp, err := c.send(ctx, http.MethodGet, pathWatch, query, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	limited := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(limited)
	for {
		var e object.Event
		limited.N = maxEventBytes
		if err := dec.Decode(&e); err != nil {
			return errors.Mark(errors.Wrap(err, "read the watch stream"), object.ErrUnavailable)
		}
		if e.Object.Key != "" {
			onEvent(e)
		}
	}
}

// call makes a call within callTimeout and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), object.ErrUnknown)
	}
	return nil
}

// send sends a request and returns the response if its status is a success, or else the error that it stands for.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: c.Address.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// The other idle connections may have become unresponsive together with this one.
		c.http.CloseIdleConnections()
		return nil, classify(method, err)
	}
	if head.IsSuccess(resp.StatusCode) {
		return resp, nil
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return nil, object.ErrNotFound
	case http.StatusConflict:
		return nil, object.ErrConflict
	case http.StatusGone:
		return nil, object.ErrCompacted
	default:
		return nil, errors.Wrapf(object.ErrUnavailable, "status %d", resp.StatusCode)
	}
}

// classify marks a transport error as ErrUnavailable if the call changed nothing, because it only reads or no connection
// was established. Any other call may have taken effect; its error is marked ErrUnknown. Error statuses are mapped in
// send, and errors in the response body are marked by its callers.
func classify(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, object.ErrUnavailable)
	}
	return errors.Mark(err, object.ErrUnknown)
}
