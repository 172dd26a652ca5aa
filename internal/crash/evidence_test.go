package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEvidenceThatQuarantinesAKey(t *testing.T) {
	const start = time.Hour
	crashed := func(server string, after time.Duration) Crash { return Crash{Server: server, at: start + after} }
	for _, tc := range []struct {
		name       string
		crashes    []Crash
		answeredAt time.Duration
		after      time.Duration
		want       bool
	}{
		{"no crash", nil, 0, 0, false},
		{"one crash", []Crash{crashed("a", 0)}, 0, time.Second, false},
		{"two crashes", []Crash{crashed("a", 0), crashed("b", time.Second)}, 0, time.Second, true},
		{"one crash that two hosts report", []Crash{crashed("a", 0), crashed("a", time.Second)}, 0, time.Second, false},
		{"one server twice", []Crash{crashed("a", 0), crashed("a", 5*time.Second)}, 0, 5 * time.Second, true},
		{"servers that stop together", []Crash{crashed("a", 0), crashed("b", 10*time.Millisecond), crashed("c", 150*time.Millisecond)}, 0, time.Second, false},
		{"as many as a batch of requests crashes", []Crash{crashed("a", 0), crashed("b", 10*time.Millisecond), crashed("c", 60*time.Millisecond), crashed("d", 150*time.Millisecond)}, 0, time.Second, true},
		{"as many, answered before", []Crash{crashed("a", 0), crashed("b", 10*time.Millisecond), crashed("c", 60*time.Millisecond), crashed("d", 150*time.Millisecond)}, start - time.Second, time.Second, false},
		{"as many, answered since", []Crash{crashed("a", 0), crashed("b", 10*time.Millisecond), crashed("c", 60*time.Millisecond), crashed("d", 150*time.Millisecond)}, start + time.Second, 2 * time.Second, false},
		{"servers that stop together, and another", []Crash{crashed("a", 0), crashed("b", 10*time.Millisecond), crashed("c", 300*time.Millisecond)}, 0, time.Second, true},
		{"answered between two crashes", []Crash{crashed("a", 0), crashed("b", 2*time.Second)}, start + time.Second, 2 * time.Second, false},
		{"answered since", []Crash{crashed("a", 0), crashed("b", time.Second)}, start + 2*time.Second, 2 * time.Second, false},
		{"answered before two crashes", []Crash{crashed("a", 0), crashed("b", 2*time.Second)}, start - time.Second, 3 * time.Second, false},
		{"answered before three crashes within a second", []Crash{crashed("a", 0), crashed("b", 400*time.Millisecond), crashed("c", 900*time.Millisecond)}, start - time.Second, time.Second, false},
		{"answered before three crashes in three seconds", []Crash{crashed("a", 0), crashed("b", 1500*time.Millisecond), crashed("c", 3*time.Second)}, start - time.Second, 3 * time.Second, true},
		{"long ago", []Crash{crashed("a", 0), crashed("b", time.Second)}, 0, evidenceTTL + 2*time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &evidence{key: 1, answeredAt: tc.answeredAt}
			for i := len(tc.crashes) - 1; i >= 0; i-- {
				e.add(tc.crashes[i])
			}
			assert.Equal(t, e.isQuarantined(start+tc.after), tc.want)
		})
	}
}

func TestLastPartIsNoKey(t *testing.T) {
	for _, tc := range []struct {
		parts []string
		want  int
	}{{nil, 0}, {[]string{"a"}, 0}, {[]string{"a", "b"}, 1}, {[]string{"a", "b", "a", "c"}, 2}} {
		assert.Equal(t, len(NewKeys(tc.parts, 7).Parts), tc.want, "%v", tc.parts)
	}
	assert.Equal(t, NewKeys([]string{"a", "x"}, 1).Parts[0], NewKeys([]string{"a", "y"}, 2).Parts[0])
}

func TestMergingEvidenceIsIdempotent(t *testing.T) {
	now := 2 * time.Hour
	e := &evidence{key: 1, answeredAt: now - 9*time.Second, trials: 1, triedAt: now - time.Second}
	for i := range MaxCrashes + 2 {
		e.add(Crash{Server: fmt.Sprint("s", i), at: now - time.Duration(10-i)*time.Second/2})
	}
	assert.Equal(t, len(e.crashes), MaxCrashes)
	dropped := Crash{Server: "dropped", at: e.crashes[2].at + time.Millisecond}
	assert.Assert(t, !e.add(dropped), "a crash that is not kept is not new, or hosts would announce it to each other for ever")
	o := &evidence{key: 1}
	assert.Assert(t, o.merge(e.encode(now).decode(now)))
	assert.Assert(t, !o.merge(e.encode(now).decode(now+20*time.Millisecond)), "the same evidence is not new again")
	assert.Equal(t, o.isQuarantined(now), e.isQuarantined(now))
	assert.Equal(t, o.trialAt("h"), e.trialAt("h"))
}

func TestPartsOfOneRequestAreBounded(t *testing.T) {
	var parts []string
	for i := range 20000 {
		parts = append(parts, fmt.Sprint(i))
	}
	began := time.Now()
	assert.Assert(t, len(NewKeys(parts, 1).Parts) <= maxParts, "one request can't displace the evidence of others")
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestEvidenceWithLongNamesIsNotPassedOn(t *testing.T) {
	now := 2 * time.Hour
	r := Evidence{Key: 1, AnswerAgeMS: -1, TrialAgeMS: -1, Crashes: []Crash{{Server: strings.Repeat("s", 8<<10), AgeMS: 10}, {Server: "s1", AgeMS: 20}}}
	assert.Equal(t, len(r.decode(now).crashes), 1)
}
