// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package gateway serves callers whose requests are routed by host and path to
// the targets of services, unchanged.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"madderway/handlers/api"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/netopt"
	"madderway/services/follow"
	"madderway/services/forward"
	"madderway/services/relay"
	"madderway/services/upstream"
)

const (
	// notReadyAfter is when a caller may come back to a gateway that does not
	// know the configuration yet.
	notReadyAfter = 300 * time.Millisecond
	// drainingAfter lets the caller find another gateway.
	drainingAfter = 50 * time.Millisecond
	smallBody     = 4 << 10
)

// Options are the parts of a Handler.
type Options struct {
	Clock     clock.Clock
	Dialect   upstream.Dialect
	Follow    *follow.Service
	Forward   *forward.Service
	MaxBodies int64 // MaxBodies bounds the bytes of all bodies that are held at once.
	// Unsettled tells that the process has stood still and has not heard anew what holds;
	// nil where that is not watched.
	Unsettled func() bool
}

// Handler serves callers.
type Handler struct {
	opts   Options
	mode   atomic.Int32
	open   atomic.Int64
	bodies atomic.Int64
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{opts: o} }

// Mode is what a handler does with new requests.
type Mode int32

// The modes.
const (
	ServeAll     Mode = iota
	ServeClosing      // each answer ends its connection
	RefuseAll         // all are refused as not run
)

// Drain changes what is done with new requests.
func (h *Handler) Drain(m Mode) { h.mode.Store(int32(m)) }

// Open returns how many requests are under way.
func (h *Handler) Open() int { return int(h.open.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	mode := Mode(h.mode.Load())
	if mode != ServeAll {
		w.Header().Set("Connection", "close")
	}
	call := h.opts.Dialect.ReadCall(r.Header)
	if mode == RefuseAll {
		h.refuse(w, call.ID, result.New(result.Draining, "the gateway is stopping").WithRetryAfter(drainingAfter))
		return
	}
	request, err := h.read(w, r, call)
	if err == nil {
		h.bodies.Add(int64(len(request.Body)))
		defer h.bodies.Add(-int64(len(request.Body)))
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

func (h *Handler) refuse(w http.ResponseWriter, id string, err error) {
	e := result.Convert(err)
	if e.RetryAfter > 0 {
		name, value := h.opts.Dialect.RefusalHeader(e.RetryAfter)
		w.Header().Set(name, value)
	}
	if e.Code == result.Overloaded {
		w.Header().Set("Connection", "close") // on the next connection a refusal is cheaper
	}
	body, _ := api.NewError(err, id)
	api.WriteJSON(w, result.Lookup(e.Code).Status, body)
}

// read checks a request against the configuration and reads its body.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, call upstream.Call) (*forward.Request, error) {
	received := h.opts.Clock.Now()
	x := h.opts.Follow.Index()
	if x == nil {
		return nil, result.New(result.NotReady, "no configuration is known").WithRetryAfter(notReadyAfter)
	}
	if h.opts.Unsettled != nil && h.opts.Unsettled() {
		return nil, result.New(result.NotReady, "the process stood still and has not heard anew what holds").WithRetryAfter(notReadyAfter)
	}
	if over(r.Header, x.Configuration.Limits.MaxHeaderBytes) {
		return nil, result.New(result.HeaderTooLarge, "over %d bytes", x.Configuration.Limits.MaxHeaderBytes)
	}
	uri := requestURI(r)
	path, _, _ := strings.Cut(uri, "?")
	route := x.Route(hostOf(r.Host), path)
	if route == nil {
		return nil, result.New(result.NotFound, "no route")
	}
	var account *routing.ClientAccount
	if x.Configuration.RequireAccount && !route.Public {
		if account = x.Account(call.Key); account == nil {
			return nil, result.New(result.Unauthorized, "unknown key")
		}
	}
	service := x.Service(route.PickService(rand.Float64()))
	if service == nil {
		return nil, result.New(result.NoTarget, "the route has no service").WithRetryAfter(notReadyAfter)
	}
	if !takeAdmitted(r.Context()) {
		if _, err := h.opts.Forward.Admit(&call, service, account, false); err != nil {
			return nil, err
		}
	}
	patience := route.Timeout
	if call.Patience > 0 && (call.Patience < patience || patience == 0) {
		patience = call.Patience
	}
	body, err := h.body(w, r, x.Configuration.Limits, received.Add(patience))
	if err != nil {
		return nil, err
	}
	if h.opts.Forward.Strained() && callerHasLeft(r.Context()) {
		return nil, context.Canceled
	}
	return &forward.Request{
		Call: call, Method: r.Method, URI: uri, Host: r.Host, Header: r.Header, Body: body, Route: route, Service: service,
		Account: account, Received: received, Deadline: received.Add(patience), Carrier: relay.HandedOverBy(r.Context()),
		Left: func() bool { return connectionEnded(r.Context()) },
	}, nil
}

func (h *Handler) body(w http.ResponseWriter, r *http.Request, limits routing.Limits, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	if h.bodies.Load()+max(r.ContentLength, smallBody) > h.opts.MaxBodies {
		return nil, result.New(result.QueueFull, "too many bytes are held").WithRetryAfter(notReadyAfter)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(netopt.DeadlineIn(deadline.Sub(h.opts.Clock.Now())))
	reader := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	body, err := readAll(reader, r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, result.New(result.BodyTooSlow, "the body did not arrive in time")
	default:
		return nil, result.New(result.BadRequest, "body: %v", err)
	}
}

// readAll reads a body whose length is known in one piece.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// requestURI returns path and query as they came.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// over tells whether a header is longer than the limit.
func over(h http.Header, limit int) bool {
	const separators = 4 // colon, blank and line end
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
