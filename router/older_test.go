// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"testing"

	"madderway/lab/platform"
)

// A store restored from an older copy counts revisions from there: changes after that must be
// followed, and workers known to leave must stay excluded.
func TestStoreRestoredFromOlderCopyIsFollowed(t *testing.T) {
	t.Parallel()
	s := newNoticeSite(t, platform.Kinds()[2], 3)
	workers := s.Workers(s.kind)
	s.SnapshotStore()
	workers[0].Drain()
	for g := range 3 {
		s.awaitLeaving(g, 1)
	}
	for range 30 { // advances the revision
		s.PutConfig()
	}
	s.RewriteRows()
	s.awaitStoreFollowed()
	s.SetStoreDown(true)
	s.RestoreStore()
	s.SetStoreDown(false)
	s.expectNone("after the restore", workers[0], 0, 1, 2)
	s.RewriteRows()
	s.awaitStoreFollowed()
	workers[1].Drain()
	for g := range 3 {
		s.awaitLeaving(g, 2)
	}
	s.expectNone("a worker that left before the restore", workers[0], 0, 1, 2)
	s.expectNone("a worker that left after the restore", workers[1], 0, 1, 2)
}

// awaitStoreFollowed waits until all gateways have read the store's current state.
func (s *noticeSite) awaitStoreFollowed() {
	s.t.Helper()
	targets := s.Gateway(0).Dump().Targets
	if err := s.AddWorker(s.kind.Stream); err != nil {
		s.t.Fatal(err)
	}
	for g := range 3 {
		s.await("a gateway lists a new worker", func() bool { return s.Gateway(g).Dump().Targets > targets })
	}
}
