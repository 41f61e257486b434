// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"madderway/core/bytequota"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/netopt"
)

const (
	// The buffer of a body starts with firstBodyBuffer bytes, or its length if that is less, and
	// grows by bodyGrowth as the body arrives: a caller that sends nothing holds little.
	firstBodyBuffer = 16 << 10
	bodyGrowth      = 4
)

// errTooManyBytes reports that a body does not fit into what its account may hold.
var errTooManyBytes = errors.New("too many bytes are held")

// bodyQuota bounds the bodies that are read or in flight.
type bodyQuota struct {
	mu    *sync.Mutex
	quota *bytequota.Quota
}

func newBodyQuota(limit int64) bodyQuota {
	return bodyQuota{&sync.Mutex{}, bytequota.New(limit)}
}

// hold returns a body of an account for which nothing is held yet.
func (q bodyQuota) hold(account string) *heldBody { return &heldBody{bodies: q, account: account} }

// heldBody counts the bytes that are held for the body of one request.
type heldBody struct {
	bodies  bodyQuota
	account string
	bytes   int64
}

// reserve takes more bytes.
func (b *heldBody) reserve(n int64) bool {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if !b.bodies.quota.Reserve(b.account, n) {
		return false
	}
	b.bytes += n
	return true
}

// giveBack releases n of the bytes.
func (b *heldBody) giveBack(n int64) {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.quota.Release(b.account, n)
	b.bytes -= n
}

// release gives all bytes back. b may be nil.
func (b *heldBody) release() {
	if b != nil && b.bytes > 0 {
		b.giveBack(b.bytes)
	}
}

// read reads a body of a known length, or to its end if the length is negative. Each buffer is
// reserved before it is made.
func (b *heldBody) read(r io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body, length)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == length:
			return body, nil
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger buffer with the same content.
func (b *heldBody) grow(body []byte, length int64) ([]byte, error) {
	size := int64(max(firstBodyBuffer, bodyGrowth*cap(body)))
	if length >= 0 {
		size = min(size, length)
	}
	if !b.reserve(size) {
		return nil, errTooManyBytes
	}
	grown := append(make([]byte, 0, size), body...)
	b.giveBack(int64(cap(body)))
	return grown, nil
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, held *heldBody, limits routing.Limits, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(netopt.DeadlineIn(deadline.Sub(h.opts.Clock.Now())))
	reader := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	exchange := exchangeOf(r.Context())
	exchange.startBody()
	body, err := held.read(reader, r.ContentLength)
	exchange.endBody()
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, errTooManyBytes):
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, result.New(result.QueueFull, "too many bytes are held").WithRetryAfter(notReadyRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout() && h.opts.Forward.GaveUp():
		return nil, drainingError()
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, result.New(result.BodyTooSlow, "the body did not arrive in time")
	default:
		return nil, result.New(result.BadRequest, "body: %v", err)
	}
}
