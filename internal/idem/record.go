// Package idem keeps idempotency keys in the object API, so that they are valid on all hosts and survive crashes.
//
// A record of the call's intent is written by conditional create before the call is sent. Only the request that
// created the record may run the call; this right is never transferred, so a request that finds a record never runs.
// The scheme follows the idempotency keys of payment APIs.
package idem

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

// maxRecordBytes bounds one record; an answer that would exceed it is omitted.
const maxRecordBytes = 64 << 10

// State is the recorded state of the call.
type State string

// The states of a record.
const (
	// StateIntent says that the holder may send the call or has sent it.
	StateIntent State = "intent"
	// StateAnswered says that the call ran and its answer is known.
	StateAnswered State = "answered"
	// StateUnknown says that the call may have run but its answer is lost.
	StateUnknown State = "unknown"
)

// Holder is the process that created a record.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the object stored for one idempotency key.
type Record struct {
	// Attempt identifies the request that created the record.
	Attempt string `json:"attempt"`
	// Request is the hash of the call that the key stands for.
	Request string `json:"request"`
	State   State  `json:"state"`
	Holder  Holder `json:"holder"`
	// Created is the time of creation by the holder's wall clock.
	Created time.Time `json:"created"`
	// Answer is set in StateAnswered unless it was too large to keep.
	Answer *call.Answer `json:"answer,omitempty"`
}

// Verdict is the consequence of a record for another request with its key.
type Verdict int

// The verdicts.
const (
	// VerdictReused says that the key was used for another call.
	VerdictReused Verdict = iota
	// VerdictAnswer says that the recorded answer is returned.
	VerdictAnswer
	// VerdictOmitted says that the call ran but its answer was too large to keep.
	VerdictOmitted
	// VerdictUnknown says that the call may have run and that no answer will be recorded.
	VerdictUnknown
	// VerdictRunning says that the holder may still record an answer.
	VerdictRunning
)

// Evaluate returns the verdict of a record for a request with the given hash. No verdict lets the request run.
func Evaluate(r Record, request string, holderGone bool) Verdict {
	switch {
	case r.Request != request:
		return VerdictReused
	case r.State == StateAnswered && r.Answer != nil && !head.IsStatus(r.Answer.Status):
		// Versions before checked no heads, so that their records may hold broken answers.
		return VerdictUnknown
	case r.State == StateAnswered && r.Answer != nil:
		return VerdictAnswer
	case r.State == StateAnswered:
		return VerdictOmitted
	case r.State == StateIntent && !holderGone:
		return VerdictRunning
	default:
		return VerdictUnknown
	}
}

// recordKey returns the key of the record's object. Names of workspaces and services contain no slash.
func recordKey(c call.Call) string {
	sum := sha256.Sum256([]byte(c.Key))
	return prefix(c.Place.Workspace, c.Place.Service) + hex.EncodeToString(sum[:])
}

func prefix(workspace, service string) string {
	return object.PrefixCall + workspace + "/" + service + "/"
}

// requestHash identifies a call by all that is sent to the backend server, of the headers only Content-Type.
func requestHash(c call.Call) string {
	h := sha256.New()
	for _, part := range []string{strings.ToUpper(c.Method), c.Path, c.RawPath, c.Query, c.Header.Get("Content-Type"), string(c.Body)} {
		addPart(h, part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func addPart(h hash.Hash, part string) {
	sum := sha256.Sum256([]byte(part))
	_, _ = h.Write(sum[:])
}

func encode(r Record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(text) > maxRecordBytes && r.Answer != nil {
		r.Answer = nil
		return encode(r)
	}
	return text, nil
}

func decode(o object.Object) (Record, error) {
	var r Record
	err := json.Unmarshal(o.Value, &r)
	return r, errors.Wrapf(err, "decode %s", o.Key)
}
