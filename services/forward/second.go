// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"madderway/models/result"
)

// outcomes counts how the requests of engines ended since the last line.
type outcomes struct {
	mu      sync.Mutex
	counts  map[string]int
	refused map[refusal]int // refused counts those that were refused at the entry.
}

// refusal is an account and why its requests are refused at the entry.
type refusal struct {
	account string
	reason  result.Code
}

// refusals sum up who was refused at the entry: the account and reason with the most
// requests, their number, and how many accounts were refused.
type refusals struct {
	refusal
	most     int
	accounts int
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

// noteRefused counts a request that was refused at the entry, and returns how many were
// since the last line.
func (o *outcomes) noteRefused(account string, reason result.Code) int {
	o.note(outcomeAtEntry)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = map[refusal]int{}
	}
	o.refused[refusal{account, reason}]++
	return o.counts[outcomeAtEntry]
}

// take returns what was counted and begins anew.
func (o *outcomes) take() (map[string]int, refusals) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts, sum, accounts := o.counts, refusals{}, map[string]bool{}
	for r, n := range o.refused {
		accounts[r.account] = true
		if n > sum.most || n == sum.most && r.account < sum.account {
			sum.refusal, sum.most = r, n
		}
	}
	sum.accounts = len(accounts)
	o.counts, o.refused = nil, nil
	return counts, sum
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
		counts, refused := s.outcomes.take()
		strain := s.opts.Guard.takeSecond()
		if len(counts) == 0 {
			continue
		}
		open, turnedAway := s.opts.Connections()
		values := append(strain, "streams", s.running.Load(), "connections", open, "turned_away_total", turnedAway)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			values = append(values, name, counts[name])
		}
		s.log.Info("Second of a gateway.", values...)
		if refused.most > 0 {
			s.log.Info("Refused at the entry.", "account", refused.account, "reason", refused.reason, "requests", refused.most, "accounts", refused.accounts)
		}
	}
}
