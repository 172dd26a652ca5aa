package client

import (
	"context"
	"encoding/json"
	"iter"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	pathCompletions = "/v1/completions"
	eventError      = "error"
	dataDone        = "[DONE]"
)

// Prompt is the request for one generation.
type Prompt struct {
	// Model is the name of a model service.
	Model string `json:"model"`
	Text  string `json:"prompt"`
	// MaxTokens bounds the output tokens; zero means the limit of the deployment's table.
	MaxTokens int `json:"max_tokens,omitempty"`
}

type streamPrompt struct {
	Prompt
	Stream bool `json:"stream"`
}

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Stream yields the tokens of one generation in order, each once. It ends without an error only if the generation is
// complete. A request that fails before the first token is retried; after that the stream ends with an *Error that is
// ErrPartial and holds the number of tokens delivered.
func (c *Client) Stream(ctx context.Context, p Prompt) iter.Seq2[string, error] {
	return func(yield func(string, error) bool) {
		r := &streamReader{yield: yield}
		canRetry := func(e *Error) bool { return !isPermanent(e.Code) && r.tokens == 0 }
		err := c.retry(ctx, canRetry, func(attempt int) error { return c.stream(ctx, p, attempt, r) })
		if err != nil && !r.stopped {
			yield("", err)
		}
	}
}

// streamReader passes a stream's tokens to the caller and keeps track of its progress over all attempts.
type streamReader struct {
	yield  func(string, error) bool
	tokens int
	// finished means that an event with a finish reason was read.
	finished bool
	// stopped means that the caller has stopped reading.
	stopped bool
}

// stream makes one attempt of a generation.
func (c *Client) stream(ctx context.Context, p Prompt, attempt int, r *streamReader) error {
	body, err := json.Marshal(streamPrompt{p, true})
	if err != nil {
		return &Error{Code: ErrBadRequest, Message: "the prompt can't be encoded", Run: ErrNotRun, Cause: err}
	}
	resp, err := c.send(ctx, request{method: http.MethodPost, path: pathCompletions, body: body, contentType: jsonContentType}, attempt)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return r.newTruncatedError(err)
		}
		if event.Data == dataDone && r.finished || r.stopped {
			return nil
		}
		if err := r.handle(event); err != nil {
			return err
		}
	}
	if r.stopped {
		return nil
	}
	return r.newTruncatedError(nil)
}

// handle yields the token of an event, or returns the error that the event carries.
func (r *streamReader) handle(event sse.Event) error {
	if event.Type == eventError {
		if e, ok := parseRefusal([]byte(event.Data)); ok {
			return e
		}
		return r.newTruncatedError(nil)
	}
	var parsed chunk
	if err := json.Unmarshal([]byte(event.Data), &parsed); err != nil || len(parsed.Choices) == 0 {
		return r.newTruncatedError(errors.Wrap(err, "decode event"))
	}
	if parsed.Choices[0].FinishReason != nil {
		r.finished = true
	}
	if text := parsed.Choices[0].Text; text != "" {
		r.tokens++
		r.stopped = !r.yield(text, nil)
	}
	return nil
}

// newTruncatedError returns the error of a stream that broke off before it was complete.
func (r *streamReader) newTruncatedError(cause error) *Error {
	e := newConnectionError(cause)
	if r.tokens > 0 {
		e.Run, e.TokensDelivered = ErrPartial, r.tokens
	}
	return e
}
