// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package engine is the client of targets: of model engines, which have resumable streams and
// take fenced orders, and of plain services.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"madderway/core/place"
	"madderway/modules/httpresp"
	"madderway/modules/netopt"
	"madderway/modules/retryafter"
)

const maxReport = 1 << 20 // bytes of an answer to a poll

// Headers of the engines' protocol.
const (
	HeaderStreamID = "X-Stream-Id"
	HeaderPriority = "X-Priority"
	HeaderAccount  = "X-Client-Account"
	HeaderRequest  = "X-Request-Id"
	// HeaderPrefix carries the ID of the prompt's prefix, as in the engine's cache events.
	HeaderPrefix = "X-Prefix-Id"
)

// ErrTarget matches every ErrAttempt in errors.Is.
var ErrTarget = errors.New("target failed")

// ErrAttempt reports a failed attempt.
type ErrAttempt struct {
	Target     string
	MayHaveRun bool // false only if the target provably did not run the request
	Status     int
	Cause      error
}

// Error implements error.
func (e ErrAttempt) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("target %s: %v", e.Target, e.Cause)
	}
	return fmt.Sprintf("target %s: status %d", e.Target, e.Status)
}

// Unwrap returns ErrTarget.
func (e ErrAttempt) Unwrap() error { return ErrTarget }

// AsErrAttempt returns the ErrAttempt in err's chain, if any.
func AsErrAttempt(err error) (ErrAttempt, bool) {
	var e ErrAttempt
	ok := errors.As(err, &e)
	return e, ok
}

// LoadReport is the load that a target reports about itself. It may be stale.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Order is an order to an engine, fenced by an epoch: an engine rejects those of older epochs.
type Order struct {
	Epoch  uint64 `json:"epoch"`
	Action string `json:"action"` // load, unload or role
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// Client sends requests to targets over HTTP.
type Client struct {
	// OnRetryAfter is called when a target asks for a pause. It may be nil and must be set before
	// the first request.
	OnRetryAfter func(target string, r retryafter.Result)

	http    *http.Client
	noReuse *http.Client // opens a new connection for each request
	poll    *http.Client // for load reports, cache events and orders
}

// NewClient returns a client. pollTimeout bounds load reports, cache events and orders.
func NewClient(pollTimeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: netopt.MaxResponseHead,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	kept := httpresp.Transport(transport)
	return &Client{http: &http.Client{Transport: kept}, noReuse: &http.Client{Transport: httpresp.Transport(fresh)}, poll: &http.Client{Transport: kept, Timeout: pollTimeout}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request to a target. Every error is an ErrAttempt. The request did not run if the
// connection failed, or if the target says so by status 429 or 503 and the header X-Not-Run.
// With once set, the request must not be repeated and gets a new connection: on an idle one that
// the target has closed, its outcome would be unknown.
func (c *Client) Do(req *http.Request, target string, once bool) (*http.Response, error) {
	// Without GetBody the HTTP client cannot retry the request by itself.
	req.GetBody = nil
	client := c.http
	if once {
		client = c.noReuse
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, ErrAttempt{Target: target, MayHaveRun: !notSent(err), Cause: err}
	}
	if r := retryafter.Read(resp.StatusCode, resp.Header); c.OnRetryAfter != nil && r != (retryafter.Result{}) {
		c.OnRetryAfter(target, r)
	}
	if reportsNotRun(resp) {
		_ = resp.Body.Close()
		return nil, ErrAttempt{Target: target, Status: resp.StatusCode}
	}
	return resp, nil
}

func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func reportsNotRun(resp *http.Response) bool {
	busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return busy && resp.Header.Get("X-Not-Run") != ""
}

// StartStream sends a chat completion. The header must carry the stream's ID.
func (c *Client) StartStream(ctx context.Context, address, target string, h http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, ErrAttempt{Target: target, Cause: err}
	}
	req.Header = h
	return c.Do(req, target, false)
}

// ResumeStream continues a stream after the event at the offset.
func (c *Client) ResumeStream(ctx context.Context, address, target, streamID string, offset int) (*http.Response, error) {
	u := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, url.PathEscape(streamID), offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, ErrAttempt{Target: target, MayHaveRun: true, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, ErrAttempt{Target: target, MayHaveRun: true, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, ErrAttempt{Target: target, MayHaveRun: true, Status: resp.StatusCode}
	}
	return resp, nil
}

// CancelStream stops a stream that has no caller any more.
func (c *Client) CancelStream(ctx context.Context, address, streamID string) error {
	return c.post(ctx, "http://"+address+"/v1/streams/"+url.PathEscape(streamID)+"/cancel", nil)
}

func (c *Client) post(ctx context.Context, u string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(content))
	if err != nil {
		return err
	}
	resp, err := c.poll.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return ErrAttempt{Status: resp.StatusCode, MayHaveRun: false, Cause: errors.New(string(text))}
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport))
	return err
}

func (c *Client) getJSON(ctx context.Context, u string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	resp, err := c.poll.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ErrAttempt{Status: resp.StatusCode}
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

// Load returns a target's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.getJSON(ctx, "http://"+address+"/load", &l)
	return l, err
}

// CacheEvents returns an engine's cache events starting at a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) ([]place.CacheEvent, error) {
	var events []place.CacheEvent
	err := c.getJSON(ctx, "http://"+address+"/cache/events?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// Send sends an order to an engine.
func (c *Client) Send(ctx context.Context, address string, o Order) error {
	return c.post(ctx, "http://"+address+"/orders", o)
}
