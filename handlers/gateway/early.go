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
	"madderway/models/routing"
	"madderway/modules/httphead"
	"madderway/services/forward"
)

const (
	// Longest body of a request that is refused or handed over early: it must be read to its
	// end before the next request.
	maxEarlyBody = 256 << 10
	// Most bodies of refused requests fit into one or two buffers.
	discardBufferSize = 32 << 10
	maxPlainID        = 64
)

var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// Verdict is the outcome of an early decision.
type Verdict int

// Outcomes of an early decision.
const (
	Undecided  Verdict = iota // the HTTP server handles the request as usual
	Admitted                  // already counted and admitted; the HTTP server serves it
	HandedOver                // another gateway serves it
	Refused
)

// EarlyDecision is a decision on a request whose header only was read.
type EarlyDecision struct {
	Verdict Verdict
	Answer  []byte         // response to a refused request
	ID      string         // set if the request is handed over
	Account string         // set if the request is handed over
	Timeout time.Duration  // set if the request is handed over; 0 for none
	Route   *routing.Route // set if the request is handed over
	// CallerLeavesAt is set if the request is handed over and its caller says how long it waits.
	CallerLeavesAt time.Time
}

// EarlyOptions restrict an early decision.
type EarlyOptions struct {
	ClosesConn  bool          // the answer closes the connection
	CanHandOver bool          // another gateway may serve the request
	Waited      time.Duration // time since the request was read
}

// EarlyAdmission admits, refuses or hands over requests by their headers, before an HTTP
// server parses them.
type EarlyAdmission interface {
	// AdmitsEarly reports whether requests are to be decided early now.
	AdmitsEarly() bool
	AdmitEarly(h *httphead.Head, o EarlyOptions) EarlyDecision
	// LostAnswer returns the response to a request whose outcome is unknown.
	LostAnswer(id string) []byte
	// BusyAnswer returns the response to a request that could not be handed over in time.
	BusyAnswer(id string) []byte
	// SetRemaining writes the time that the caller still waits into a request, in place.
	SetRemaining(request []byte, remaining time.Duration)
	// CheckTimeLeft returns an error if this gateway stops before a request would be answered that is handed
	// over now.
	CheckTimeLeft(decision EarlyDecision) error
	// RecordHandOver records the outcome of a hand-over.
	RecordHandOver(decision EarlyDecision, res HandOverResult)
}

// AdmitsEarly implements EarlyAdmission.
func (h *Handler) AdmitsEarly() bool {
	return h.opts.Forward.Overloaded() && Mode(h.mode.Load()) == ServeAll
}

// AdmitEarly implements EarlyAdmission. It decides on requests of known accounts to engines.
// A refusal by the HTTP server would take the processor time that serving needs.
func (h *Handler) AdmitEarly(head *httphead.Head, o EarlyOptions) EarlyDecision {
	index := h.opts.Follow.Index()
	if index == nil || !h.AdmitsEarly() {
		return EarlyDecision{}
	}
	limits := index.Configuration.Limits
	if limits.MaxHeaderBytes > 0 && head.Length > limits.MaxHeaderBytes || limits.MaxBodyBytes > 0 && head.ContentLength > limits.MaxBodyBytes {
		return EarlyDecision{}
	}
	call, ok := h.opts.Dialect.PeekCall(head.Get)
	route := index.Route(hostWithoutPort(string(head.Host)), string(head.Path))
	if !ok || !isPlainID(call.ID) || route == nil || route.Public || len(route.Split) != 1 {
		return EarlyDecision{}
	}
	account, service := index.Account(call.Key), index.Service(route.Split[0].Service)
	if account == nil || service == nil || service.Engine == nil || call.Prompt == nil {
		return EarlyDecision{}
	}
	admission, err := h.opts.Forward.Admit(&call, service, account, o.CanHandOver)
	switch {
	case err != nil:
		return EarlyDecision{Verdict: Refused, Answer: h.earlyAnswer(err, call.ID, o.ClosesConn)}
	case admission == forward.HandOver:
		return EarlyDecision{Verdict: HandedOver, ID: call.ID, Account: account.GetName(), Timeout: route.Timeout, Route: route, CallerLeavesAt: h.callerLeavesAt(call.Timeout, o.Waited)}
	default:
		return EarlyDecision{Verdict: Admitted}
	}
}

// callerLeavesAt returns when a caller leaves whose request was read so long ago, or zero if it does not
// say for how long it waits. The request has waited to be read for about as long as this process is late.
func (h *Handler) callerLeavesAt(timeout, waited time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return h.opts.Clock.Now().Add(timeout - waited - h.opts.Forward.Lateness())
}

// SetRemaining implements EarlyAdmission.
func (h *Handler) SetRemaining(request []byte, remaining time.Duration) {
	if head, plain := httphead.Parse(request); plain {
		h.opts.Dialect.SetRemaining(head.Value, remaining)
	}
}

// LostAnswer implements EarlyAdmission.
func (h *Handler) LostAnswer(id string) []byte {
	return h.earlyAnswer(result.New(result.OutcomeUnknown, "the gateway that took the request over is gone"), id, true)
}

// CheckTimeLeft implements EarlyAdmission.
func (h *Handler) CheckTimeLeft(d EarlyDecision) error {
	return h.opts.Forward.CheckTimeLeft(d.Route, d.CallerLeavesAt)
}

// BusyAnswer implements EarlyAdmission.
func (h *Handler) BusyAnswer(id string) []byte {
	if Mode(h.mode.Load()) != ServeAll {
		return h.earlyAnswer(drainingError(), id, true)
	}
	return h.earlyAnswer(h.opts.Forward.OverloadError(), id, false)
}

// RecordHandOver implements EarlyAdmission.
func (h *Handler) RecordHandOver(decision EarlyDecision, res HandOverResult) {
	h.opts.Forward.RecordHandOver(forward.HandOverResult{ID: decision.ID, Account: decision.Account, Peer: res.Peer, Elapsed: res.Elapsed, Bytes: res.Bytes, Lost: res.Lost, CallerDisconnected: res.CallerDisconnected})
}

// isPlainID reports whether an ID needs no escaping in JSON.
func isPlainID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(id) <= maxPlainID
}

// earlyAnswer formats the same response as refuse writes.
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

// earlyErrorPrefixes caches the results of earlyErrorPrefix by earlyErrorKey.
var earlyErrorPrefixes sync.Map

type earlyErrorKey struct {
	code   result.Code
	detail string
}

// earlyErrorPrefix returns the JSON body of an error up to the value of retry_after_ms.
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
