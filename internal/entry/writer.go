package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const (
	// maxTextBytes bounds the text of an answer that is not a stream.
	maxTextBytes = 16 << 20
	// smallTextBytes of each text take no memory of the answers'.
	smallTextBytes = 16 << 10
	// textCost is what a byte of a text takes, with that of its encoding.
	textCost = 2
	// maxMemoryWait bounds how long a text waits for memory.
	maxMemoryWait = 600 * time.Millisecond
	// memoryRetryAfter is the Retry-After of answers that found no memory.
	memoryRetryAfter = time.Second
)

// answerHeader holds the fields that all chunks of an answer have in common.
type answerHeader struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerFormat builds the answers of the completions API or of the chat completions API.
type answerFormat interface {
	// chunk returns one chunk of a stream; finish is empty except in the last one.
	chunk(h answerHeader, text, finish string) any
	// whole returns an answer that is not streamed.
	whole(h answerHeader, text, finish string, u usage) any
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type textAnswer struct {
	answerHeader
	Choices []textChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

type textFormat struct{}

func (textFormat) chunk(h answerHeader, text, finish string) any {
	h.Object = "text_completion"
	return textAnswer{answerHeader: h, Choices: []textChoice{{Text: text, FinishReason: nilIfEmpty(finish)}}}
}

func (f textFormat) whole(h answerHeader, text, finish string, u usage) any {
	a, _ := f.chunk(h, text, finish).(textAnswer)
	a.Usage = &u
	return a
}

type chatChoice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chatAnswer struct {
	answerHeader
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

type chatFormat struct{}

func (chatFormat) chunk(h answerHeader, text, finish string) any {
	h.Object = "chat.completion.chunk"
	return chatAnswer{answerHeader: h, Choices: []chatChoice{{Delta: &message{Role: "assistant", Content: text}, FinishReason: nilIfEmpty(finish)}}}
}

func (chatFormat) whole(h answerHeader, text, finish string, u usage) any {
	h.Object = "chat.completion"
	choice := chatChoice{Message: &message{Role: "assistant", Content: text}, FinishReason: nilIfEmpty(finish)}
	return chatAnswer{answerHeader: h, Choices: []chatChoice{choice}, Usage: &u}
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// writer writes the tokens of one generation to the caller, as server-sent events or as one body at the end.
type writer struct {
	w       http.ResponseWriter
	form    answerFormat
	head    answerHeader
	stream  bool
	started bool
	tokens  int
	// firstTokenAt is the time of the first token.
	firstTokenAt time.Time
	text         strings.Builder
	// memory is what the text is taken from; nil means no bound.
	memory *memory.Account
	// control sets the deadline of writes, which was last set at deadlineSetAt.
	control       *http.ResponseController
	deadlineSetAt time.Time
}

// Token writes one token, or buffers it if the answer is not a stream.
func (o *writer) Token(text string) error {
	if o.tokens == 0 {
		o.firstTokenAt = time.Now()
	}
	o.tokens++
	if !o.stream {
		return o.buffer(text)
	}
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	return o.event("", o.form.chunk(o.head, text, ""))
}

// buffer adds a token to the text of an answer that is not a stream.
func (o *writer) buffer(token string) error {
	size := o.text.Len() + len(token)
	if size > maxTextBytes {
		return refuse.New(refuse.CodeAnswerTooLarge, "the answer is larger than the limit")
	}
	if held := o.text.Cap(); size > held {
		size = max(size, 2*held)
		if !o.take(size) {
			e := refuse.New(refuse.CodeInterrupted, call.ErrNoMemory.Error())
			e.RetryAfter = memoryRetryAfter
			return e
		}
		o.text.Grow(size - o.text.Len())
		o.release(held)
	}
	o.text.WriteString(token)
	return nil
}

// take takes memory for a text of a size, for which it waits for a moment.
func (o *writer) take(size int) bool {
	if o.memory == nil || size <= smallTextBytes {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxMemoryWait)
	defer cancel()
	return o.memory.Acquire(ctx, textCost*(size-smallTextBytes))
}

// release releases what take has taken for a text of a size.
func (o *writer) release(size int) {
	if o.memory != nil && size > smallTextBytes {
		o.memory.Release(textCost * (size - smallTextBytes))
	}
}

func (o *writer) end(s relay.Summary, promptTokens int) {
	if o.stream {
		_ = o.event("", o.form.chunk(o.head, "", s.Finish))
		_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
		return
	}
	u := usage{PromptTokens: promptTokens, CompletionTokens: s.Tokens, TotalTokens: promptTokens + s.Tokens}
	o.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(o.w).Encode(o.form.whole(o.head, o.text.String(), s.Finish, u))
}

// fail ends a stream with an explicit error event.
func (o *writer) fail(e *refuse.Error) {
	_ = o.event("error", json.RawMessage(e.JSON()))
}

func (o *writer) event(name string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var b []byte
	if name != "" {
		b = append(b, "event: "+name+"\n"...)
	}
	b = append(b, "data: "...)
	b = append(b, text...)
	b = append(b, "\n\n"...)
	o.extendDeadline()
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return o.control.Flush()
}

// extendDeadline moves the write deadline forward, at most once a second.
func (o *writer) extendDeadline() {
	now := time.Now()
	if now.Sub(o.deadlineSetAt) < time.Second {
		return
	}
	o.deadlineSetAt = now
	_ = o.control.SetWriteDeadline(now.Add(writeLimit))
}
