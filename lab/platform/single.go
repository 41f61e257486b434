// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"time"

	"madderway/router"
)

// Gateway returns a running gateway of the site.
func (s *Site) Gateway(i int) *router.Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[i].running
}

// AskAt sends one request for a long stream to a gateway, on a connection of its own. It
// reports whether the answer was whole; the ledger notes whatever else was wrong.
func (s *Site) AskAt(ctx context.Context, gateway int, account string, seed uint64) bool {
	kind := Kinds()[0]
	c := newClient(s, kind, account, s.keys[account][0], seed)
	c.address = func(*client) string { return s.gateways[gateway].setting.Callers }
	c.uri = func(*client) string { return kind.Path + "item" }
	defer c.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, kind.Deadline)
	defer cancel()
	result, _ := c.attempt(ctx, time.Now())
	return result == outcomeServed || result == outcomeLate
}

// Broken returns what was seen that must never be.
func (s *Site) Broken() []string { return s.ledger.Broken() }
