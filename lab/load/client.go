// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package load sends requests to a fleet over HTTP as its callers do, and records their outcomes.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"madderway/handlers/api"
	"madderway/handlers/caller"
	"madderway/models/result"
	"madderway/modules/httpresp"
	"madderway/services/engine"
)

// Client sends requests to routers and targets.
type Client struct{ http *http.Client }

// NewClient returns a client that keeps many idle connections for reuse.
func NewClient() *Client {
	return &Client{&http.Client{Transport: httpresp.Transport(&http.Transport{
		MaxIdleConnsPerHost: 1024, MaxIdleConns: 8192, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	})}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the response to a request.
type Answer struct {
	RequestID  string
	Resume     string   // resume token
	Events     []string // data of the stream's events, without typed events such as restart
	Body       []byte
	Status     int
	Err        *api.Error // error response, or nil
	Broken     bool       // no or an incomplete response
	Restarted  bool       // the stream restarted from its first event
	Replayed   bool       // recorded result of an earlier call with the same idempotency key
	FirstEvent time.Duration
	Total      time.Duration
}

// Complete reports whether a stream ended with its final event.
func (a *Answer) Complete() bool {
	return len(a.Events) > 0 && a.Events[len(a.Events)-1] == engine.DoneData
}

// Chat is a completion request.
type Chat struct {
	Model     string
	Prompt    string
	Class     string
	MaxTokens int
	Tokens    int // length of the stand-in's answer, unknown to the routers
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	LabTokens int           `json:"lab_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns the JSON body of the request.
func (c Chat) Body() []byte {
	body, err := json.Marshal(chatBody{c.Model, true, c.MaxTokens, c.Tokens, []chatMessage{{"user", c.Prompt}}})
	if err != nil {
		panic("plain strings cannot fail to encode: " + err.Error())
	}
	return body
}

// Chat sends a completion request to a router, or directly to an engine.
func (c *Client) Chat(ctx context.Context, address, key string, chat Chat) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(chat.Body()))
	if err != nil {
		return Answer{Broken: true}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if chat.Class != "" {
		req.Header.Set(caller.HeaderClass, chat.Class)
	}
	return c.stream(req, Answer{})
}

// Resume asks a router for the events that follow those of a, and returns all of them.
func (c *Client) Resume(ctx context.Context, address, key string, a Answer) Answer {
	u := fmt.Sprintf("http://%s/v1/responses/%s?offset=%d", address, a.RequestID, len(a.Events))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return a
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if a.Resume != "" {
		req.Header.Set(caller.HeaderResume, a.Resume)
	}
	a.Broken, a.Err = false, nil
	return c.stream(req, a)
}

func (c *Client) stream(req *http.Request, a Answer) Answer {
	started := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		a.Broken = true
		return a
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	if a.RequestID == "" {
		a.RequestID = resp.Header.Get(api.HeaderRequestID)
	}
	if resp.StatusCode != http.StatusOK {
		a.Err = decodeError(resp)
		return a
	}
	if token := resp.Header.Get(caller.HeaderResume); token != "" {
		a.Resume = token
	}
	readEvents(resp.Body, &a, started)
	a.Total = time.Since(started)
	return a
}

func decodeError(resp *http.Response) *api.Error {
	var body api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return &api.Error{Code: result.Internal, Message: err.Error(), Ran: result.RanUnknown}
	}
	return &body.Error
}

// restartEvent announces that the stream restarts and invalidates all earlier events.
type restartEvent struct {
	Resume string `json:"resume"`
}

func readEvents(r io.Reader, a *Answer, started time.Time) {
	reader := newLineReader(r)
	for {
		kind, id, data, err := reader.next()
		if err != nil {
			a.Broken = !a.Complete()
			return
		}
		switch kind {
		case "restart":
			var e restartEvent
			_ = json.Unmarshal([]byte(data), &e)
			a.Resume, a.Events, a.Restarted = e.Resume, nil, true
			continue
		case "error":
			var body api.ErrorBody
			_ = json.Unmarshal([]byte(data), &body)
			a.Err = &body.Error
			return
		}
		if n, err := strconv.Atoi(id); err != nil || n != len(a.Events)+1 {
			a.Broken = true
			return
		}
		if a.FirstEvent == 0 {
			a.FirstEvent = time.Since(started)
		}
		a.Events = append(a.Events, data)
		if data == engine.DoneData {
			return
		}
	}
}

// Plain calls a plain service through a router, with an idempotency key if it is not empty.
func (c *Client) Plain(ctx context.Context, address, key, path, idempotencyKey string, body []byte) Answer {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Broken: true}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Broken: true}
	}
	defer resp.Body.Close()
	a := Answer{
		RequestID: resp.Header.Get(api.HeaderRequestID), Status: resp.StatusCode,
		Replayed: resp.Header.Get(caller.HeaderReplayed) != "",
	}
	if resp.StatusCode >= http.StatusBadRequest {
		a.Err = decodeError(resp)
	} else if a.Body, err = io.ReadAll(resp.Body); err != nil {
		a.Broken = true
	}
	a.Total = time.Since(started)
	return a
}

var errEnd = errors.New("end of stream")
