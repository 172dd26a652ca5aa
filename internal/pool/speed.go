package pool

import "time"

const (
	// defaultSpeed is the assumed prefill speed of an engine, in tokens a millisecond, before any is observed.
	defaultSpeed = 7.5
	// speedWeight is the weight of the newest observation; observations count up to maxSpeedRatio above or below the average.
	speedWeight   = 0.05
	maxSpeedRatio = 3.0
	// minSpeedTokens is the number of tokens below which other delays than the prefill dominate.
	minSpeedTokens = 800
)

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
