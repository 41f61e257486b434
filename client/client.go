// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package client calls a router's HTTP interface for operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"madderway/handlers/api"
	"madderway/handlers/operator"
	"madderway/models/result"
	"madderway/modules/httpresp"
	"madderway/services/config"
	"madderway/services/trace"
)

const timeout = 30 * time.Second

// Client calls one router.
type Client struct {
	base       string
	token      string
	httpClient *http.Client
}

// New returns a client of the router whose operators' listener is at address, an IP address and
// port.
func New(address, token string) *Client {
	return &Client{"http://" + strings.TrimPrefix(address, "http://"), token, &http.Client{Timeout: timeout, Transport: httpresp.Transport(http.DefaultTransport.(*http.Transport).Clone())}}
}

// do sends a request and decodes the response. Error responses of the router are returned as
// *result.ErrResult.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(content)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp.StatusCode, content)
	}
	return json.Unmarshal(content, into)
}

func decodeError(status int, content []byte) error {
	var body api.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("status %d: %s", status, content)
	}
	return &result.ErrResult{
		Code: body.Error.Code, Detail: body.Error.Message, Ran: body.Error.Ran,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
}

// Apply submits a configuration change.
func (c *Client) Apply(ctx context.Context, a operator.ApplyRequest) (config.Receipt, error) {
	var r config.Receipt
	return r, c.do(ctx, http.MethodPut, "/operator/config", a, &r)
}

// Get returns the router's current configuration.
func (c *Client) Get(ctx context.Context) (operator.ConfigReply, error) {
	var r operator.ConfigReply
	return r, c.do(ctx, http.MethodGet, "/operator/config", nil, &r)
}

// Status returns the state of the fleet as seen by the router.
func (c *Client) Status(ctx context.Context) (operator.StatusReply, error) {
	var r operator.StatusReply
	return r, c.do(ctx, http.MethodGet, "/operator/status", nil, &r)
}

// Dump returns the state of the router's process as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var r json.RawMessage
	return r, c.do(ctx, http.MethodGet, "/operator/dump", nil, &r)
}

// Explain returns the recorded events of a request from all routers.
func (c *Client) Explain(ctx context.Context, id string) ([]trace.Record, error) {
	var r []trace.Record
	return r, c.do(ctx, http.MethodGet, "/operator/explain/"+id, nil, &r)
}

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, o operator.OrderRequest) (operator.OrderReply, error) {
	var r operator.OrderReply
	return r, c.do(ctx, http.MethodPost, "/operator/orders", o, &r)
}

// Drain starts a graceful stop of the router.
func (c *Client) Drain(ctx context.Context) error {
	var r map[string]bool
	return c.do(ctx, http.MethodPost, "/operator/drain", nil, &r)
}
