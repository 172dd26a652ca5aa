package relay

import "time"

// Default rules.
const (
	DefaultFrameTimeout  = time.Second
	DefaultProbeTimeout  = time.Second
	DefaultGrace         = 100 * time.Millisecond
	DefaultResumeTimeout = 5 * time.Second
	DefaultMaxStarts     = 4
)

// Rules bound how long and how often a Machine tries; a zero field takes its default.
type Rules struct {
	// FrameTimeout is the time without a frame after which the engine is asked for its progress.
	FrameTimeout time.Duration
	// ProbeTimeout bounds the time for an engine to answer a question on progress or to open a resumed stream.
	ProbeTimeout time.Duration
	// Grace is the time for frames in flight to arrive after the engine has told of them.
	Grace time.Duration
	// ResumeTimeout bounds the time in which a lost generation may be resumed.
	ResumeTimeout time.Duration
	// MaxStarts bounds the sends for one request.
	MaxStarts int
}

func (r Rules) withDefaults() Rules {
	setDefault(&r.FrameTimeout, DefaultFrameTimeout)
	setDefault(&r.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&r.Grace, DefaultGrace)
	setDefault(&r.ResumeTimeout, DefaultResumeTimeout)
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
