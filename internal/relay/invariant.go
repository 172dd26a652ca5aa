package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// ErrInvariant marks a violated invariant; it ends the stream that it was found on and no other.
var ErrInvariant = errors.New("invariant violated")

// Invariant names a condition that must hold for every token delivered to a caller.
type Invariant string

// The checked invariants.
const (
	// InvariantOffset says that each token's offset is the number of tokens delivered before it.
	InvariantOffset Invariant = "offset"
	// InvariantGeneration says that all tokens of an answer belong to one generation, unless it is continued.
	InvariantGeneration Invariant = "generation"
)

// invariantChecker counts the delivered tokens independently of the Machine and checks each one, in production
// too: an always-on assertion that stops the one stream, after the paper "Always-On Assertions & Fail-Stop".
type invariantChecker struct {
	generation string
	tokens     int
	// base is the number of tokens of earlier generations.
	base int
}

// restart lets another generation continue the answer.
func (l *invariantChecker) restart() { l.base = l.tokens }

// check returns an error marked ErrInvariant if the next token violates an invariant, and counts it otherwise.
func (l *invariantChecker) check(f *engine.Frame) error {
	if l.tokens == l.base {
		l.generation = f.Generation
	}
	if f.Generation != l.generation {
		return violation(InvariantGeneration, f)
	}
	if f.Offset != l.tokens-l.base {
		return violation(InvariantOffset, f)
	}
	l.tokens++
	return nil
}

// violation builds the error out of line, which keeps check small.
func violation(name Invariant, f *engine.Frame) error {
	return errors.Wrapf(ErrInvariant, "%s: token %d of generation %s", name, f.Offset, f.Generation)
}
