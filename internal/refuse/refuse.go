// Package refuse defines the error response of a refused or failed request.
package refuse

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Run reports whether a refused or failed request ran on a backend server.
type Run string

// The values of Run.
const (
	// NotRun means that no backend server ran any part of the request.
	NotRun Run = "not_run"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun Run = "may_have_run"
	// Partial means that the caller has received a part of the response.
	Partial Run = "partial"
)

// Code identifies the kind of an error.
type Code string

// The error codes of the API.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeTooLarge         Code = "too_large"
	CodeConflict         Code = "conflict"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeInProgress       Code = "in_progress"
	CodeOverloaded       Code = "overloaded"
	CodeNoBackend        Code = "no_backend"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeTimeout          Code = "timeout"
	CodeQuarantined      Code = "quarantined"
	CodeInterrupted      Code = "interrupted"
	CodeDraining         Code = "draining"
	CodeInternal         Code = "internal"
	// CodeAnswerTooLarge means that a backend server's response exceeds what the host passes on.
	CodeAnswerTooLarge Code = "answer_too_large"
)

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	switch c {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeConflict, CodeInProgress:
		return http.StatusConflict
	case CodeKeyReused, CodeQuarantined:
		return http.StatusUnprocessableEntity
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeNoBackend, CodeStoreUnavailable, CodeDraining:
		return http.StatusServiceUnavailable
	case CodeTimeout:
		return http.StatusGatewayTimeout
	case CodeInterrupted, CodeAnswerTooLarge:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// Error is the error that a caller receives for a refused or failed request.
type Error struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is the time after which a retry is likely to succeed; zero omits it.
	RetryAfter time.Duration
	RequestID  string
	// TokensDelivered is the number of tokens that the caller has received; it is written for Partial only.
	TokensDelivered int
}

// New returns an error for a request that did not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: NotRun}
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Is reports whether the target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}

// From returns the *Error in err's chain, or an internal error with MayHaveRun if there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Message: "internal error", Run: MayHaveRun}
}

type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Code            Code   `json:"code"`
	Message         string `json:"message"`
	Run             Run    `json:"run"`
	RetryAfterMS    int64  `json:"retry_after_ms,omitempty"`
	RequestID       string `json:"request_id"`
	TokensDelivered *int   `json:"tokens_delivered,omitempty"`
}

// JSON returns the response body.
func (e *Error) JSON() []byte {
	b := bodyError{
		Code:         e.Code,
		Message:      e.Message,
		Run:          e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    e.RequestID,
	}
	if e.Run == Partial {
		b.TokensDelivered = &e.TokensDelivered
	}
	encoded, err := json.Marshal(body{Error: b})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return encoded
}

// Write writes the error response; nothing must have been written to w before.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(append(e.JSON(), '\n'))
}
