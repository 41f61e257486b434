// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a client's attempt and its answer.
type sent struct {
	id, gateway, path string
	at                time.Time
	took              time.Duration
	status            int // 0 without an answer
	signed            bool
	err               error
}

// clients send requests and keep what came back.
type clients struct {
	http *http.Client
	last atomic.Int64

	mu  sync.Mutex
	all []sent
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}}
}

// post sends a sound request to a gateway and waits for the answer.
func (c *clients) post(g *gateway, path, key string, deadline time.Duration) sent {
	return c.postBody(g, path, key, "one sample", deadline)
}

// postBody sends a request with a body.
func (c *clients) postBody(g *gateway, path, key, body string, deadline time.Duration) sent {
	s := sent{id: fmt.Sprintf("%s-%d", g.name, c.last.Add(1)), gateway: g.name, path: path, at: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.status, s.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	}
	s.took, s.err = time.Since(s.at), err
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s
}

// answers returns a copy of all attempts that have ended.
func (c *clients) answers() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}
