// Package model is a fake model engine with continuous batching and limited memory.
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
	// Model is the name in load reports; a carried-out order replaces it.
	Model string
	// Blocks is the size of the KV cache in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// MaxBatch bounds the sequences in the running batch.
	MaxBatch int
	// MaxWaiting bounds the engine's queue; further requests get ErrQueueFull.
	MaxWaiting int
	// StepBase, StepPerSequence and PrefillPerToken add up to the time of one decoding step.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that are prefilled in one step.
	PrefillChunk int
	// CachedPrefixes bounds the prefix cache; the oldest entry is evicted first.
	CachedPrefixes int
	// ColdCapacity is the number of concurrent requests that the engine can sustain right after its start.
	ColdCapacity int
	// WarmTokens is the number of generated tokens after which the capacity is MaxBatch.
	WarmTokens int
	// CrashesOnOverload makes the engine crash when it has more requests than twice its capacity.
	CrashesOnOverload bool
	// Length returns the output length of a request in tokens, which callers can't know beforehand.
	Length func(engine.Request) int
}

// DefaultParams returns the parameters of an engine that decodes a token in about 20 ms.
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

// Errors of Core.Submit.
var (
	ErrQueueFull = errors.New("engine queue is full")
	ErrCrashed   = errors.New("engine has crashed")
)

// sequence is one request in the engine.
type sequence struct {
	request    engine.Request
	generation string
	length     int
	generated  int
	// pending is the number of tokens still to be prefilled.
	pending int
	blocks  int
	// arrival is the sequence's number in the order of submission.
	arrival int
	// finished is the finish reason; it is empty until the end.
	finished string
}

// Counters count the engine's work since it was created.
type Counters struct {
	Starts int
	// OverloadStarts counts the requests that were submitted while the engine was at capacity.
	OverloadStarts int
	Preemptions    int
	Tokens         int
	// Deaths counts crashes.
	Deaths int
}

// Core simulates the engine without a clock or network: each Step is one decoding step.
// It is not safe for concurrent use.
type Core struct {
	Params   Params
	Counters Counters

	boot     int
	arrivals int
	// warmUpTokens counts the tokens generated since the last start or ResetWarmUp.
	warmUpTokens int
	free         int
	crashed      bool
	running      []*sequence
	waiting      []*sequence
	cache        []uint64
	events       []engine.CacheEvent
	eventSeq     uint64
	lastStep     time.Duration
}

// NewCore returns an engine that has just started.
func NewCore(p Params) *Core {
	c := &Core{Params: p}
	c.Restart()
	return c
}

// Restart drops all sequences and the cache, and resets the warm-up.
func (c *Core) Restart() {
	c.boot++
	c.warmUpTokens = 0
	c.free = c.Params.Blocks
	c.crashed = false
	c.running = nil
	c.waiting = nil
	c.cache = nil
	c.events = nil
}

// ResetWarmUp reduces the capacity to that after a start and keeps the sequences.
func (c *Core) ResetWarmUp() { c.warmUpTokens = 0 }

// Crash drops all sequences; Submit fails with ErrCrashed until Restart.
func (c *Core) Crash() {
	c.Counters.Deaths++
	c.Restart()
	c.crashed = true
}

// IsDead reports whether the engine has crashed and has not been restarted.
func (c *Core) IsDead() bool { return c.crashed }

// Boot returns an ID that changes at each start of the engine.
func (c *Core) Boot() string { return strconv.Itoa(c.boot) }

// Capacity returns the number of concurrent requests that the engine can sustain now. It grows linearly while the
// engine warms up.
func (c *Core) Capacity() int {
	p := c.Params
	if c.warmUpTokens >= p.WarmTokens {
		return p.MaxBatch
	}
	return p.ColdCapacity + (p.MaxBatch-p.ColdCapacity)*c.warmUpTokens/max(1, p.WarmTokens)
}

// InFlight returns the number of running and waiting requests.
func (c *Core) InFlight() int { return len(c.running) + len(c.waiting) }

