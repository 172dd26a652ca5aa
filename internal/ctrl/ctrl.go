// Package ctrl is the command line's HTTP client of the operators' interface.
package ctrl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	requestTimeout   = 20 * time.Second
	maxResponseBytes = 64 << 20
	basePath         = "/admin/v1"
	// maxChangeAttempts bounds how often a change is sent under one ID while its outcome is unknown.
	maxChangeAttempts = 3
	retryDelay        = 500 * time.Millisecond
)

// Sentinel errors of the client.
var (
	// ErrConflict marks a *ConflictError.
	ErrConflict = errors.New("conflict")
	// ErrUnknownOutcome is returned when the change may or may not have been accepted.
	ErrUnknownOutcome = errors.New("it is not known whether the change was accepted")
	// ErrUnreachable is returned when the request failed or its response could not be read.
	ErrUnreachable = errors.New("host does not answer")
)

// RefusedError is an error response of the host.
type RefusedError struct {
	Status  int
	Code    refuse.Code
	Message string
}

// Error returns the code and the message.
func (e *RefusedError) Error() string { return string(e.Code) + ": " + e.Message }

// ConflictError is the refusal of a change that is not based on the version in force.
type ConflictError struct {
	admin.Conflict
	Message string
}

// Error returns the host's message.
func (e *ConflictError) Error() string { return e.Message }

// Is reports whether the target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Client calls the operators' interface of one host.
type Client struct {
	Address netip.AddrPort
	Key     string
	// TLS is nil where connections are not encrypted.
	TLS *tls.Config

	http *http.Client
}

// Result is the outcome of an accepted change.
type Result struct {
	ID      string         `json:"id"`
	Version change.Version `json:"version"`
	Changed bool           `json:"changed"`
}

// Get reads one path below /admin/v1. It returns the body and the version in the Etag, or 0 without an Etag.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, change.Version, error) {
	return c.call(ctx, http.MethodGet, path, query, nil, nil)
}

// Change sends a change under a new ID and retries it under that ID while its outcome is unknown or the host is
// unreachable. After the last attempt it returns ErrUnknownOutcome; a refusal is returned without a retry.
func (c *Client) Change(ctx context.Context, method, path string, query url.Values, body []byte, expect *change.Version) (Result, error) {
	header := http.Header{"Idempotency-Key": {change.NewID()}}
	if expect != nil {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(*expect), 10)))
	}
	var lastErr error
	for range maxChangeAttempts {
		text, _, err := c.call(ctx, method, path, query, header, body)
		if err == nil {
			var r Result
			return r, errors.Wrap(json.Unmarshal(text, &r), "decode response")
		}
		if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnreachable) {
			return Result{}, err
		}
		lastErr = err
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return Result{}, errors.Wrap(ctx.Err(), "send change")
		}
	}
	return Result{}, errors.Mark(errors.Wrapf(lastErr, "change %s", header.Get("Idempotency-Key")), ErrUnknownOutcome)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) ([]byte, change.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.Address.String(), Path: basePath + path, RawQuery: query.Encode()}
	if c.TLS != nil {
		u.Scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "send request to %s", c.Address), ErrUnreachable)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "read response"), ErrUnreachable)
	}
	if !head.IsSuccess(resp.StatusCode) {
		return nil, 0, responseError(resp.StatusCode, text)
	}
	// Responses without a version have no Etag.
	version, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("Etag"), `"`), 10, 64)
	return text, change.Version(version), nil
}

func (c *Client) client() *http.Client {
	if c.http == nil {
		c.http = head.NewClient(&http.Transport{TLSClientConfig: c.TLS})
	}
	return c.http
}

// Close closes idle connections.
func (c *Client) Close() { c.client().CloseIdleConnections() }

// responseError returns the error that a response with an error status stands for.
func responseError(status int, text []byte) error {
	var body struct {
		Error struct {
			Code    refuse.Code `json:"code"`
			Message string      `json:"message"`
			Run     refuse.Run  `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(text, &body); err != nil || body.Error.Code == "" {
		return &RefusedError{Status: status, Code: refuse.CodeInternal, Message: fmt.Sprintf("status %d", status)}
	}
	refused := &RefusedError{Status: status, Code: body.Error.Code, Message: body.Error.Message}
	if body.Error.Run == refuse.MayHaveRun {
		return errors.Mark(refused, ErrUnknownOutcome)
	}
	var conflict admin.Conflict
	if json.Unmarshal(text, &conflict) == nil && conflict.CurrentVersion > 0 {
		return &ConflictError{Conflict: conflict, Message: body.Error.Message}
	}
	return refused
}
