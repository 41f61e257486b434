// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package gateway serves callers' requests by forwarding them unchanged to the targets of the
// service that their host and path select.
//
// A Server accepts connections and bounds their number; a Handler authenticates, admits and
// forwards requests. Under overload a Server asks an EarlyAdmission to refuse requests, or to
// hand them over to other gateways, before the HTTP server parses them.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/core/place"
	"madderway/handlers/api"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/services/follow"
	"madderway/services/forward"
	"madderway/services/relay"
	"madderway/services/upstream"
)

const (
	// The retry delay while the configuration is not known yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// Long enough for the caller to be sent to another gateway.
	drainingRetryAfter = 50 * time.Millisecond
)

// Options configure a Handler.
type Options struct {
	Clock             clock.Clock
	Dialect           upstream.Dialect
	Follow            *follow.Service
	Forward           *forward.Service
	MaxTotalBodyBytes int64 // limit on the bodies of all requests in flight
	// Resyncing reports whether the process was suspended or stalled and has not refreshed its
	// configuration and targets since. May be nil.
	Resyncing func() bool
}

// Handler serves callers' requests.
type Handler struct {
	opts     Options
	mode     atomic.Int32
	refuseAt atomic.Pointer[time.Time] // from then on, ServeClosing is RefuseAll
	inFlight atomic.Int64
	bodies   bodyQuota
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{opts: o, bodies: newBodyQuota(o.MaxTotalBodyBytes)} }

// Mode is the handling of new requests, which changes during a drain.
type Mode int32

// Modes of a Handler.
const (
	ServeAll     Mode = iota
	ServeClosing      // serve, and close the connection after the answer
	RefuseAll         // refuse as not run
)

// String implements fmt.Stringer.
func (m Mode) String() string {
	return [...]string{ServeAll: "serve_all", ServeClosing: "serve_closing", RefuseAll: "refuse_all"}[m]
}

// SetMode sets how new requests are handled.
func (h *Handler) SetMode(m Mode) { h.mode.Store(int32(m)) }

// StartClosing sets the mode ServeClosing until a time, and RefuseAll from then on.
func (h *Handler) StartClosing(until time.Time) {
	h.refuseAt.Store(&until)
	h.SetMode(ServeClosing)
}

