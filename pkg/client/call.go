package client

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
)

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	// Path and Query are those of the call at the backend server, without the service's name.
	Path  string
	Query string
	Body  []byte
	// ContentType is the body's type; empty means JSON.
	ContentType string
	// Key is the idempotency key; Book makes one if it is empty. Set it to repeat the same call later.
	Key string
}

// Answer is the response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewKey returns a new random idempotency key.
func NewKey() string { return rand.Text() }

// Book makes a call that must not run twice, such as a booking. All attempts carry the same idempotency key, so that at
// most one of them runs, whose response is returned. After an error that is ErrMayHaveRun the call may or may not have
// run: repeat it with the same key, never with another.
func (c *Client) Book(ctx context.Context, call Call) (Answer, error) {
	if call.Key == "" {
		call.Key = NewKey()
	}
	var resp Answer
	err := c.retry(ctx, func(e *Error) bool { return !isPermanent(e.Code) }, func(attempt int) error {
		var err error
		resp, err = c.sendCall(ctx, call, attempt)
		return err
	})
	return resp, err
}

// Do makes a call that may run more than once, such as a look-up; it sends no idempotency key.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	call.Key = ""
	var resp Answer
	err := c.retry(ctx, func(e *Error) bool { return !isPermanent(e.Code) }, func(attempt int) error {
		var err error
		resp, err = c.sendCall(ctx, call, attempt)
		return err
	})
	return resp, err
}

// sendCall makes one attempt of a call.
func (c *Client) sendCall(ctx context.Context, call Call, attempt int) (Answer, error) {
	contentType := call.ContentType
	if contentType == "" {
		contentType = jsonContentType
	}
	resp, err := c.send(ctx, request{
		method: call.Method, path: "/v1/services/" + call.Service + "/" + strings.TrimPrefix(call.Path, "/"),
		query: call.Query, body: call.Body, contentType: contentType, key: call.Key,
	}, attempt)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Answer{}, newConnectionError(err)
	}
	if len(text) > maxResponseBytes {
		return Answer{}, &Error{Code: ErrAnswerTooLarge, Message: "the response is over the client's limit of 32 MiB", Run: ErrMayHaveRun}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		// Only a host's refusal has the body of a refusal; a backend server's own error is returned as a response.
		if e, ok := parseRefusal(text); ok {
			return Answer{}, e
		}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: text}, nil
}
