package survey

import (
	"context"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Usage is the use of all hosts by row of the table.
type Usage struct {
	Rows map[board.RowKey]board.RowUse
	// Unreached lists the names of the hosts that did not answer.
	Unreached []string
}

// localRows returns the use of this host by row of the table.
func (s *Survey) localRows(now time.Time) []*peerpb.RowUse {
	var list []*peerpb.RowUse
	for key, r := range s.Board.Usage.Rows(now) {
		row := &peerpb.RowUse{
			Workspace: key.Workspace, Service: key.Service,
			Waiting: uint32(max(0, r.Waiting)), Running: uint32(max(0, r.Running)),
			TokensPerSecond: r.TokensPerSecond, Ended: make(map[string]uint32, len(r.Ended)),
		}
		for code, n := range r.Ended {
			row.Ended[code] = uint32(n)
		}
		list = append(list, row)
	}
	return list
}

// Usage returns the sum of all hosts' use by row of the table; it queries them in the same way as Status.
func (s *Survey) Usage(ctx context.Context) Usage {
	total := Usage{Rows: make(map[board.RowKey]board.RowUse), Unreached: []string{}}
	for _, h := range s.hostStatuses(ctx, true) {
		if h.GetUnreached() {
			total.Unreached = append(total.Unreached, h.GetHost())
		}
		for _, r := range h.GetRows() {
			total.add(r)
		}
	}
	return total
}

// add adds a host's use of a row to the total.
func (u *Usage) add(r *peerpb.RowUse) {
	key := board.RowKey{Workspace: r.GetWorkspace(), Service: r.GetService()}
	row := u.Rows[key]
	row.Waiting += int(r.GetWaiting())
	row.Running += int(r.GetRunning())
	row.TokensPerSecond += r.GetTokensPerSecond()
	if row.Ended == nil {
		row.Ended = make(map[string]int)
	}
	for code, n := range r.GetEnded() {
		row.Ended[code] += int(n)
	}
	u.Rows[key] = row
}
