// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"os"
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
	// earlyBody is the longest body of a request that is refused or handed over early: it
	// must be read to its end before the next request.
	earlyBody = 256 << 10
	// earlyBuffer is the size in which the body of a refused request is read; most come in
	// one or two.
	earlyBuffer = 32 << 10
	maxPlainID  = 64
)

// earlyBuffers hold what is read of bodies that nobody looks at.
var earlyBuffers = sync.Pool{New: func() any { return new([earlyBuffer]byte) }}

// Verdict is what an early look at a request decided.
type Verdict int

// The verdicts.
const (
	NotJudged  Verdict = iota // the HTTP server takes the request as any other
	Admitted                  // the HTTP server takes it; it was counted and admitted
	HandedOver                // another gateway serves it
	Refused
)

// Judgement is what an early look at a request has found.
type Judgement struct {
	Verdict Verdict
	Answer  []byte        // Answer is that to a refused request.
	ID      string        // ID is that of a request that is handed over.
	Account string        // Account is that of a request that is handed over.
	Within  time.Duration // Within is how long a request that is handed over may take.
}

// LookOptions say what may become of a request.
type LookOptions struct {
	Closes  bool // Closes tells that the answer ends the connection.
	Movable bool // Movable tells that another gateway may serve the request.
}

// EarlyJudge judges requests by their heads, before an HTTP server parses them.
type EarlyJudge interface {
	// Judges tells whether requests are to be looked at now.
	Judges() bool
	Look(h *httphead.Head, o LookOptions) Judgement
	// Lost returns the answer to a request of which nobody knows what has become.
	Lost(id string) []byte
	// Told notes how handing a request over came out.
	Told(j Judgement, h HandedTo)
}

// Judges implements EarlyJudge.
func (h *Handler) Judges() bool {
	return h.opts.Forward.Strained() && Mode(h.mode.Load()) == ServeAll
}

// Look implements EarlyJudge: while the gateway is short of processor time it judges the
// requests of known accounts for targets that a scheduler chooses.
//
// A refusal through the HTTP server takes 80 microseconds of a process that shares its core,
// measured on a gateway that refuses all of a flood of 1,000 requests a second; where each is
// refused twice nothing is left for serving.
func (h *Handler) Look(head *httphead.Head, o LookOptions) Judgement {
	x := h.opts.Follow.Index()
	if x == nil || !h.Judges() {
		return Judgement{}
	}
	limits := x.Configuration.Limits
	if limits.MaxHeaderBytes > 0 && head.Length > limits.MaxHeaderBytes || limits.MaxBodyBytes > 0 && head.Body > limits.MaxBodyBytes {
		return Judgement{}
	}
	call, ok := h.opts.Dialect.PeekCall(head.Get)
	route := x.Route(hostOf(string(head.Host)), string(head.Path))
	if !ok || !plainID(call.ID) || route == nil || route.Public || len(route.Split) != 1 {
		return Judgement{}
	}
	account, service := x.Account(call.Key), x.Service(route.Split[0].Service)
	if account == nil || service == nil || service.Engine == nil || call.Prompt == nil {
		return Judgement{}
	}
	admission, err := h.opts.Forward.Admit(&call, service, account, o.Movable)
	switch {
	case err != nil:
		return Judgement{Verdict: Refused, Answer: h.earlyAnswer(err, call.ID, o.Closes)}
	case admission == forward.HandOver:
		return Judgement{Verdict: HandedOver, ID: call.ID, Account: account.NameOf(), Within: route.Timeout}
	default:
		return Judgement{Verdict: Admitted}
	}
}

// Lost implements EarlyJudge.
func (h *Handler) Lost(id string) []byte {
	return h.earlyAnswer(result.New(result.OutcomeUnknown, "the gateway that took the request over is gone"), id, true)
}

// Told implements EarlyJudge.
func (h *Handler) Told(j Judgement, to HandedTo) {
	h.opts.Forward.NoteHandedOver(forward.HandedOver{ID: j.ID, Account: j.Account, Peer: to.Peer, After: to.After, Bytes: to.Bytes, Lost: to.Lost, Gone: to.Gone})
}

// plainID tells whether an ID can stand in an answer as it is.
func plainID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(id) <= maxPlainID
}

