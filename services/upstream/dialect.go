// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package upstream sends requests to targets over HTTP/1.1 and reads their answers.
//
// It keeps a bounded pool of idle connections for each target. An error says whether the
// request may have reached the target, so that the caller knows whether it may retry.
package upstream

import (
	"net/http"
	"time"

	"madderway/models/routing"
	"madderway/modules/retryafter"
)

// Call holds the fields that a gateway reads from the header of a caller's request.
type Call struct {
	ID        string
	Key       string        // the client account's key, may be empty
	Timeout   time.Duration // 0 if the caller sets none
	LastEvent string        // resume the stream after this event, may be empty
	// Resuming reports that the caller has a part of the stream; Resumes is the ID of the attempt
	// that brought its first event, empty if unknown.
	Resuming bool
	Resumes  string
	Prompt   *routing.Prompt
}

// Outgoing holds the fields that a gateway sets in the header of a request to a target.
type Outgoing struct {
	Remaining time.Duration // until the deadline; set by Client.Send
	TargetID  string
	Account   string
	LastEvent string
	// CopyFrom is the address of a target that has more of the prompt cached, from which this
	// one should copy it. It may be empty.
	CopyFrom string
}

// AnswerInfo holds the fields that a gateway reads from the header of a target's answer.
type AnswerInfo struct {
	ID          string // the request ID that the answer echoes
	Signed      bool   // the answer carries the target's signature
	NotRun      bool   // the target did not execute the request
	Misdirected bool   // another target now has the address
	// Leaving reports that the target shuts down soon and must get no new requests.
	Leaving bool
	// RetryAfter holds the time for which the target accepts no requests from this process.
	RetryAfter retryafter.Result
}

// Observer is called with the header of each answer before the answer is used. That includes
// late answers to earlier requests and lists of cached parts, but not misdirected answers.
type Observer func(t *routing.Target, info AnswerInfo)

// Dialect reads and writes the headers between callers, gateways and targets.
type Dialect interface {
	ReadCall(h http.Header) Call
	// PeekCall reads only the fields that are needed to refuse a request, from a head that is not
	// parsed yet: the ID, the key, the timeout and the prompt's number of tokens, without its parts. It
	// returns false if a field occurs twice.
	PeekCall(get func(values []string, names ...string) (once bool)) (Call, bool)
	// SetRemaining overwrites the time that a caller still waits in the head of its request. value
	// returns the bytes of a field in the head, whose length stays, or nil.
	SetRemaining(value func(name string) []byte, remaining time.Duration)
	// WriteCall sets the fields of o and removes headers that callers must not set.
	WriteCall(h http.Header, o Outgoing)
	ReadAnswer(status int, h http.Header) AnswerInfo
	// CachedPath returns the path at which an engine lists the cached parts of prompts.
	CachedPath() string
	// ReadCached decodes the list of cached parts.
	ReadCached(list []byte) ([]routing.PromptPart, error)
	// RefusalHeader returns the header that tells a caller when to retry.
	RefusalHeader(after time.Duration) (name, value string)
}
