// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"testing"

	"madderway/lab/platform"
)

// The store came back from a copy of some seconds before, and counted on from there. Gateways
// compared its numbers with those of the history that it had lost: a worker that left then was
// taken for ready until the count had passed the old one, for minutes. What is said after the
// return holds, and what was known of a worker before it is not undone by the older list.
func TestStoreThatCameBackOlderIsFollowed(t *testing.T) {
	t.Parallel()
	s := newNoticeSite(t, platform.Kinds()[2], 3)
	workers := s.Workers(s.kind)
	s.SnapshotStore()
	workers[0].Drain()
	for g := range 3 {
		s.knows(g, 1)
	}
	for range 30 { // the count goes on
		s.PutConfig()
	}
	s.RewriteRows()
	s.followed()
	s.SetStoreDown(true)
	s.RestoreStore()
	s.SetStoreDown(false)
	s.none("after the return", workers[0], 0, 1, 2)
	s.RewriteRows()
	s.followed()
	workers[1].Drain()
	for g := range 3 {
		s.knows(g, 2)
	}
	s.none("what left before the return", workers[0], 0, 1, 2)
	s.none("what left after it", workers[1], 0, 1, 2)
}

// followed waits until all gateways know what the store was told until now.
func (s *noticeSite) followed() {
	s.t.Helper()
	targets := s.Gateway(0).Dump().Targets
	if err := s.AddWorker(s.kind.Stream); err != nil {
		s.t.Fatal(err)
	}
	for g := range 3 {
		s.until("a gateway lists a new worker", func() bool { return s.Gateway(g).Dump().Targets > targets })
	}
}
