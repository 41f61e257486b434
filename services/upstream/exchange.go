// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

const (
	// maxInlineBody is the size up to which a body is written before the answer is read. A
	// longer one is written concurrently, since a target may answer early.
	maxInlineBody = 4 << 10
	// maxStrayAnswers is the number of answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	maxDiscard      = 1 << 20 // bytes of a stray answer's body
	maxKeepAlive    = time.Minute
	maxPromise      = 3600 // seconds; a longer keep-alive timeout counts as this
)

// ErrExchange reports why a target gave no usable answer.
type ErrExchange struct {
	Sent   bool // at least one byte of the request was written
	Reason string
}

// Error implements error.
func (e ErrExchange) Error() string { return "target: " + e.Reason }

// AsErrExchange returns the ErrExchange in err's chain, if any.
func AsErrExchange(err error) (ErrExchange, bool) {
	var e ErrExchange
	ok := errors.As(err, &e)
	return e, ok
}

// Request is a request to a target.
type Request struct {
	ID        string
	Method    string
	URI       string
	Host      string
	Header    http.Header // copied, not modified
	Body      []byte
	MayRepeat bool
	// TrustKeepAlive allows the reuse of a connection for a greater part of the time for which the
	// target promises to keep it. It answers many gateways that send each target a request in some
	// seconds, so that most connections expire before they are used again.
	TrustKeepAlive bool
	Outgoing       Outgoing
	Deadline       time.Time
	// Check, if set, is called once there is a connection, before the first byte is written:
	// the request may have become invalid meanwhile. Its error ends the exchange unsent.
	Check func() error
}

// Answer is a target's answer whose body is not read yet. The caller must call Close.
type Answer struct {
	Status  int
	Header  http.Header
	Framing Framing
	Info    AnswerInfo
	Body    io.Reader

	client    *Client
	target    *routing.Target
	conn      *conn
	close     bool // the connection must not be reused
	writeDone chan error
	complete  bool // the body was read to its end
	stop      func() bool
}

// Client exchanges requests with targets.
type Client struct {
	pool    *Pool
	dialect Dialect
	observe Observer
	exits   *netopt.ExitDetector
}

// NewClient returns a client that takes its connections from the pool. The observer may be nil.
func NewClient(pool *Pool, d Dialect, observe Observer) *Client {
	if observe == nil {
		observe = func(*routing.Target, AnswerInfo) {}
	}
	return &Client{pool: pool, dialect: d, observe: observe, exits: netopt.NewExitDetector()}
}

// readInfo reads an answer's header and calls the observer, except for a misdirected
// request: that answer comes from another target than the intended one.
func (c *Client) readInfo(t *routing.Target, resp *http.Response) AnswerInfo {
	info := c.dialect.ReadAnswer(resp.StatusCode, resp.Header)
	if !info.Misdirected {
		c.observe(t, info)
	}
	return info
}

// Send sends a request and returns its answer once the header is read. If the context ends, the
// connection is closed at once, so that the target can stop.
func (c *Client) Send(ctx context.Context, t *routing.Target, r *Request) (*Answer, error) {
	connection, err := c.pool.get(ctx, t, r)
	if err != nil {
		return nil, ErrExchange{false, err.Error()}
	}
	if err := c.checkSend(r); err != nil {
		_ = connection.Close()
		return nil, err
	}
	remaining := r.Deadline.Sub(c.pool.clock.Now())
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	// If the machine is suspended meanwhile, the context ends the exchange earlier.
	_ = connection.SetDeadline(netopt.DeadlineIn(remaining))
	a := &Answer{client: c, target: t, conn: connection, stop: stop}
	if err := a.write(c.encodeHead(r, remaining), r.Body); err != nil {
		a.Close()
		return nil, ErrExchange{true, err.Error()}
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, ErrExchange{true, err.Error()}
	}
	return a, nil
}

// HasExited reports whether a target whose answer broke off has exited. known is false if the
// context ended first.
func (c *Client) HasExited(ctx context.Context, t *routing.Target) (exited, known bool) {
	return c.exits.Exited(ctx, t.ID, t.Address)
}

