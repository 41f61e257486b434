// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package engine speaks to targets: model engines with resumable streams and
// fenced orders, and plain services.
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
	"madderway/modules/retryafter"
)

// Headers of the engines' protocol.
const (
	HeaderStreamID = "X-Stream-Id"
	HeaderPriority = "X-Priority"
	HeaderAccount  = "X-Client-Account"
	HeaderRequest  = "X-Request-Id"
	// HeaderPrefix names the prompt's prefix; the engine's cache events use it.
	HeaderPrefix = "X-Prefix-Id"
)

// ErrTarget is the general kind of all errors of this package.
var ErrTarget = errors.New("target failed")

// ErrAttempt tells what is known of an attempt that did not succeed.
type ErrAttempt struct {
	Target     string
	MayHaveRun bool // Ran is false only where the target provably did not run it.
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

// AsErrAttempt returns the ErrAttempt inside err.
func AsErrAttempt(err error) (ErrAttempt, bool) {
	var e ErrAttempt
	ok := errors.As(err, &e)
	return e, ok
}

// LoadReport is a target's own word on its load; it lags.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Order is a fenced order to an engine.
type Order struct {
	Epoch  uint64 `json:"epoch"`
	Action string `json:"action"` // load, unload or role
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// Client reaches targets over HTTP.
type Client struct {
	// OnRetryAfter is told that a target wants rest; nil tells nobody. It is set before the first call.
	OnRetryAfter func(target string, r retryafter.Result)

	http    *http.Client
	noReuse *http.Client // fresh never reuses a connection that may be dead already.
	poll    *http.Client
}

// NewClient returns a client; pollTimeout bounds load reports, cache events
// and orders.
func NewClient(pollTimeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: transport}, noReuse: &http.Client{Transport: fresh}, poll: &http.Client{Transport: transport, Timeout: pollTimeout}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request to a target. An error is an ErrAttempt. Nothing was sent
// where the connection could not be made; the target says itself that it did
// not run a call with status 429 or 503 and the header X-Not-Run. A call that
// must not be repeated gets a connection of its own, so that an idle one that
// the target has closed cannot leave its outcome unknown.
func (c *Client) Do(req *http.Request, target string, once bool) (*http.Response, error) {
	// Without GetBody the client cannot repeat the request on its own.
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

// StartStream sends a chat completion under a stream ID. It always asks for a
// stream, so that an answer can be resumed.
func (c *Client) StartStream(ctx context.Context, address, target string, h http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, ErrAttempt{Target: target, Cause: err}
	}
	req.Header = h
	return c.Do(req, target, false)
}

// ResumeStream continues a stream after the event with the given offset.
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

// CancelStream stops a stream that nobody wants any more.
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
	return nil
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
	return json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(into)
}

// Load asks for a target's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.getJSON(ctx, "http://"+address+"/load", &l)
	return l, err
}

// CacheEvents asks for an engine's cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) ([]place.CacheEvent, error) {
	var events []place.CacheEvent
	err := c.getJSON(ctx, "http://"+address+"/cache/events?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// Send gives a fenced order; an engine that checks refuses a lower epoch.
func (c *Client) Send(ctx context.Context, address string, o Order) error {
	return c.post(ctx, "http://"+address+"/orders", o)
}
