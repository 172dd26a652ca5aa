package sched

import "time"

const (
	// linkBytesPerSecond is the bandwidth of the paid link that requests across it may use, divided among all live hosts.
	linkBytesPerSecond = 2_000_000
	// linkBurst bounds the budget that accumulates while the link is idle, in seconds.
	linkBurst = 4
	// bytesPerPromptToken and bytesPerOutputToken are the estimated traffic of a request on the link.
	bytesPerPromptToken = 4
	bytesPerOutputToken = 100
)

// linkBudget is a token bucket of bytes for requests across the paid link. Its zero value is full.
type linkBudget struct {
	bytes    float64
	refilled time.Time
}

// allows reports whether this host, one of that many live hosts, may start a request across the link.
func (l *linkBudget) allows(hosts int, now time.Time) bool {
	rate := linkBytesPerSecond / float64(hosts)
	if l.refilled.IsZero() {
		l.bytes = linkBurst * rate
	}
	l.bytes = min(linkBurst*rate, l.bytes+rate*max(0, now.Sub(l.refilled).Seconds()))
	l.refilled = now
	return l.bytes > 0
}

// spend subtracts the expected bytes of a request from the budget.
func (l *linkBudget) spend(prompt int, output float64) {
	l.bytes -= bytesPerPromptToken*float64(prompt) + bytesPerOutputToken*output
}
