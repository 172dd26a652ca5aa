// Package stall decides which callers that do not read their answers are dropped.
package stall

import (
	"slices"
	"time"
)

// Reason says why a reader was dropped.
type Reason string

// The reasons to drop a reader.
const (
	// Stopped is a reader that took nothing for Limits.Stopped.
	Stopped Reason = "stopped"
	// Memory is one of the readers that together hold more than Limits.HeldBytes.
	Memory Reason = "memory"
)

// Limits are the bounds of all readers of a host.
type Limits struct {
	// Stopped is the time without progress after which a reader is dropped. Backend servers cut an answer off that is unread for some
	// seconds, so it is less than that.
	Stopped time.Duration
	// Grace is the time without progress from which a reader may be dropped for memory.
	Grace time.Duration
	// HeldBytes bounds what the host holds for all readers that are written to.
	HeldBytes int64
}

// Reader is a caller to whom a write is in progress.
type Reader struct {
	// Blocked is the time since the caller last took any bytes.
	Blocked time.Duration
	// Held is what the host holds of the answer.
	Held int64
}

// Drop is a reader that is dropped, by its index.
type Drop struct {
	Index  int
	Reason Reason
}

// Decide returns the readers that are dropped. It addresses many callers at once that read slowly or not at all: one that takes
// bytes keeps its answer however slow it is, unless all together hold too much; then those go first that took none for longest.
func (l Limits) Decide(readers []Reader) []Drop {
	order := make([]int, len(readers))
	held := int64(0)
	for i, r := range readers {
		order[i] = i
		held += r.Held
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(readers[b].Blocked - readers[a].Blocked) })
	var drops []Drop
	for _, i := range order {
		r := readers[i]
		switch {
		case r.Blocked >= l.Stopped:
			drops = append(drops, Drop{i, Stopped})
		case r.Blocked >= l.Grace && held > l.HeldBytes:
			drops = append(drops, Drop{i, Memory})
		default:
			return drops
		}
		held -= r.Held
	}
	return drops
}
