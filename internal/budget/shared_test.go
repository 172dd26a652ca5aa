package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSharedWindow(t *testing.T) {
	now := 1000 * time.Second
	s := &Shared{Ratio: 0.2, Extra: 54, Window: 10 * time.Second, Hosts: func() int { return 7 }, Now: func() time.Duration { return now }}
	spend := func(urgent bool) int {
		n := 0
		for s.Allow("model", urgent) {
			n++
		}
		return n
	}
	for range 20 {
		s.Arrived("model")
	}
	plain := spend(false)
	assert.Equal(t, plain, 5, "0.6 of 0.85 of 20*0.2 + 54/7")
	assert.Equal(t, spend(true), 4, "the reserve for urgent retries")
	now += 9 * time.Second
	assert.Equal(t, spend(true), 0, "all retries are still within the window")
	now += 2 * time.Second
	assert.Equal(t, spend(true), 6, "retries and arrivals have left the window")
}

func TestSharedUsesUnspentBudgetOfOthers(t *testing.T) {
	now := 1000 * time.Second
	others, alive := SendCounts{Arrivals: 100}, 6
	s := &Shared{
		Ratio: 0.2, Extra: 54, Window: 10 * time.Second, Hosts: func() int { return 7 }, Now: func() time.Duration { return now },
		RemoteCounts: func(string) (SendCounts, int) { return others, alive },
	}
	spend := func() int {
		n := 0
		for s.Allow("model", true) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(), 51, "0.7 of 100*0.2 + 54")
	now += 11 * time.Second
	others.Retries = 50
	assert.Equal(t, spend(), 6, "the others have used their budget, so only the local share is left")
	now += 11 * time.Second
	others, alive = SendCounts{}, 0
	assert.Equal(t, spend(), 6, "a host that sees no other host alive has its local share")
}

func TestSharedSumStaysBelowBound(t *testing.T) {
	const hosts, ratio, extra = 7, 0.2, 54.0
	now := 1000 * time.Second
	window := 10 * time.Second
	var all []*Shared
	for range hosts {
		all = append(all, &Shared{Ratio: ratio, Extra: extra, Window: window, Hosts: func() int { return hosts }, Now: func() time.Duration { return now }})
	}
	var arrivals, retries []time.Duration
	for step := range 400 {
		now += 100 * time.Millisecond
		if step%2 == 0 {
			all[step%hosts].Arrived("model")
			arrivals = append(arrivals, now)
		}
		for _, s := range all {
			if s.Allow("model", true) {
				retries = append(retries, now)
			}
		}
		within := func(times []time.Duration) float64 {
			n := 0
			for _, at := range times {
				if now-at < window {
					n++
				}
			}
			return float64(n)
		}
		assert.Assert(t, within(retries) <= ratio*within(arrivals)+extra)
	}
}
