package front

import (
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/flow"
	"github.com/tarragonspur/tarragonspur/internal/memory"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

// maxAnswersBytes is the default of Front.MaxAnswersBytes.
const maxAnswersBytes = 16 << 20

// errNoMemory says that other answers take the host's memory for answers.
var errNoMemory = errors.New("other answers take the host's memory for answers")

// hasNoMemory reports whether an answer was not read for want of memory of the host, which says nothing of its backend server.
func hasNoMemory(err error) bool {
	return errors.IsAny(err, errNoMemory, send.ErrNoMemory, flow.ErrNoMemory)
}

// answerAccount returns the account of a new request.
func (f *Front) answerAccount() *memory.Account {
	limit := f.MaxAnswersBytes
	if limit <= 0 {
		limit = maxAnswersBytes
	}
	return f.answers.NewAccount(limit)
}
