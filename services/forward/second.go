// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// outcomes counts how the requests of engines ended since the last line.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

// Names of the outcomes of a line; failures go by the name of their code.
const (
	outcomeInTime  = "in_time"
	outcomeLate    = "late"
	outcomeGone    = "gone"
	outcomeAborted = "aborted"
	outcomeAtEntry = "refused_at_entry"
)

// secondEvery is how often a line is written.
const secondEvery = time.Second

func (o *outcomes) note(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[name]++
}

// take returns what was counted and begins anew.
func (o *outcomes) take() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := o.counts
	o.counts = nil
	return counts
}

// TellSeconds writes, each second until stop is closed, how the requests of engines
// ended at this gateway.
func (s *Service) TellSeconds(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.opts.Clock.After(secondEvery):
		}
		counts := s.outcomes.take()
		if len(counts) == 0 {
			continue
		}
		var values []any
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			values = append(values, name, counts[name])
		}
		s.log.Info("Second of a gateway.", values...)
	}
}
