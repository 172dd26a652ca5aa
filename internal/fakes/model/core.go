// Package model is a stand-in for a model engine with continuous batching and limited memory.
package model

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// Params are the sizes and speeds of an engine.
type Params struct {
	Model string
	// Blocks is the memory for keys and values in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// MaxBatch bounds the sequences that decode together.
	MaxBatch int
	// MaxWaiting bounds the requests that wait inside the engine.
	MaxWaiting int
	// StepBase, StepPerSequence and PrefillPerToken add up to the time of one decoding step.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that one step takes in.
	PrefillChunk int
	// CachedPrefixes bounds the prompt prefixes in the cache.
	CachedPrefixes int
	// ColdCapacity is the number of requests that the engine bears at once right after its start.
	ColdCapacity int
	// WarmTokens is the number of generated tokens after which it bears MaxBatch.
	WarmTokens int
	// CrashesOnOverload makes the engine die when it holds more than twice what it bears.
	CrashesOnOverload bool
	// Length returns the output length of a request, known to the engine alone.
	Length func(engine.Request) int
}

// DefaultParams returns an engine that decodes in about 20 ms a token.
func DefaultParams(name string) Params {
	return Params{
		Model:           name,
		Blocks:          4096,
		BlockTokens:     16,
		MaxBatch:        64,
		MaxWaiting:      256,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 150 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		PrefillChunk:    512,
		CachedPrefixes:  64,
		ColdCapacity:    64,
		WarmTokens:      1,
		Length:          func(r engine.Request) int { return min(r.MaxTokens, 64) },
	}
}

// Sentinel errors of the stand-in.
var (
	ErrFull = errors.New("engine queue is full")
	ErrDead = errors.New("engine is dead")
)

type sequence struct {
	request    engine.Request
	generation string
	length     int
	generated  int
	// pending is the number of tokens still to be taken in before decoding.
	pending  int
	blocks   int
	arrival  int
	finished string
}

// Counters are what the stand-in counts about its own work.
type Counters struct {
	Starts         int
	OverloadStarts int
	Preemptions    int
	Tokens         int
	Deaths         int
}

// Core is the engine without clock or network: each Step is one decoding step.
// It is not safe for concurrent use.
type Core struct {
	Params   Params
	Counters Counters

	boot     int
	arrivals int
	warmed   int
	free     int
	dead     bool
	running  []*sequence
	waiting  []*sequence
	cache    []uint64
	events   []engine.CacheEvent
	eventSeq uint64
	lastStep time.Duration
}

// NewCore returns an engine that has just started.
func NewCore(p Params) *Core {
	c := &Core{Params: p}
	c.Restart()
	return c
}

// Restart loses all sequences and the cache, and turns the engine cold.
func (c *Core) Restart() {
	c.boot++
	c.warmed = 0
	c.free = c.Params.Blocks
	c.dead = false
	c.running = nil
	c.waiting = nil
	c.cache = nil
	c.events = nil
}

// ResetWarmUp makes the engine bear as little as after a start, without losing its sequences.
func (c *Core) ResetWarmUp() { c.warmed = 0 }

// Die loses all sequences; the engine refuses everything until Restart.
func (c *Core) Die() {
	c.Counters.Deaths++
	c.Restart()
	c.dead = true
}

// IsDead reports whether the engine has died and not been restarted.
func (c *Core) IsDead() bool { return c.dead }

// Boot identifies the run of the engine since its last start.
func (c *Core) Boot() string { return strconv.Itoa(c.boot) }

// Capacity returns the number of requests that the engine bears at once now.
func (c *Core) Capacity() int {
	p := c.Params
	if c.warmed >= p.WarmTokens {
		return p.MaxBatch
	}
	return p.ColdCapacity + (p.MaxBatch-p.ColdCapacity)*c.warmed/max(1, p.WarmTokens)
}

// Held returns the number of requests that run or wait.
func (c *Core) Held() int { return len(c.running) + len(c.waiting) }

// Submit takes a request and returns the identity of its generation.
func (c *Core) Submit(r engine.Request) (string, error) {
	if c.dead {
		return "", ErrDead
	}
	if len(c.waiting) >= c.Params.MaxWaiting {
		return "", ErrFull
	}
	c.arrivals++
	c.Counters.Starts++
	if c.Held() >= c.Capacity() {
		c.Counters.OverloadStarts++
	}
	s := &sequence{
		request:    r,
		generation: c.Boot() + "-" + strconv.Itoa(c.arrivals),
		length:     max(1, c.Params.Length(r)),
		pending:    max(1, r.PromptTokens-c.cached(r)),
		arrival:    c.arrivals,
	}
	c.waiting = append(c.waiting, s)
	if c.Params.CrashesOnOverload && c.Held() > 2*c.Capacity() {
		c.Die()
		return "", ErrDead
	}
	return s.generation, nil
}

// Cancel ends a request and frees its memory.
func (c *Core) Cancel(id string) {
	match := func(s *sequence) bool { return s.request.ID == id }
	for _, s := range c.running {
		if match(s) {
			c.release(s)
		}
	}
	c.running = slices.DeleteFunc(c.running, match)
	c.waiting = slices.DeleteFunc(c.waiting, match)
}

// Step decodes one token of each running sequence; it returns the frames and the time that the step took.
// A step of an idle engine returns no frames and no time.
func (c *Core) Step() ([]engine.Frame, time.Duration) {
	c.admit()
	if len(c.running) == 0 {
		return nil, 0
	}
	prefilled := c.prefill()
	frames := c.decode()
	took := c.Params.StepBase + time.Duration(len(c.running))*c.Params.StepPerSequence
	took += time.Duration(prefilled) * c.Params.PrefillPerToken
	if over := c.Held() - c.Capacity(); over > 0 {
		took += took * time.Duration(over) / time.Duration(max(1, c.Capacity()))
	}
	c.lastStep = took
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool { return s.finished != "" })
	return frames, took
}

