package relay

import "time"

// Default rules.
const (
	DefaultFrameTimeout  = time.Second
	DefaultProbeTimeout  = time.Second
	DefaultGrace         = 100 * time.Millisecond
	DefaultResumeTimeout = 5 * time.Second
	DefaultStopTimeout   = 5 * time.Second
	DefaultMaxStarts     = 4
)

// Rules bound the waits and attempts of a Machine; a zero field takes its default.
type Rules struct {
	// FrameTimeout is the time without a frame after which the engine's progress is probed.
	FrameTimeout time.Duration
	// ProbeTimeout bounds the time for an engine to answer a progress probe or to open a resumed stream.
	ProbeTimeout time.Duration
	// Grace is the time for frames in flight to arrive after a probe has shown that the engine sent them.
	Grace time.Duration
	// ResumeTimeout bounds the time for which resuming a lost generation is tried.
	ResumeTimeout time.Duration
	// StopTimeout bounds the wait for a sign that an abandoned attempt has ended.
	StopTimeout time.Duration
	// MaxStarts bounds the starts of one request, not counting engines that could not be reached.
	MaxStarts int
}

func (r Rules) withDefaults() Rules {
	setDefault(&r.FrameTimeout, DefaultFrameTimeout)
	setDefault(&r.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&r.Grace, DefaultGrace)
	setDefault(&r.ResumeTimeout, DefaultResumeTimeout)
	setDefault(&r.StopTimeout, DefaultStopTimeout)
	setDefault(&r.MaxStarts, DefaultMaxStarts)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Budget bounds the retries of a host.
type Budget interface {
	Allow() bool
}
