package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkBudget checks that all hosts together keep to the link's budget, for any number of hosts.
func TestLinkBudget(t *testing.T) {
	const prompt, output, seconds = 400, 500, 200
	for _, hosts := range []int{1, 8, 340} {
		now, bytes := time.Unix(1, 0), 0
		links := make([]linkBudget, hosts)
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			for i := range links {
				for links[i].allows(hosts, now) {
					links[i].spend(prompt, output)
					bytes += prompt*bytesPerPromptToken + output*bytesPerOutputToken
				}
			}
		}
		const most = linkBytesPerSecond * (seconds + linkBurst)
		assert.Assert(t, bytes > linkBytesPerSecond*seconds*9/10, "%d hosts: too few bytes: %d", hosts, bytes)
		assert.Assert(t, bytes < most+hosts*(prompt*bytesPerPromptToken+output*bytesPerOutputToken), "%d hosts: too many bytes: %d", hosts, bytes)
	}
}
