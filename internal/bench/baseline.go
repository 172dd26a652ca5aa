package bench

import (
	"math"
	"slices"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

// centralQueue is a baseline: one FIFO queue for all hosts, with counters that all hosts share without delay, an
// advantage that real hosts don't have.
type centralQueue struct {
	rig     *rig
	queue   []*stream
	running []int
	// sinceReport sums the prompt tokens of the starts since the last load report, reserved the prompt tokens and
	// output limits of the running requests.
	sinceReport []int
	reserved    []int
	loads       []engine.Load
	next        int
	// pick returns an engine for the first request of the queue, or a negative number if it must wait.
	pick func(c *centralQueue, f *stream) int
}

func newCentral(r *rig, pick func(c *centralQueue, f *stream) int) *centralQueue {
	n := len(r.engines)
	return &centralQueue{
		rig: r, pick: pick, running: make([]int, n), sinceReport: make([]int, n), reserved: make([]int, n), loads: make([]engine.Load, n),
	}
}

func (c *centralQueue) arrive(f *stream) {
	c.queue = append(c.queue, f)
	c.dispatch()
}

func (c *centralQueue) dispatch() {
	for len(c.queue) > 0 {
		f := c.queue[0]
		e := c.pick(c, f)
		if e < 0 {
			return
		}
		c.queue = c.queue[1:]
		c.running[e]++
		c.sinceReport[e] += f.request.PromptTokens
		c.reserved[e] += f.request.PromptTokens + f.request.MaxTokens
		c.rig.start(f, e, 0)
	}
}

func (c *centralQueue) progress(*stream) {}

func (c *centralQueue) cancel(f *stream) {
	c.queue = slices.DeleteFunc(c.queue, func(o *stream) bool { return o == f })
}

func (c *centralQueue) ended(f *stream, _ sched.Outcome) {
	c.running[f.engine]--
	c.reserved[f.engine] -= f.request.PromptTokens + f.request.MaxTokens
	c.dispatch()
}

func (c *centralQueue) report(e int, l engine.Load) {
	c.loads[e] = l
	c.sinceReport[e] = 0
	c.dispatch()
}

func roundRobin(c *centralQueue, _ *stream) int {
	c.next++
	return c.next % len(c.running)
}

func leastOutstanding(c *centralQueue, _ *stream) int {
	return c.leastRunning(func(int) bool { return true })
}

// leastRunning returns the allowed engine with the fewest requests, or -1 if none is allowed.
func (c *centralQueue) leastRunning(allowed func(e int) bool) int {
	best, fewest := -1, math.MaxInt
	for e, n := range c.running {
		if n < fewest && allowed(e) {
			best, fewest = e, n
		}
	}
	return best
}

// fixedLimit limits the number of requests at each engine.
func fixedLimit(limit int) func(*centralQueue, *stream) int {
	return func(c *centralQueue, _ *stream) int {
		return c.leastRunning(func(e int) bool { return c.running[e] < limit })
	}
}

// greedyMemory picks the engine with the most memory free at its last report, less the prompts started since, if the
// prompt fits.
func greedyMemory(c *centralQueue, f *stream) int {
	best, mostFree := -1, -1
	for e, b := range c.rig.engines {
		free := b.backend.MemoryTokens - c.loads[e].UsedTokens - c.sinceReport[e] - f.request.PromptTokens
		if free > mostFree {
			best, mostFree = e, free
		}
	}
	return best
}

// reserveMax reserves memory for the prompt and the output limit of each request.
func reserveMax(c *centralQueue, f *stream) int {
	need := f.request.PromptTokens + f.request.MaxTokens
	return c.leastRunning(func(e int) bool { return c.reserved[e]+need <= c.rig.engines[e].backend.MemoryTokens })
}