// earlyAnswer writes the same answer as refuse does.
func (h *Handler) earlyAnswer(err error, id string, closes bool) []byte {
	e := result.Of(err)
	body := append([]byte(nil), earlyBodyOf(e)...)
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

// earlyBodies holds the beginnings of the bodies of early answers by code and detail, of which
// there are a few.
var earlyBodies sync.Map

// earlyKey tells the errors apart whose bodies differ in more than time and ID.
type earlyKey struct {
	code   result.Code
	detail string
}

// earlyBodyOf returns the body of an error up to the time after which the caller may return.
func earlyBodyOf(e *result.ErrResult) []byte {
	key := earlyKey{e.Code, e.Detail}
	if body, ok := earlyBodies.Load(key); ok {
		return body.([]byte)
	}
	info, _ := api.NewError(result.New(e.Code, "%s", e.Detail), "")
	whole, _ := json.Marshal(info) // numbers and strings only: no error
	const last = `"retry_after_ms":`
	body := whole[:bytes.LastIndex(whole, []byte(last))+len(last)]
	earlyBodies.Store(key, body)
	return body
}

// callerConn is a connection of a caller. At the beginning of each request it looks at the
// head itself while requests are judged early; the bytes of all that it does not refuse or
// hand over are the HTTP server's. Where the server has read beyond the end of a request, or
// the end is not plain, all that follows is the server's, too: what this connection reads next
// may be the middle of a request.
type callerConn struct {
	*counted
	server   *Server
	limits   routing.Limits
	ahead    []byte        // ahead has been read of the next request.
	stop     chan struct{} // stop ends a read that looks only whether the caller has left.
	gone     bool          // gone tells that the caller has left during a request that was handed over.
	refused  bool          // refused tells that the last request was refused early.
	served   bool          // served tells that the HTTP server reads a request, or all that is to come.
	left     int64         // left is how much of its request the server has not read; negative where it has read more.
	admitted bool          // admitted tells that the request which the HTTP server reads was counted and admitted.
}

// endless is what is left of a request whose end is not known.
const endless = math.MaxInt64

// idle tells that the HTTP server has ended a request and waits for the next one.
func (c *callerConn) idle() { c.served, c.admitted = c.left != 0, false }

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.endLooking()
	}
	return c.counted.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.endLooking()
	return c.counted.Close()
}

func (c *callerConn) endLooking() {
	select {
	case c.stop <- struct{}{}:
	default:
	}
}

// look reads a byte for the HTTP server, which wants to know whether the caller leaves while
// a request is served. A byte that comes begins the next request: it is kept until that is
// read, and the server learns that it must wait no longer.
func (c *callerConn) look(p []byte) (int, error) {
	select {
	case <-c.stop: // of an earlier look
	default:
	}
	n, err := c.counted.Read(p)
	if n == 0 {
		return n, err
	}
	c.ahead = append(c.ahead, p[0])
	<-c.stop
	return 0, os.ErrDeadlineExceeded
}

// readOn reads what has come, behind what was read ahead.
func (c *callerConn) readOn(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.counted.Read(p)
	}
	taken := copy(p, c.ahead)
	c.ahead = c.ahead[taken:]
	if taken == len(p) || c.served {
		return taken, nil
	}
	n, err := c.counted.Read(p[taken:])
	return taken + n, err
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.served && c.left == 0 && len(p) == 1 && len(c.ahead) == 0 {
			return c.look(p)
		}
		n, err := c.readOn(p)
		if c.served {
			c.left -= int64(n)
			return n, err
		}
		if err != nil || n == 0 {
			return n, err
		}
		head, plain := httphead.Parse(p[:n])
		rest := head.Body - int64(n-head.Length)
		if !plain || rest < 0 {
			return n, c.toServer(NotJudged, endless)
		}
		if head.Body > earlyBody || !c.server.judges() {
			return n, c.toServer(NotJudged, rest)
		}
		closes := c.server.crowded()
		j := c.server.early.Look(&head, LookOptions{Closes: closes, Movable: c.server.relay != nil})
		switch j.Verdict {
		case HandedOver:
			switch c.handOver(p[:n], rest, j, closes) {
			case ended:
				return 0, io.EOF
			case servedHere:
				whole := int64(len(c.ahead))
				c.served = true
				n, _ = c.readOn(p)
				return n, c.toServer(Admitted, whole-int64(n))
			}
		case Refused:
			if err := c.refuse(j.Answer, rest); err != nil {
				return 0, err
			}
			if closes {
				return 0, io.EOF
			}
		default:
			return n, c.toServer(j.Verdict, rest)
		}
	}
}

// toServer leaves this request, of which so much is left, to the HTTP server.
func (c *callerConn) toServer(v Verdict, left int64) error {
	c.served, c.left, c.admitted = true, left, v == Admitted
	if !c.refused {
		return nil
	}
	c.refused = false
	return c.SetReadDeadline(time.Now().Add(headerTime(c.limits)))
}

// refuse reads the rest of a request and answers it.
func (c *callerConn) refuse(answer []byte, rest int64) error {
	c.refused = true
	if err := c.drop(rest); err != nil {
		return err
	}
	if _, err := c.counted.Write(answer); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(idleTime(c.limits)))
}

// drop reads so many bytes that nobody looks at.
func (c *callerConn) drop(rest int64) error {
	if rest == 0 {
		return nil
	}
	if err := c.SetReadDeadline(time.Now().Add(headerTime(c.limits))); err != nil {
		return err
	}
	buffer := earlyBuffers.Get().(*[earlyBuffer]byte)
	defer earlyBuffers.Put(buffer)
	for rest > 0 {
		n, err := c.counted.Read(buffer[:min(rest, earlyBuffer)])
		rest -= int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// connKey is the key of a request's context under which its connection stands.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// takeAdmitted tells whether a request was counted and admitted before the HTTP server
// parsed it.
func takeAdmitted(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || !c.admitted {
		return false
	}
	c.admitted = false
	return true
}