// Submit queues a request and returns the ID of its generation, or ErrQueueFull or ErrCrashed.
func (c *Core) Submit(r engine.Request) (string, error) {
	if c.crashed {
		return "", ErrCrashed
	}
	if len(c.waiting) >= c.Params.MaxWaiting {
		return "", ErrQueueFull
	}
	c.arrivals++
	c.Counters.Starts++
	if c.InFlight() >= c.Capacity() {
		c.Counters.OverloadStarts++
	}
	s := &sequence{
		request:    r,
		generation: c.Boot() + "-" + strconv.Itoa(c.arrivals),
		length:     max(1, c.Params.Length(r)),
		pending:    max(1, r.PromptTokens-c.cachedTokens(r)),
		arrival:    c.arrivals,
	}
	c.waiting = append(c.waiting, s)
	if c.Params.CrashesOnOverload && c.InFlight() > 2*c.Capacity() {
		c.Crash()
		return "", ErrCrashed
	}
	return s.generation, nil
}

// Cancel removes a request and frees its memory.
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

// Step decodes one token of each prefilled running sequence and returns the frames and the duration of the step.
// Above capacity, the duration grows in proportion to the excess. An idle engine returns no frames and zero.
func (c *Core) Step() ([]engine.Frame, time.Duration) {
	c.admit()
	if len(c.running) == 0 {
		return nil, 0
	}
	prefilled := c.prefill()
	frames := c.decode()
	duration := c.Params.StepBase + time.Duration(len(c.running))*c.Params.StepPerSequence
	duration += time.Duration(prefilled) * c.Params.PrefillPerToken
	if excess := c.InFlight() - c.Capacity(); excess > 0 {
		duration += duration * time.Duration(excess) / time.Duration(max(1, c.Capacity()))
	}
	c.lastStep = duration
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool { return s.finished != "" })
	return frames, duration
}

// admit moves waiting sequences into the running batch, highest priority first, while their tokens fit into memory.
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

// byPriority orders by descending priority, then by arrival.
func byPriority(a, b *sequence) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	return a.arrival - b.arrival
}

// prefill processes pending tokens, at most PrefillChunk in all, and returns their number.
func (c *Core) prefill() int {
	budget := c.Params.PrefillChunk
	for _, s := range c.running {
		take := min(budget, s.pending)
		s.pending -= take
		budget -= take
		if take > 0 && s.pending == 0 {
			c.cachePrefix(s.request.PrefixHash)
		}
	}
	return c.Params.PrefillChunk - budget
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
		c.warmUpTokens++
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

// grow allocates a block for the next token if one is needed, preempting sequences until one is free. It returns false
// if s itself was preempted.
func (c *Core) grow(s *sequence) bool {
	if c.blocksFor(s.request.PromptTokens+s.generated+1) <= s.blocks {
		return true
	}
	for c.free == 0 {
		victim := c.preemptionVictim()
		c.preempt(victim)
		if victim == s {
			return false
		}
	}
	c.free--
	s.blocks++
	return true
}

// preemptionVictim returns the last-arrived of the running sequences with the lowest priority.
func (c *Core) preemptionVictim() *sequence {
	worst := c.running[0]
	for _, s := range c.running[1:] {
		if byPriority(worst, s) < 0 {
			worst = s
		}
	}
	return worst
}

// preempt moves a sequence back to the queue and frees its memory; all its tokens must be prefilled again.
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

// cachedTokens returns the number of prompt tokens that the prefix cache saves.
func (c *Core) cachedTokens(r engine.Request) int {
	if r.PrefixHash != 0 && slices.Contains(c.cache, r.PrefixHash) {
		return r.PrefixTokens
	}
	return 0
}

func (c *Core) cachePrefix(prefix uint64) {
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

// Events returns the cache events with a sequence number above after.
func (c *Core) Events(after uint64) []engine.CacheEvent {
	start := slices.IndexFunc(c.events, func(e engine.CacheEvent) bool { return e.Sequence > after })
	if start < 0 {
		return nil
	}
	return slices.Clone(c.events[start:])
}

// Load returns the engine's current load, with now as its time.
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

// words are the possible tokens of generated text.
var words = [...]string{"ash", "bark", "coke", "dust", "ember", "flue", "grit", "heat", "kiln", "lime", "moss", "oak", "peat", "quartz", "resin", "soot"}

// Token returns the token at an offset of a generation, a hash of both; two generations differ in most tokens.
func Token(generation string, offset int) string {
	h := xxhash.Sum64String(generation + "/" + strconv.Itoa(offset))
	return words[h%uint64(len(words))] + " "
}
