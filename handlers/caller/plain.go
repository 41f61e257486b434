// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"strings"

	"madderway/models/result"
	"madderway/services/dispatch"
)

// forwardedHeaders are sent on to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", HeaderIdempotencyKey}

func (h *Handler) plain(c *call) error {
	key := c.req.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return result.New(result.BadRequest, "the idempotency key is over %d characters", maxKeyLength)
	}
	body, err := h.readBody(c)
	if err != nil {
		return err
	}
	pool := c.req.Param("pool")
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if v := c.req.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	held := h.dispatch.Hold(c.id)
	defer held.Release()
	a, err := h.dispatch.Plain(c.req.Context(), dispatch.Plain{
		RequestID: c.id, Account: c.account, Pool: pool, Method: c.req.Method,
		Path:  strings.TrimPrefix(c.req.URL.EscapedPath(), "/services/"+pool),
		Query: c.req.URL.RawQuery, Header: header, Body: body,
		Class: c.req.Header.Get(HeaderClass), IdempotencyKey: key, Held: held,
	})
	if err != nil {
		return err
	}
	if a.ContentType != "" {
		c.Header().Set("Content-Type", a.ContentType)
	}
	if a.Replayed {
		c.Header().Set(HeaderReplayed, "true")
	}
	c.WriteHeader(a.Status)
	_, _ = c.Write(a.Body)
	return nil
}