// admit moves waiting sequences into the batch while their tokens fit into memory, highest priority first.
func (c *Core) admit() {
	slices.SortStableFunc(c.waiting, byPriority)
	for len(c.waiting) > 0 && len(c.running) < c.Params.MaxBatch {
		s := c.waiting[0]
		need := c.blocksFor(s.request.PromptTokens + s.generated + 1)
		if need > c.free {
			return
		}
		c.free -= need
		s.blocks = need
		c.waiting = c.waiting[1:]
		c.running = append(c.running, s)
	}
}

func byPriority(a, b *sequence) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	return a.arrival - b.arrival
}

// prefill takes in prompts, up to one chunk in all, and returns the number of tokens taken.
func (c *Core) prefill() int {
	left := c.Params.PrefillChunk
	for _, s := range c.running {
		take := min(left, s.pending)
		s.pending -= take
		left -= take
		if take > 0 && s.pending == 0 {
			c.remember(s.request.PrefixHash)
		}
	}
	return c.Params.PrefillChunk - left
}

func (c *Core) decode() []engine.Frame {
	var frames []engine.Frame
	for _, s := range slices.Clone(c.running) {
		if s.pending > 0 || s.blocks == 0 || !c.grow(s) {
			continue
		}
		frames = append(frames, engine.Frame{
			Request:    s.request.ID,
			Generation: s.generation,
			Offset:     s.generated,
			Token:      Token(s.generation, s.generated),
		})
		s.generated++
		c.warmed++
		c.Counters.Tokens++
		if s.generated < s.length {
			continue
		}
		s.finished = "stop"
		if s.length >= s.request.MaxTokens {
			s.finished = "length"
		}
		c.release(s)
		frames = append(frames, engine.Frame{
			Request: s.request.ID, Generation: s.generation, Offset: s.generated, Finish: s.finished,
		})
	}
	return frames
}

// grow takes a block for the next token if one is needed; it preempts others while none is free.
func (c *Core) grow(s *sequence) bool {
	if c.blocksFor(s.request.PromptTokens+s.generated+1) <= s.blocks {
		return true
	}
	for c.free == 0 {
		victim := c.victim()
		c.preempt(victim)
		if victim == s {
			return false
		}
	}
	c.free--
	s.blocks++
	return true
}

// victim returns the running sequence of the lowest priority that arrived last.
func (c *Core) victim() *sequence {
	worst := c.running[0]
	for _, s := range c.running[1:] {
		if byPriority(worst, s) < 0 {
			worst = s
		}
	}
	return worst
}

// preempt frees a sequence's memory; its tokens must be taken in again later.
func (c *Core) preempt(s *sequence) {
	c.Counters.Preemptions++
	c.release(s)
	s.pending = s.request.PromptTokens + s.generated
	c.running = slices.DeleteFunc(c.running, func(o *sequence) bool { return o == s })
	c.waiting = append(c.waiting, s)
}

func (c *Core) release(s *sequence) {
	c.free += s.blocks
	s.blocks = 0
}

func (c *Core) blocksFor(tokens int) int {
	return (tokens + c.Params.BlockTokens - 1) / c.Params.BlockTokens
}

func (c *Core) cached(r engine.Request) int {
	if r.PrefixHash != 0 && slices.Contains(c.cache, r.PrefixHash) {
		return r.PrefixTokens
	}
	return 0
}

func (c *Core) remember(prefix uint64) {
	if prefix == 0 || slices.Contains(c.cache, prefix) {
		return
	}
	c.cache = append(c.cache, prefix)
	c.publish(engine.CacheEvent{Prefix: prefix})
	if len(c.cache) > c.Params.CachedPrefixes {
		c.publish(engine.CacheEvent{Prefix: c.cache[0], Evicted: true})
		c.cache = c.cache[1:]
	}
}

func (c *Core) publish(e engine.CacheEvent) {
	c.eventSeq++
	e.Sequence = c.eventSeq
	c.events = append(c.events, e)
}

// Events returns the cache events after a sequence number.
func (c *Core) Events(after uint64) []engine.CacheEvent {
	start := slices.IndexFunc(c.events, func(e engine.CacheEvent) bool { return e.Sequence > after })
	if start < 0 {
		return nil
	}
	return slices.Clone(c.events[start:])
}

// Load returns the engine's load at this moment.
func (c *Core) Load(now time.Time) engine.Load {
	total := c.Params.Blocks * c.Params.BlockTokens
	return engine.Load{
		Boot:        c.Boot(),
		At:          now,
		Running:     len(c.running),
		Waiting:     len(c.waiting),
		UsedTokens:  total - c.free*c.Params.BlockTokens,
		TotalTokens: total,
		Preemptions: c.Counters.Preemptions,
		TokenGap:    c.lastStep,
		Model:       c.Params.Model,
	}
}

// words are the tokens of all generated text.
var words = [...]string{"ash", "bark", "coke", "dust", "ember", "flue", "grit", "heat", "kiln", "lime", "moss", "oak", "peat", "quartz", "resin", "soot"}

// Token returns the token at an offset of a generation; two generations differ in most of their tokens.
func Token(generation string, offset int) string {
	h := xxhash.Sum64String(generation + "/" + strconv.Itoa(offset))
	return words[h%uint64(len(words))] + " "
}
