// Package engine is a client for model engines: it starts, resumes and cancels generations and reads load reports.
package engine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of an engine.
var (
	// ErrRefused says that the engine did not accept the request; no part of it ran.
	ErrRefused = errors.New("engine refused the request")
	// ErrUnreachable says that no connection to the engine could be made; no part of the request ran.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrNotListening says that nothing accepts connections at the engine's address, so that nothing runs there.
	ErrNotListening = errors.New("nothing listens at the engine's address")
	// ErrBroken says that a stream ended before the generation was complete, or that another call got no valid answer.
	ErrBroken = errors.New("engine connection broke")
	// ErrGone says that the engine does not have the generation.
	ErrGone = errors.New("engine does not have the generation")
	// ErrFenced says that the engine refused an order because its fencing token is outdated.
	ErrFenced = errors.New("fencing token is too old")
)

// Request asks an engine for one generation.
type Request struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	// Adapter is the adapter to use; empty means none.
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// PrefixHash identifies the part of the prompt that other requests share; zero means none.
	PrefixHash uint64 `json:"prefix_hash,omitempty"`
	// PrefixTokens is the length of the shared part in tokens.
	PrefixTokens int `json:"prefix_tokens,omitempty"`
	// MaxTokens limits the output in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority decides which sequences are preempted when the engine's memory is full; higher ones are preempted later.
	Priority int `json:"priority"`
	// Workspace names the customer, for the engine's own accounting.
	Workspace string `json:"workspace,omitempty"`
}

// Frame is one token of a generation, or its end.
type Frame struct {
	// Request is the ID of the request that the frame answers.
	Request string `json:"request"`
	// Generation identifies one run of the request on one engine.
	Generation string `json:"generation"`
	// Offset is the number of tokens of the generation before this one.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Finish is "stop" or "length" in the last frame, which has no token, and empty in all others.
	Finish string `json:"finish,omitempty"`
}

// Progress reports how many tokens of a generation an engine has generated.
type Progress struct {
	Generation string `json:"generation"`
	// Tokens is the number of tokens generated so far.
	Tokens   int  `json:"tokens"`
	Finished bool `json:"finished"`
}

// Load is an engine's load report. It may be outdated when it is read.
type Load struct {
	// Boot changes whenever the engine restarts.
	Boot string `json:"boot"`
	// At is the time of the report by the engine's clock.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// UsedTokens and TotalTokens are the used and total size of the KV cache, in tokens.
	UsedTokens  int `json:"used_tokens"`
	TotalTokens int `json:"total_tokens"`
	// Preemptions is the number of sequences preempted since the engine started.
	Preemptions int `json:"preemptions"`
	// TokenGap is the recent mean time between two tokens of a sequence.
	TokenGap time.Duration `json:"token_gap"`
	// Model, Version, Adapters and Role are what the engine serves now.
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// CacheEvent reports a prefix that was added to or evicted from an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Order asks an engine to load a model and adapters and to take a role; it is idempotent.
type Order struct {
	// Fence is the fencing token of the lease under which the order is sent.
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// Stream yields the frames of one generation. It is not safe for concurrent use.
type Stream interface {
	// Next waits for the next frame. It returns io.EOF after the frame that has Finish set, and fails when the
	// context that opened the stream ends.
	Next() (Frame, error)
	// Close releases the connection without cancelling the generation. It may be called more than once.
	Close()
}