// modeAt returns how a request that comes now is handled. After a stall of the process the time to
// refuse may have passed, while whoever sets the mode has not run yet.
func (h *Handler) modeAt(now time.Time) Mode {
	mode := Mode(h.mode.Load())
	if mode != ServeClosing {
		return mode
	}
	if until := h.refuseAt.Load(); until != nil && !now.Before(*until) {
		return RefuseAll
	}
	return mode
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	now := h.opts.Clock.Now()
	mode := h.modeAt(now)
	if mode != ServeAll {
		w.Header().Set("Connection", "close")
	}
	call := h.opts.Dialect.ReadCall(r.Header)
	exchange := exchangeOf(r.Context())
	exchange.enterHandler(call.ID, mode, now)
	if !r.ProtoAtLeast(1, 1) {
		// Stays in force if the handler panics to abort the response.
		setResetOnClose(r.Context(), true)
	}
	h.serve(w, r, call, mode)
	exchange.leaveHandler() // not after a panic
	if !r.ProtoAtLeast(1, 1) {
		setResetOnClose(r.Context(), false)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, call upstream.Call, mode Mode) {
	if mode == RefuseAll {
		h.refuse(w, call.ID, drainingError())
		return
	}
	request, held, err := h.readRequest(w, r, call)
	defer held.release()
	if err == nil {
		err = h.opts.Forward.Serve(r.Context(), w, request)
	}
	switch {
	case err == nil:
	case errors.Is(err, forward.ErrAborted), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	default:
		h.refuse(w, call.ID, err)
	}
}

func drainingError() *result.ErrResult {
	return result.New(result.Draining, "the gateway is stopping").WithRetryAfter(drainingRetryAfter)
}

func (h *Handler) refuse(w http.ResponseWriter, id string, err error) {
	e := result.Convert(err)
	if e.RetryAfter > 0 {
		name, value := h.opts.Dialect.RefusalHeader(e.RetryAfter)
		w.Header().Set(name, value)
	}
	if e.Code == result.Overloaded || Mode(h.mode.Load()) != ServeAll {
		// A refusal on a new connection is cheaper, and another gateway may take that.
		w.Header().Set("Connection", "close")
	}
	body, _ := api.NewError(err, id)
	api.WriteJSON(w, result.Lookup(e.Code).Status, body)
}

// readRequest authenticates and admits a request, and reads its body. What is held for the body must
// be released also if there is an error.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, call upstream.Call) (*forward.Request, *heldBody, error) {
	received := h.opts.Clock.Now()
	index := h.opts.Follow.Index()
	if index == nil {
		return nil, nil, result.New(result.NotReady, "no configuration is known").WithRetryAfter(notReadyRetryAfter)
	}
	if h.opts.Resyncing != nil && h.opts.Resyncing() {
		return nil, nil, result.New(result.NotReady, "the process stood still and has not heard anew what holds").WithRetryAfter(notReadyRetryAfter)
	}
	if headerExceeds(r.Header, index.Configuration.Limits.MaxHeaderBytes) {
		return nil, nil, result.New(result.HeaderTooLarge, "over %d bytes", index.Configuration.Limits.MaxHeaderBytes)
	}
	uri := requestURI(r)
	path, _, _ := strings.Cut(uri, "?")
	route := index.Route(hostWithoutPort(r.Host), path)
	if route == nil {
		return nil, nil, result.New(result.NotFound, "no route")
	}
	var account *routing.ClientAccount
	if index.Configuration.RequireAccount && !route.Public {
		if account = index.Account(call.Key); account == nil {
			return nil, nil, result.New(result.Unauthorized, "unknown key")
		}
	}
	service := index.Service(route.PickService(serviceDraw(&call, route, account)))
	if service == nil {
		return nil, nil, result.New(result.NoTarget, "the route has no service").WithRetryAfter(notReadyRetryAfter)
	}
	waited, admitted := consumeAdmitted(r.Context())
	received = received.Add(-waited)
	if !admitted {
		if _, err := h.opts.Forward.Admit(&call, service, account, false); err != nil {
			return nil, nil, err
		}
	}
	timeout := route.Timeout
	if call.Timeout > 0 && (call.Timeout < timeout || timeout == 0) {
		timeout = call.Timeout
	}
	held := h.bodies.hold(account.GetName())
	body, err := h.readBody(w, r, held, index.Configuration.Limits, received.Add(timeout))
	if err != nil {
		return nil, held, err
	}
	if h.opts.Forward.Overloaded() && callerIsDisconnected(r.Context()) {
		return nil, held, context.Canceled
	}
	return &forward.Request{
		Call: call, Method: r.Method, URI: uri, Host: r.Host, Header: r.Header, Body: body, Route: route, Service: service,
		Account: account, Received: received, Deadline: received.Add(timeout), HandedOverBy: relay.HandedOverBy(r.Context()),
		CallerDisconnected: func() bool { return callerConnClosed(r.Context()) },
	}, held, nil
}

// serviceDraw returns the draw for the service of a request. All attempts of a stream that can be
// resumed draw alike, as its rest must come from the same service.
func serviceDraw(call *upstream.Call, route *routing.Route, account *routing.ClientAccount) float64 {
	if !route.Stream || !route.Resumable || len(route.Split) < 2 {
		return rand.Float64()
	}
	first := call.ID
	if call.Resuming {
		first = call.Resumes
	}
	return place.Unit(uint64(coreorigin.KeyOf(account.GetName(), first)))
}

// requestURI returns the path and query as received.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func headerExceeds(h http.Header, limit int) bool {
	const separators = 4 // colon, space, CR and LF
	if limit <= 0 {
		return false
	}
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size > limit
}
