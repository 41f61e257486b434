// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"time"
)

// AddWorker starts another model worker or plain worker.
func (s *Site) AddWorker(model bool) error { return s.AddWorkerOf(model, "") }

// AddWorkerOf starts another worker of a software version.
func (s *Site) AddWorkerOf(model bool, software string) error {
	return s.addWorker(model, software, FaultNone)
}

// addWorker starts another worker that has a fault from the beginning.
func (s *Site) addWorker(model bool, software string, fault Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	cfg := WorkerConfig{Service: plainService, Slots: 4, Queue: 8, Step: 10 * time.Millisecond}
	if model {
		cfg = WorkerConfig{Service: modelService, Slots: modelSlots, Queue: 16, Model: true, PrefillRate: 40_000, Step: 8 * time.Millisecond, CacheTokens: 40_000, CopyRate: copyRate, PeerAt: s.workerAt}
	}
	if s.opts.Slots > 0 {
		cfg.Slots = s.opts.Slots
	}
	cfg.Software, cfg.Fault, cfg.WorkOf = software, fault, s.workOf
	// Outgoing connections take ports of 127.0.0.1 only, so that a worker can restart at its address.
	cfg.Listen = s.hostAddress(workerHost, 0)
	cfg.Hall, cfg.OnCrash = fmt.Sprint("hall-", s.nextID%3), s.recordCrash
	w, err := StartWorker(fmt.Sprint("worker-", s.nextID), cfg, s.store, s.ledger, s.opts.Seed+uint64(s.nextID))
	if err == nil {
		s.workers = append(s.workers, w)
	}
	return err
}
