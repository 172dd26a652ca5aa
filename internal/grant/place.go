package grant

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// slots is the number of groups into which the backend servers of a failure domain are hashed.
	slots = 32
	// parts is the number of parts of each slot; each part has its own holder.
	parts = 8
)

// slotOf returns the slot of a backend server.
func slotOf(backend string) int { return int(xxhash.Sum64String(backend) % slots) }

// partOf returns the part that a unit of a backend server belongs to.
// Adjacent units are in different parts, so that a low limit is divided among several hosts.
func partOf(offset uint64, unit int) int { return int((offset + uint64(unit)) % parts) }

func partOffsetOf(backend string) uint64 { return xxhash.Sum64String(backend) / slots % parts }

// rendezvous returns the hosts with the highest and the second-highest score, by rendezvous hashing
// (Thaler and Ravishankar 1998). When a host is added or removed, only the keys of that host move.
func rendezvous(key string, hosts []string) (first, second string) {
	var best, next uint64
	for _, h := range hosts {
		score := xxhash.Sum64String(key + "/" + h)
		switch {
		case first == "" || score > best:
			next, second = best, first
			best, first = score, h
		case second == "" || score > next:
			next, second = score, h
		}
	}
	return first, second
}

func ownerKey(slot int) string { return "owner/" + strconv.Itoa(slot) }

func partKey(slot, part int) string {
	return "part/" + strconv.Itoa(slot) + "/" + strconv.Itoa(part)
}

// layout is the owner of each slot and the holder of each part in one host's local view.
type layout struct {
	owner     [slots]string
	successor [slots]string
	holder    [slots][parts]string
}

func newLayout(live, holders []string) *layout {
	l := &layout{}
	for s := range slots {
		l.owner[s], l.successor[s] = rendezvous(ownerKey(s), live)
		for p := range parts {
			l.holder[s][p], _ = rendezvous(partKey(s, p), holders)
		}
	}
	return l
}
