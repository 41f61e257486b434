// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"madderway/models/routing"
)

const maxCachedList = 4 << 20 // bytes

// CachedParts returns the parts of prompts that a target has cached. It opens a connection of
// its own, since the answer has neither ID nor signature.
func (c *Client) CachedParts(ctx context.Context, t *routing.Target) ([]routing.PromptPart, error) {
	connection, err := c.pool.open(ctx, t)
	if err != nil {
		return nil, ErrExchange{false, err.Error()}
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", c.dialect.CachedPath(), t.Address)
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, ErrExchange{true, err.Error()}
	}
	resp, err := connection.readHead(http.MethodGet)
	if err != nil {
		return nil, ErrExchange{true, err.Error()}
	}
	// The body is not closed: that would read the rest of it.
	c.readInfo(t, resp)
	list, err := io.ReadAll(io.LimitReader(resp.Body, maxCachedList))
	if err != nil {
		return nil, ErrExchange{true, err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, ErrExchange{true, resp.Status}
	}
	return c.dialect.ReadCached(list)
}
