// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package upstream exchanges requests and answers with targets over HTTP/1.1:
// a bounded pool of connections for each target, and for each exchange the
// plain word on what is known of it afterwards.
package upstream

import (
	"net/http"
	"time"

	"madderway/models/routing"
	"madderway/modules/retryafter"
)

// Call is what the head of a caller's request says beyond plain HTTP.
type Call struct {
	ID        string
	Key       string        // Key is the client account's key, or empty.
	Timeout   time.Duration // Patience is how long the caller waits, 0 where it does not say.
	LastEvent string        // LastEvent is the event after which a stream is to go on, or empty.
	Prompt    *routing.Prompt
}

// Outgoing is what the head of a request says to a target.
type Outgoing struct {
	Remaining time.Duration
	TargetID  string
	Account   string
	LastEvent string
	// CopyFrom is the address of the target that keeps more of the prompt, from
	// which this one should copy it, or empty.
	CopyFrom string
}

// AnswerInfo is what the head of a target's answer says of the execution.
type AnswerInfo struct {
	ID          string // ID is the request's own ID, echoed.
	Signed      bool   // Signed tells that the answer carries the target's signature.
	NotRun      bool   // NotRun tells that the target did not execute the request.
	Misdirected bool   // Moved tells that another target has the address.
	// Leaving tells that the target will end soon and is to get nothing new.
	Leaving bool
	// RetryAfter is for how long the target wants nothing from this process.
	RetryAfter retryafter.Result
}

// Observer is told of the head of each answer of a target, late answers and lists of kept parts
// included, before it is used.
type Observer func(t *routing.Target, v AnswerInfo)

// Dialect reads and writes the headers between callers, gateways and targets.
type Dialect interface {
	ReadCall(h http.Header) Call
	// PeekCall reads what decides whether a request is refused, from a head that was not
	// parsed: the ID, the key and whether there is a prompt and of how many tokens; its parts
	// are not read. It reports false where a field is there twice.
	PeekCall(get func(values []string, names ...string) (once bool)) (Call, bool)
	// WriteCall sets what the fleet tells a target, and takes out of the header
	// what a caller may not set.
	WriteCall(h http.Header, o Outgoing)
	ReadAnswer(status int, h http.Header) AnswerInfo
	// CachedPath is where a target that runs a model lists the parts of prompts
	// that it keeps, and ReadKept reads that list.
	CachedPath() string
	ReadCached(list []byte) ([]routing.PromptPart, error)
	// RefusalHeader tells a caller when to come back.
	RefusalHeader(after time.Duration) (name, value string)
}
