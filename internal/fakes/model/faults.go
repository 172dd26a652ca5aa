package model

import "time"

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// Dead drops all connections and refuses new ones; clearing it restarts the engine.
	Dead bool `json:"dead"`
	// Refuse refuses new generations.
	Refuse bool `json:"refuse"`
	// StallStreams stops the frames of the streams that are open now, for good, while new connections work.
	StallStreams bool `json:"silent"`
	// Delay is added before the first frame of each stream.
	Delay time.Duration `json:"delay"`
	// Slow is added to each step.
	Slow time.Duration `json:"slow"`
	// ReportLag makes load reports and cache events that old.
	ReportLag time.Duration `json:"report_lag"`
	// EventGap drops each cache event whose sequence number it divides; zero drops none.
	EventGap uint64 `json:"event_gap"`
	// Cold turns the engine cold once.
	Cold bool `json:"cold"`
	// LoadTime is the time that the engine needs to carry out an order.
	LoadTime time.Duration `json:"load_time"`
	// IgnoreFence makes the engine take orders whatever their fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// KillPrompt makes the engine die when a prompt contains it; empty for none.
	KillPrompt string `json:"kill_prompt"`
}
