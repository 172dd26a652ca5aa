package client

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Code is the error code of a refused or failed request; errors.Is matches an *Error with its code.
type Code string

// The error codes; their values are those that hosts send.
const (
	ErrBadRequest       Code = "bad_request"
	ErrUnauthorized     Code = "unauthorized"
	ErrForbidden        Code = "forbidden"
	ErrNotFound         Code = "not_found"
	ErrTooLarge         Code = "too_large"
	ErrKeyReused        Code = "idempotency_key_reused"
	ErrInProgress       Code = "in_progress"
	ErrOverloaded       Code = "overloaded"
	ErrNoBackend        Code = "no_backend"
	ErrStoreUnavailable Code = "store_unavailable"
	ErrTimeout          Code = "timeout"
	ErrQuarantined      Code = "quarantined"
	ErrInterrupted      Code = "interrupted"
	ErrAnswerTooLarge   Code = "answer_too_large"
	ErrDraining         Code = "draining"
	ErrInternal         Code = "internal"
	// ErrConnection means that the connection to the host failed; it is the client's own.
	ErrConnection Code = "connection"
)

// Error returns the code.
func (c Code) Error() string { return string(c) }

// Run says whether a refused or failed request ran; errors.Is matches an *Error with its status.
type Run string

// The values of Run.
const (
	// ErrNotRun means that no backend server ran any part of the request.
	ErrNotRun Run = "not_run"
	// ErrMayHaveRun means that a backend server may have run the request.
	ErrMayHaveRun Run = "may_have_run"
	// ErrPartial means that a part of the answer was delivered.
	ErrPartial Run = "partial"
)

// Error returns the status.
func (r Run) Error() string { return string(r) }

// Error is the error of a request that was refused or failed.
type Error struct {
	Code    Code
	Message string
	// Run covers all attempts of the request together.
	Run Run
	// RetryAfter is the time to wait before a retry, as the host advised; zero means no advice.
	RetryAfter time.Duration
	RequestID  string
	// TokensDelivered counts the tokens of a stream that the caller received.
	TokensDelivered int
	// Cause is the underlying error, such as that of the connection, or nil.
	Cause error
}

// Error returns the code, the message and the run status.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Run) }

// Is reports whether the target is the error's code or its run status.
func (e *Error) Is(target error) bool { return target == error(e.Code) || target == error(e.Run) }

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// refusal is the JSON body with which hosts refuse requests.
type refusal struct {
	Error struct {
		Code            Code   `json:"code"`
		Message         string `json:"message"`
		Run             Run    `json:"run"`
		RetryAfterMS    int64  `json:"retry_after_ms"`
		RequestID       string `json:"request_id"`
		TokensDelivered int    `json:"tokens_delivered"`
	} `json:"error"`
}

// parseRefusal returns false for a text that is no host's refusal.
func parseRefusal(text []byte) (*Error, bool) {
	var r refusal
	if json.Unmarshal(text, &r) != nil || r.Error.Code == "" || r.Error.Run == "" {
		return nil, false
	}
	return &Error{
		Code: r.Error.Code, Message: r.Error.Message, Run: r.Error.Run, RequestID: r.Error.RequestID,
		RetryAfter:      time.Duration(r.Error.RetryAfterMS) * time.Millisecond,
		TokensDelivered: r.Error.TokensDelivered,
	}, true
}

// readRefusal returns the error of a response that is a host's refusal or, with ErrInternal, of any other response.
func readRefusal(resp *http.Response) *Error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return newConnectionError(err)
	}
	if e, ok := parseRefusal(text); ok {
		return e
	}
	return &Error{Code: ErrInternal, Message: resp.Status, Run: ErrMayHaveRun, RequestID: resp.Header.Get(headerRequestID)}
}

// newConnectionError returns an error that is ErrConnection and ErrMayHaveRun.
func newConnectionError(cause error) *Error {
	return &Error{Code: ErrConnection, Message: "the connection failed", Run: ErrMayHaveRun, Cause: cause}
}
