package pool

import (
	"math"
	"time"
)

const (
	// defaultSpeed is the assumed prefill speed of an engine, in tokens a millisecond, before any is observed.
	defaultSpeed = 7.5
	// speedWeight is the weight of the newest observation; observations count up to maxSpeedRatio above or below the average.
	speedWeight   = 0.05
	maxSpeedRatio = 3.0
	// minSpeedTokens is the number of tokens below which other delays than the prefill dominate.
	minSpeedTokens = 800
)

// The slowness of one server is the time of its events and prefills against the usual time of its service.
const (
	// gapWeight and prefillWeight are the weights of the newest observation: two or three show an episode of half a second.
	gapWeight     = 0.3
	prefillWeight = 0.3
	// slownessHalfLife is the time in which a server's slowness without observations is half forgotten.
	slownessHalfLife = 400 * time.Millisecond
	// minSlowness is the slowness from which a server counts as slow; below it are the differences by the size of the batch.
	minSlowness = 1.3
	maxSlowness = 4.0
	// usualGapWeight is the weight of the newest gap in the usual gap between events of a service.
	usualGapWeight = 0.02
	// prefillGapRatio is how much longer the gaps between events are while a prompt is prefilled beside them.
	prefillGapRatio = 2.0
	// slowRunCost is the delay of a run's events by a server at twice the usual times, for half an episode, in milliseconds.
	slowRunCost = 150.0
)

// slowness is a moving average of observed against usual times, as of a time.
type slowness struct {
	average float64
	at      time.Time
}

// observe adds an observation.
func (s *slowness) observe(ratio, weight float64, now time.Time) {
	average := s.value(now)
	s.average, s.at = average+weight*(min(max(ratio, 1/maxSlowness), maxSlowness)-average), now
}

// value returns the average, which approaches 1 without observations.
func (s *slowness) value(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.average-1)*math.Exp2(-max(0, now.Sub(s.at).Seconds())/slownessHalfLife.Seconds())
}

// slowdown returns how much slower than usual a backend server is now, as far as that is not noise; 1 if it is not.
func (e *entry) slowdown(now time.Time) float64 {
	if value := e.slowness.value(now); value >= minSlowness {
		return value
	}
	return 1
}

// SlowServers returns the number of backend servers that count as slow now.
func (p *Pool) SlowServers(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := 0
	for _, e := range p.order {
		if e.slowdown(now) > 1 {
			slow++
		}
	}
	return slow
}

// RecordGap records the time between two events that the lease's run sent.
func (l *Lease) RecordGap(gap time.Duration, now time.Time) {
	p := l.pool
	if !p.EvenLoad || gap <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usualGaps == nil {
		p.usualGaps = make(map[string]float64)
	}
	observed := milliseconds(gap)
	if l.entry.load().PendingPromptTokens > 0 {
		observed /= prefillGapRatio
	}
	usual, known := p.usualGaps[l.Server.Service]
	if !known {
		usual = observed
	}
	ratio := observed / usual
	l.entry.slowness.observe(ratio, gapWeight, now)
	p.usualGaps[l.Server.Service] = usual + usualGapWeight*(usual*min(max(ratio, 1/maxSpeedRatio), maxSpeedRatio)-usual)
}

// PrefillTime returns the expected time in which an engine of the service prefills prompt tokens beside its other work.
func (p *Pool) PrefillTime(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prefillTime(service, tokens)
}

func (p *Pool) prefillTime(service string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.speed(service) * float64(time.Millisecond))
}

func (p *Pool) speed(service string) float64 {
	if s, known := p.speeds[service]; known {
		return s
	}
	return defaultSpeed
}

// learnSpeed records that an engine prefilled tokens within a time.
func (p *Pool) learnSpeed(service string, tokens int, took time.Duration) {
	if tokens < minSpeedTokens || took <= 0 {
		return
	}
	if p.speeds == nil {
		p.speeds = make(map[string]float64)
	}
	speed := p.speed(service)
	observed := min(max(float64(tokens)/milliseconds(took), speed/maxSpeedRatio), speed*maxSpeedRatio)
	p.speeds[service] = speed + speedWeight*(observed-speed)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
