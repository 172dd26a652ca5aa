package intake

import (
	"math"
	"syscall"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// headsFraction is the fraction of the allowed memory for the heads of requests.
	headsFraction = 0.1
	// defaultHeadsBytes is used where the settings state no memory.
	defaultHeadsBytes = 64 << 20
	// unfinishedPerMB and connectionsPerMB bound connections by the allowed memory: Go's server takes some 20 KB for each.
	unfinishedPerMB  = 4
	connectionsPerMB = 16
	// descriptorsFraction is the fraction of the process's descriptors for callers' connections and those to backend servers; the
	// rest is for the other addresses, the store, and standby copies.
	descriptorsFraction = 0.6
	megabyte            = 1 << 20
)

// NewLimits returns the limits of the callers' listener of a host. Those that the settings leave open follow from its memory and
// descriptors.
func NewLimits(s config.Settings) Limits {
	descriptors := uint64(math.MaxInt32)
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = min(descriptors, limit.Cur)
	}
	return limitsWithin(s, descriptors)
}

// limitsWithin returns the limits of a process with a number of descriptors.
func limitsWithin(s config.Settings, descriptors uint64) Limits {
	l := Limits{
		HeadsBytes: s.Limits.HeadsBytes, Unfinished: s.Limits.OpenHeads, Connections: s.Limits.Connections,
		Lines: s.Limits.HeadLines, BlankLines: s.Limits.BlankLines,
	}
	memoryMB := int64(0)
	if s.Platform != nil {
		memoryMB = s.Platform.MemoryMB
		l.Connections = min(l.Connections, int(connectionsPerMB*memoryMB))
		l.Forwarding = true
	}
	l.Connections = min(l.Connections, int(descriptorsFraction*float64(descriptors)))
	if l.HeadsBytes == 0 {
		l.HeadsBytes = defaultHeadsBytes
		if memoryMB > 0 {
			l.HeadsBytes = int64(headsFraction * float64(memoryMB) * megabyte)
		}
	}
	if l.Unfinished == 0 {
		l.Unfinished = l.Connections / 4
		if memoryMB > 0 {
			l.Unfinished = min(l.Connections, int(unfinishedPerMB*memoryMB))
		}
	}
	return l
}

// Part returns the limits of a listener for fewer callers, whose connections have places of their own: 1/n of the connections and
// of the memory.
func (l Limits) Part(n int) Limits {
	l.HeadsBytes /= int64(n)
	l.Unfinished = max(1, l.Unfinished/n)
	l.Connections = max(1, l.Connections/n)
	l.Forwarding = false
	return l
}
