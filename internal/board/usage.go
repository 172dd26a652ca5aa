package board

import (
	"math"
	"sync"
	"time"
)

// rateWindow is the time constant of the exponentially decaying token rate.
const rateWindow = 10 * time.Second

// RowUse counts what one host serves for one row of the configuration table.
type RowUse struct {
	// Waiting and Running count the requests before and after their first token.
	Waiting int
	Running int
	// TokensPerSecond is the rate of tokens sent to callers, averaged over about rateWindow; for a plain service it is
	// the rate of answers.
	TokensPerSecond float64
	// Ended counts ended requests by refusal code, which is empty for a complete answer.
	Ended map[string]int
}

// Usage counts what this host serves by row; its zero value is empty.
type Usage struct {
	mu   sync.Mutex
	rows map[RowKey]*rowUse
}

type rowUse struct {
	waiting, running int
	rate             float64
	at               time.Time
	ended            map[string]int
}

// RequestUsage counts one request in a Usage.
type RequestUsage struct {
	usage   *Usage
	row     *rowUse
	started bool
}

// Open counts a request as waiting; the caller must call Close when the request ends.
func (u *Usage) Open(key RowKey) *RequestUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rows == nil {
		u.rows = make(map[RowKey]*rowUse)
	}
	row := u.rows[key]
	if row == nil {
		row = &rowUse{ended: make(map[string]int)}
		u.rows[key] = row
	}
	row.waiting++
	return &RequestUsage{usage: u, row: row}
}

// CountOutput counts one token, or the answer of a plain call; the first call turns a waiting request into a running one.
func (o *RequestUsage) CountOutput(now time.Time) {
	o.usage.mu.Lock()
	defer o.usage.mu.Unlock()
	if !o.started {
		o.started = true
		o.row.waiting--
		o.row.running++
	}
	o.row.rate = o.row.decayedRate(now) + 1/rateWindow.Seconds()
	o.row.at = now
}

// Close counts the request as ended under its refusal code, which is empty for a complete answer.
func (o *RequestUsage) Close(code string) {
	o.usage.mu.Lock()
	defer o.usage.mu.Unlock()
	if o.started {
		o.row.running--
	} else {
		o.row.waiting--
	}
	o.row.ended[code]++
}

func (r *rowUse) decayedRate(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-max(0, now.Sub(r.at)).Seconds()/rateWindow.Seconds())
}

// Rows returns a copy of the counts, with the token rates at now.
func (u *Usage) Rows(now time.Time) map[RowKey]RowUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	rows := make(map[RowKey]RowUse, len(u.rows))
	for key, r := range u.rows {
		one := RowUse{Waiting: r.waiting, Running: r.running, TokensPerSecond: r.decayedRate(now), Ended: make(map[string]int, len(r.ended))}
		for code, n := range r.ended {
			one.Ended[code] = n
		}
		rows[key] = one
	}
	return rows
}
