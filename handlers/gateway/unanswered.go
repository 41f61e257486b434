// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/modules/log"
)

// endCause tells why a connection ended before the request on it was answered.
type endCause string

// Causes of the end of a connection.
const (
	endedByCaller     endCause = "caller"  // the caller closed or reset it
	endedByTimeout    endCause = "timeout" // the rest of the request did not arrive in time
	endedByAbort      endCause = "abort"   // the handler ended without an answer
	endedByWriteError endCause = "write"   // the answer could not be written
	endedByStop       endCause = "stop"    // the server closed all its connections
	endedOtherwise    endCause = "other"
)

// handlerStage tells how far the handler is with the request of a connection.
type handlerStage int

const (
	notHandled handlerStage = iota // the request is being read, or there is none
	inHandler
	handled // the handler has returned; the answer may still be in a buffer
)

// exchangeState follows the current request of a connection to its answer. It is safe for concurrent
// use. Its methods may be called on nil, for requests that come from other gateways.
type exchangeState struct {
	mu       sync.Mutex
	stage    handlerStage
	bodyRead bool // the handler reads the body
	settled  bool // answered before the HTTP server saw it, or reported already
	id       string
	mode     Mode
	began    time.Time
	readErr  error // first error of a read, except for reads that this process interrupted
	writeErr error // first error of a write
}

// exchangeOf returns the state of a request's connection, or nil.
func exchangeOf(ctx context.Context) *exchangeState {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		return &c.exchange
	}
	return nil
}

func (e *exchangeState) enterHandler(id string, mode Mode, now time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage, e.id, e.mode, e.began = inHandler, id, mode, now
}

func (e *exchangeState) leaveHandler() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage = handled
}

// startBody notes that the handler reads the body of the request, which may be interrupted until endBody.
func (e *exchangeState) startBody() { e.setBodyRead(true) }

// endBody notes that the body has been read.
func (e *exchangeState) endBody() { e.setBodyRead(false) }

func (e *exchangeState) setBodyRead(on bool) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodyRead = on
}

// ifIncomplete calls f while the request is not read whole.
func (e *exchangeState) ifIncomplete(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage == notHandled || e.bodyRead {
		f()
	}
}

// isHandled reports whether the handler has the request.
func (e *exchangeState) isHandled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage != notHandled
}

// reset forgets a request that is answered.
func (e *exchangeState) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage, e.id = notHandled, ""
}

// settle notes that the end of the connection needs no report: the request is answered, or what became
// of it has been reported.
func (e *exchangeState) settle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settled = true
}

func (e *exchangeState) noteRead(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.readErr == nil {
		e.readErr = err
	}
}

func (e *exchangeState) noteWrite(err error) {
	if err == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writeErr == nil {
		e.writeErr = err
	}
}

// causeLocked returns why a connection ends whose request is not answered, or "" if it is. The caller
// holds e.mu.
func (e *exchangeState) causeLocked(stopped bool) endCause {
	callerClosed := errors.Is(e.readErr, io.EOF) || errors.Is(e.readErr, syscall.ECONNRESET)
	switch {
	case e.settled, e.stage == handled && e.writeErr == nil && !stopped:
		return ""
	case callerClosed:
		return endedByCaller
	case stopped:
		return endedByStop
	case e.writeErr != nil:
		return endedByWriteError
	case e.stage == inHandler:
		return endedByAbort
	case e.readErr == nil:
		return endedByTimeout
	default:
		return endedOtherwise
	}
}

// unanswered counts and logs connections that end before their requests are answered.
type unanswered struct {
	log     log.Logger
	started time.Time
	set     *metrics.Set
}

func newUnanswered(logger log.Logger) *unanswered {
	return &unanswered{log: logger, started: now(), set: metrics.NewSet()}
}

func (u *unanswered) counter(cause endCause) *metrics.Counter {
	return u.set.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_caller_connections_unanswered_total{cause=%q}", string(cause)))
}

// report records the end of a connection on which a request has begun. Ends that are up to the
// caller are counted only, since any number of them may come.
func (u *unanswered) report(e *exchangeState, remote string, stopped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cause := e.causeLocked(stopped)
	if cause == "" {
		return
	}
	u.counter(cause).Inc()
	if cause == endedByCaller || cause == endedByTimeout {
		return
	}
	values := []any{"cause", string(cause), "id", e.id, "in_handler", e.stage == inHandler, "remote", remote, "process_age", now().Sub(u.started)}
	if e.stage != notHandled {
		values = append(values, "mode", e.mode, "request_age", now().Sub(e.began))
	}
	if e.readErr != nil {
		values = append(values, "read_error", e.readErr.Error())
	}
	if e.writeErr != nil {
		values = append(values, "write_error", e.writeErr.Error())
	}
	u.log.Request("Connection of a caller ended before its request was answered.", values...)
}
