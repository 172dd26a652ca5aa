// Package ctrl is the client of the operators' interface that the command line uses.
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
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const (
	callTimeout    = 20 * time.Second
	maxAnswerBytes = 64 << 20
	prefix         = "/admin/v1"
	// changeTries is the number of times that a change is sent under one ID when no answer comes.
	changeTries = 3
	retryPause  = 500 * time.Millisecond
)

// Sentinel errors of the client.
var (
	// ErrConflict marks a *ConflictError.
	ErrConflict = errors.New("conflict")
	// ErrUnknownOutcome says that it is not known whether a change was accepted.
	ErrUnknownOutcome = errors.New("it is not known whether the change was accepted")
	// ErrUnreachable says that the host did not answer.
	ErrUnreachable = errors.New("host does not answer")
)

// RefusedError is a refusal by the host.
type RefusedError struct {
	Status  int
	Code    refuse.Code
	Message string
}

// Error returns the code and the message.
func (e *RefusedError) Error() string { return string(e.Code) + ": " + e.Message }

// ConflictError is a refusal because another version is in force.
type ConflictError struct {
	admin.Conflict
	Message string
}

// Error returns the host's message.
func (e *ConflictError) Error() string { return e.Message }

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Client speaks to the operators' interface of one host.
type Client struct {
	Address netip.AddrPort
	Key     string
	// TLS is nil where connections are not encrypted.
	TLS *tls.Config

	http *http.Client
}

// Result is what became of a change.
type Result struct {
	ID      string         `json:"id"`
	Version change.Version `json:"version"`
	Changed bool           `json:"changed"`
}

// Get reads one path below /admin/v1; it returns the body and the version that the Etag names.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, change.Version, error) {
	return c.call(ctx, http.MethodGet, path, query, nil, nil)
}

// Change sends a change under an ID of its own and repeats it under that ID while no answer comes.
func (c *Client) Change(ctx context.Context, method, path string, query url.Values, body []byte, expect *change.Version) (Result, error) {
	header := http.Header{"Idempotency-Key": {change.NewID()}}
	if expect != nil {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(*expect), 10)))
	}
	var last error
	for range changeTries {
		text, _, err := c.call(ctx, method, path, query, header, body)
		if err == nil {
			var r Result
			return r, errors.Wrap(json.Unmarshal(text, &r), "read answer")
		}
		if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnreachable) {
			return Result{}, err
		}
		last = err
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return Result{}, errors.Wrap(ctx.Err(), "send change")
		}
	}
	return Result{}, errors.Mark(errors.Wrapf(last, "change %s", header.Get("Idempotency-Key")), ErrUnknownOutcome)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) ([]byte, change.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.Address.String(), Path: prefix + path, RawQuery: query.Encode()}
	if c.TLS != nil {
		u.Scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "build call")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "call %s", c.Address), ErrUnreachable)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "read answer"), ErrUnreachable)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, 0, refusal(resp.StatusCode, text)
	}
	// Answers without a version have no Etag.
	version, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("Etag"), `"`), 10, 64)
	return text, change.Version(version), nil
}

func (c *Client) client() *http.Client {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}}
	}
	return c.http
}

// Close closes the connections that are idle.
func (c *Client) Close() { c.client().CloseIdleConnections() }

func refusal(status int, text []byte) error {
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
