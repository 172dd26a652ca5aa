package faults

import (
	"strconv"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// answer is what a caller received for one send of its request.
type answer struct {
	request *request
	// resends is the number of earlier sends of the request.
	resends     int
	host        *host
	tokens      []string
	lastTokenAt time.Time
	ended       bool
	complete    bool
	// refusal is nil if the answer is complete or its host died.
	refusal *refuse.Error
	// stream is the host's side of the answer.
	stream stream
}

// stream serves one answer at a host under one policy.
type stream interface {
	begin()
	// callerLeft is called when the caller closes its connection.
	callerLeft()
	// kill ends the stream without any further message, as a crash of the host does.
	kill()
}

func (a *answer) id() string { return a.request.id + "/" + strconv.Itoa(a.resends) }

// receiveToken adds one token to the answer; the caller may close its connection after it.
func (a *answer) receiveToken(w *world, token string) {
	if a.ended {
		w.counts.TokensAfterEnd++
		return
	}
	now := w.loop.Now()
	if len(a.tokens) > 0 {
		w.counts.LongestGap = max(w.counts.LongestGap, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	a.tokens = append(a.tokens, token)
	if a.request.has(kindCallerLeaves) && len(a.tokens) == a.request.faultOffset {
		a.end(w)
		w.loop.After(0, a.stream.callerLeft)
	}
}

// finish ends a complete answer.
func (a *answer) finish(w *world) {
	a.complete = true
	a.end(w)
}

// fail ends the answer with a refusal; the caller of a request that crashes engines sends it again to another host.
func (a *answer) fail(w *world, refusal *refuse.Error) {
	a.refusal = refusal
	a.end(w)
	if a.request.has(kindCrashesEveryEngine) && a.resends < maxResends {
		w.loop.After(resendPause, func() { w.send(a.request, a.resends+1, a.host) })
	}
}

// hostDied ends the answer when its host crashes; the caller sends the request again to another host.
func (a *answer) hostDied(w *world) {
	a.stream.kill()
	a.end(w)
	if a.resends < maxResends {
		w.loop.After(oneWayDelay, func() { w.send(a.request, a.resends+1, a.host) })
	}
}

func (a *answer) end(w *world) {
	a.ended = true
	delete(a.host.answers, a.id())
	w.check(a)
}

// check counts the errors in an ended answer. A token's text is its generation and offset, joined by a slash.
func (w *world) check(a *answer) {
	seen := make(map[string]bool)
	generations := make(map[string]bool)
	highest := -1
	for _, token := range a.tokens {
		generation, offset, _ := strings.Cut(token, "/")
		generations[generation] = true
		if seen[offset] {
			w.counts.DuplicateTokens++
		}
		seen[offset] = true
		n, _ := strconv.Atoi(offset)
		highest = max(highest, n)
	}
	for generation := range generations {
		if !strings.HasPrefix(w.attempts[generation], a.request.id) {
			w.counts.ForeignAnswers++
		}
	}
	if len(generations) > 1 {
		w.counts.MixedGenerations++
	}
	expected := highest + 1
	if a.complete {
		expected = a.request.tokens
	}
	missing := expected - len(seen)
	w.counts.MissingTokens += max(0, missing)
	if a.complete && missing > 0 {
		w.counts.Cut++
	}
	if a.refusal != nil && a.refusal.Run == refuse.NotRun && w.accepted[a.id()] {
		w.counts.FalseNotRun++
	}
	if a.refusal != nil && a.refusal.Run == refuse.Partial && a.refusal.TokensDelivered != len(a.tokens) {
		w.counts.WrongTokenCounts++
	}
	if a.refusal != nil && a.refusal.Code == refuse.CodeQuarantined && !a.request.has(kindCrashesEveryEngine) {
		w.counts.FalselyBarred++
	}
}
