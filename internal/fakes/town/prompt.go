package town

import (
	"net/http"
	"strings"
)

// The parts of prompts, in hexadecimal with their tokens. Reports share the first part and have one of the second ones.
const (
	firstPart  = "a1:200"
	soundPart  = "beef:100"
	deadlyPart = "dead:100"
	ownTokens  = ":200"
)

// SetPrompt sets the parts of a report's prompt. A deadly prompt holds one that crashes the engines that run it.
func SetPrompt(h http.Header, attempt string, deadly bool) {
	second := soundPart
	if deadly {
		second = deadlyPart
	}
	own := strings.ReplaceAll(attempt, "-", "") + ownTokens
	h.Set("Prefix-Hash", strings.Join([]string{firstPart, second, own}, ","))
}

// IsDeadly reports whether a prompt holds the part that crashes engines.
func IsDeadly(h http.Header) bool { return strings.Contains(h.Get("Prefix-Hash"), ","+deadlyPart+",") }
