package model

import "time"

// Faults are the faults that a Server injects.
type Faults struct {
	// Dead aborts all open streams and new requests; clearing it restarts the engine.
	Dead bool `json:"dead"`
	// Refuse answers new generations with status 503.
	Refuse bool `json:"refuse"`
	// StallStreams sends nothing more on the streams that are open now; new streams work.
	StallStreams bool `json:"silent"`
	// Delay delays the first frame of each new generation.
	Delay time.Duration `json:"delay"`
	// Slow is added to the duration of each step.
	Slow time.Duration `json:"slow"`
	// ReportLag is the age of the load reports that are returned.
	ReportLag time.Duration `json:"report_lag"`
	// EventGap drops the cache events whose sequence number is a multiple of it; zero drops none.
	EventGap uint64 `json:"event_gap"`
	// Cold resets the engine's warm-up once.
	Cold bool `json:"cold"`
	// LoadTime is the time until an accepted order is carried out.
	LoadTime time.Duration `json:"load_time"`
	// IgnoreFence accepts orders with an outdated fencing token.
	IgnoreFence bool `json:"ignore_fence"`
	// KillPrompt makes the engine crash and restart when a prompt contains it; empty disables this.
	KillPrompt string `json:"kill_prompt"`
}
