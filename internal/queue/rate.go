package queue

import "time"

const (
	// rateWindow is the time over which rates are measured, in rateSlots slots.
	rateWindow = 2 * time.Second
	rateSlots  = 8
)

// counter measures the rate of events over a sliding window; the zero value is ready to use.
type counter struct {
	slots  [rateSlots]int
	newest int64
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.slots[c.newest%rateSlots]++
}

// rate returns the events a second within the window.
func (c *counter) rate(now time.Time) float64 {
	c.advance(now)
	sum := 0
	for _, n := range c.slots {
		sum += n
	}
	return float64(sum) / rateWindow.Seconds()
}

// advance clears the slots that have left the window.
func (c *counter) advance(now time.Time) {
	slot := now.UnixNano() / int64(rateWindow/rateSlots)
	for i := max(c.newest+1, slot-rateSlots+1); i <= slot; i++ {
		c.slots[i%rateSlots] = 0
	}
	c.newest = max(c.newest, slot)
}
