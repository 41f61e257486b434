// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import "testing"

// Guards against two overlapping faults that restart the same worker, of which the second finds the
// worker's address in use.
func TestWorkerIsRestartedOnce(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	old := s.worker(0)
	first, err := s.RestartWorker(old)
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.RestartWorker(old)
	if err != nil || second != first {
		t.Errorf("got %p, %v, want the worker that was restarted first, %p", second, err, first)
	}
}
