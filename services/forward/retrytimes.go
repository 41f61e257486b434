// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"math/rand/v2"
	"time"

	"madderway/models/routing"
)

// recordRetryTime records the time that a scheduler told an account to wait, for services whose
// returns are scheduled.
func (s *Service) recordRetryTime(service *routing.Service, account string, wait time.Duration) {
	if !s.opts.Scheduling.RulesFor(service).Returns {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryTimes.Record(s.opts.Clock.Now(), service.Name, account, wait)
}

// lastRetryTime returns the retry time of a request that this gateway refuses without asking a
// scheduler: what that told the account last, or else the given time.
func (s *Service) lastRetryTime(service *routing.Service, account string, unknown time.Duration) time.Duration {
	if !s.opts.Scheduling.RulesFor(service).Returns {
		return unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryTimes.Get(s.opts.Clock.Now(), service.Name, account, unknown, rand.Float64())
}