// HasExitedNow is HasExited for an answer that may be complete and has just ended.
func (c *Client) HasExitedNow(ctx context.Context, t *routing.Target) (exited, known bool) {
	return c.exits.ExitedNow(ctx, t.Address)
}

// checkSend reports why a request must not be written any more.
func (c *Client) checkSend(r *Request) error {
	if !c.pool.clock.Now().Before(r.Deadline) {
		return ErrExchange{false, "the deadline passed before it was sent"}
	}
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// encodeHead encodes the request line and the header without hop-by-hop fields.
func (c *Client) encodeHead(r *Request, remaining time.Duration) *bytes.Buffer {
	h := r.Header.Clone()
	RemoveHopByHop(h)
	o := r.Outgoing
	o.Remaining = remaining
	c.dialect.WriteCall(h, o)
	h.Del("Content-Length")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return &b
}

func (a *Answer) write(head *bytes.Buffer, body []byte) error {
	if len(body) <= maxInlineBody {
		head.Write(body)
		_, err := a.conn.Write(head.Bytes())
		return err
	}
	a.writeDone = make(chan error, 1)
	connection := a.conn
	go func() {
		_, err := connection.Write(head.Bytes())
		if err == nil {
			_, err = connection.Write(body)
		}
		a.writeDone <- err
	}()
	return nil
}

// readHead reads the head of the answer to this request. It skips late answers to earlier
// requests on the same connection.
func (a *Answer) readHead(r *Request) error {
	for range maxStrayAnswers + 1 {
		resp, err := a.conn.readHead(r.Method)
		if err != nil {
			return err
		}
		a.Info = a.client.readInfo(a.target, resp)
		if a.Info.ID != "" && a.Info.ID != r.ID {
			if resp.Close || discard(resp.Body) != nil {
				return errors.New("answer to another request")
			}
			continue
		}
		return a.accept(resp)
	}
	return errors.New("answers to other requests")
}

func (a *Answer) accept(resp *http.Response) error {
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && (!a.Info.Signed || a.Info.ID == "") {
		return errors.New("success without signature or ID")
	}
	a.Status, a.Header, a.Framing = resp.StatusCode, resp.Header, framingOf(resp)
	a.close = a.Info.Leaving || resp.Close || a.Framing == FramedByClose
	a.conn.promised = parseKeepAlive(resp.Header)
	a.Body = &eofReader{resp.Body, a}
	return nil
}

func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscard))
	if err == nil && n == maxDiscard {
		err = errors.New("too long")
	}
	return err
}

// DiscardBody reads the rest of the body so that the connection can be used again, unless it is longer
// than the limit or does not come within the time.
func (a *Answer) DiscardBody(limit int64, within time.Duration) {
	if a.conn.SetReadDeadline(netopt.DeadlineIn(within)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, limit)) // on failure Close closes the connection
	}
}

// parseKeepAlive returns the time for which the target promises to keep an idle connection, or
// noKeepAlive.
func parseKeepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(min(s, maxPromise)) * time.Second
		}
	}
	return noKeepAlive
}

// eofReader records that the body was read to its end.
type eofReader struct {
	io.Reader
	answer *Answer
}

// Read implements io.Reader.
func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.answer.complete = true
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if the exchange is incomplete or the
// connection must not be reused.
func (a *Answer) Close() {
	canceled := !a.stop()
	switch {
	case canceled || !a.complete || !a.requestWritten() || a.conn.reader.Buffered() > 0:
		a.client.pool.counters.incomplete.Inc()
		_ = a.conn.Close()
		return
	case a.close:
		a.client.pool.counters.closeAsked.Inc()
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.client.pool.put(a.target.ID, a.conn)
}

func (a *Answer) requestWritten() bool {
	if a.writeDone == nil {
		return true
	}
	select {
	case err := <-a.writeDone:
		return err == nil
	default:
		return false
	}
}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop deletes the fields that apply to a single connection only.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
