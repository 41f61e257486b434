// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"madderway/handlers/api"
	"madderway/models/result"
	"madderway/modules/httphead"
	"madderway/services/forward"
)

const (
	// maxEarlyBody is the longest body of a request that is refused or handed over early: it
	// must be read to its end before the next request.
	maxEarlyBody = 256 << 10
	// discardBufferSize is the size in which the body of a refused request is read; most come in
	// one or two.
	discardBufferSize = 32 << 10
	maxPlainID        = 64
)

// discardBuffers hold what is read of bodies that nobody looks at.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// Verdict is what an early look at a request decided.
type Verdict int

// The verdicts.
const (
	Undecided  Verdict = iota // the HTTP server takes the request as any other
	Admitted                  // the HTTP server takes it; it was counted and admitted
	HandedOver                // another gateway serves it
	Refused
)

// EarlyDecision is what an early look at a request has found.
type EarlyDecision struct {
	Verdict Verdict
	Answer  []byte        // Answer is that to a refused request.
	ID      string        // ID is that of a request that is handed over.
	Account string        // Account is that of a request that is handed over.
	Timeout time.Duration // Within is how long a request that is handed over may take.
}

// EarlyOptions say what may become of a request.
type EarlyOptions struct {
	ClosesConn  bool // Closes tells that the answer ends the connection.
	CanHandOver bool // Movable tells that another gateway may serve the request.
}

// EarlyAdmission judges requests by their heads, before an HTTP server parses them.
type EarlyAdmission interface {
	// AdmitsEarly tells whether requests are to be looked at now.
	AdmitsEarly() bool
	AdmitEarly(h *httphead.Head, o EarlyOptions) EarlyDecision
	// LostAnswer returns the answer to a request of which nobody knows what has become.
	LostAnswer(id string) []byte
	// BusyAnswer returns the answer to a request that could not be handed over in time.
	BusyAnswer(id string) []byte
	// NoteHandedOver notes how handing a request over came out.
	NoteHandedOver(j EarlyDecision, h HandOverResult)
}

// AdmitsEarly implements EarlyJudge.
func (h *Handler) AdmitsEarly() bool {
	return h.opts.Forward.Strained() && Mode(h.mode.Load()) == ServeAll
}

// AdmitEarly implements EarlyJudge: while the gateway is short of processor time it judges the
// requests of known accounts for targets that a scheduler chooses.
//
// A refusal through the HTTP server takes 80 microseconds of a process that shares its core,
// measured on a gateway that refuses all of a flood of 1,000 requests a second; where each is
// refused twice nothing is left for serving.
func (h *Handler) AdmitEarly(head *httphead.Head, o EarlyOptions) EarlyDecision {
	x := h.opts.Follow.Index()
	if x == nil || !h.AdmitsEarly() {
		return EarlyDecision{}
	}
	limits := x.Configuration.Limits
	if limits.MaxHeaderBytes > 0 && head.Length > limits.MaxHeaderBytes || limits.MaxBodyBytes > 0 && head.ContentLength > limits.MaxBodyBytes {
		return EarlyDecision{}
	}
	call, ok := h.opts.Dialect.PeekCall(head.Get)
	route := x.Route(hostWithoutPort(string(head.Host)), string(head.Path))
	if !ok || !isPlainID(call.ID) || route == nil || route.Public || len(route.Split) != 1 {
		return EarlyDecision{}
	}
	account, service := x.Account(call.Key), x.Service(route.Split[0].Service)
	if account == nil || service == nil || service.Engine == nil || call.Prompt == nil {
		return EarlyDecision{}
	}
	admission, err := h.opts.Forward.Admit(&call, service, account, o.CanHandOver)
	switch {
	case err != nil:
		return EarlyDecision{Verdict: Refused, Answer: h.earlyAnswer(err, call.ID, o.ClosesConn)}
	case admission == forward.HandOver:
		return EarlyDecision{Verdict: HandedOver, ID: call.ID, Account: account.GetName(), Timeout: route.Timeout}
	default:
		return EarlyDecision{Verdict: Admitted}
	}
}

// LostAnswer implements EarlyJudge.
func (h *Handler) LostAnswer(id string) []byte {
	return h.earlyAnswer(result.New(result.OutcomeUnknown, "the gateway that took the request over is gone"), id, true)
}

// BusyAnswer implements EarlyJudge.
func (h *Handler) BusyAnswer(id string) []byte {
	return h.earlyAnswer(h.opts.Forward.RefuseBusy(), id, false)
}

// NoteHandedOver implements EarlyJudge.
func (h *Handler) NoteHandedOver(j EarlyDecision, to HandOverResult) {
	h.opts.Forward.NoteHandedOver(forward.HandedOver{ID: j.ID, Account: j.Account, Peer: to.Peer, After: to.Elapsed, Bytes: to.Bytes, Lost: to.Lost, Gone: to.CallerLeft})
}

// isPlainID tells whether an ID can stand in an answer as it is.
func isPlainID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(id) <= maxPlainID
}

// earlyAnswer writes the same answer as refuse does.
func (h *Handler) earlyAnswer(err error, id string, closes bool) []byte {
	e := result.Convert(err)
	body := append([]byte(nil), earlyErrorPrefix(e)...)
	body = strconv.AppendInt(body, e.RetryAfter.Milliseconds(), 10)
	body = append(append(append(body, `,"request_id":"`...), id...), "\"}}\n"...)
	status := result.Lookup(e.Code).Status
	b := make([]byte, 0, 256+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Type: application/json\r\n"...)
	if e.RetryAfter > 0 {
		name, value := h.opts.Dialect.RefusalHeader(e.RetryAfter)
		b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
	}
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// earlyErrorPrefixes holds the beginnings of the bodies of early answers by code and detail, of which
// there are a few.
var earlyErrorPrefixes sync.Map

// earlyErrorKey tells the errors apart whose bodies differ in more than time and ID.
type earlyErrorKey struct {
	code   result.Code
	detail string
}

// earlyErrorPrefix returns the body of an error up to the time after which the caller may return.
func earlyErrorPrefix(e *result.ErrResult) []byte {
	key := earlyErrorKey{e.Code, e.Detail}
	if body, ok := earlyErrorPrefixes.Load(key); ok {
		return body.([]byte)
	}
	info, _ := api.NewError(result.New(e.Code, "%s", e.Detail), "")
	whole, _ := json.Marshal(info) // numbers and strings only: no error
	const last = `"retry_after_ms":`
	body := whole[:bytes.LastIndex(whole, []byte(last))+len(last)]
	earlyErrorPrefixes.Store(key, body)
	return body
}
