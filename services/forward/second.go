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

// outcomeCounts counts how the requests of engines ended since the last line.
type outcomeCounts struct {
	mu       sync.Mutex
	counts   map[string]int
	refused  map[refusalKey]volume // refused are those that were refused at the entry.
	admitted map[string]volume     // taken are those of each account that were not.
}

// volume is a number of requests and the tokens of their prompts.
type volume struct{ requests, tokens int }

func (v volume) plus(tokens int) volume { return volume{v.requests + 1, v.tokens + tokens} }

// refusalKey is an account and why its requests are refused at the entry.
type refusalKey struct {
	account string
	reason  result.Code
}

// refusalSummary sum up who was refused at the entry: the account and reason with the most
// requests, their volume, what was taken of that account, and how many accounts were refused.
type refusalSummary struct {
	refusalKey
	most     volume
	admitted volume
	accounts int
}

// Names of the outcomes of a line; failures go by the name of their code.
const (
	outcomeInTime  = "in_time"
	outcomeLate    = "late"
	outcomeGone    = "gone"
	outcomeAborted = "aborted"
	outcomeRefused = "refused_at_entry"
	// outcomeHandedOver is that of requests which another gateway has served.
	outcomeHandedOver = "handed_over"
)

// logInterval is how often a line is written.
const logInterval = time.Second

func (o *outcomeCounts) count(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[name]++
}

// countRefused counts a request that was refused at the entry, and returns how many were
// since the last line.
func (o *outcomeCounts) countRefused(account string, reason result.Code, tokens int) int {
	o.count(outcomeRefused)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = map[refusalKey]volume{}
	}
	key := refusalKey{account, reason}
	o.refused[key] = o.refused[key].plus(tokens)
	return o.counts[outcomeRefused]
}

// countAdmitted counts a request that was not refused at the entry.
func (o *outcomeCounts) countAdmitted(account string, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.admitted == nil {
		o.admitted = map[string]volume{}
	}
	o.admitted[account] = o.admitted[account].plus(tokens)
}

// reset returns what was counted and begins anew.
func (o *outcomeCounts) reset() (map[string]int, refusalSummary) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts, sum, accounts := o.counts, refusalSummary{}, map[string]bool{}
	for r, v := range o.refused {
		accounts[r.account] = true
		if v.requests > sum.most.requests || v.requests == sum.most.requests && r.account < sum.account {
			sum.refusalKey, sum.most = r, v
		}
	}
	sum.accounts, sum.admitted = len(accounts), o.admitted[sum.account]
	o.counts, o.refused, o.admitted = nil, nil, nil
	return counts, sum
}

// LogSeconds writes, each second until stop is closed, how the requests of engines
// ended at this gateway.
func (s *Service) LogSeconds(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.opts.Clock.After(logInterval):
		}
		counts, refused := s.outcomes.reset()
		strain := s.opts.Guard.resetStats()
		if len(counts) == 0 {
			continue
		}
		open, turnedAway := s.opts.Connections()
		values := append(strain, "streams", s.InFlight(), "connections", open, "turned_away_total", turnedAway)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			values = append(values, name, counts[name])
		}
		s.log.Info("Second of a gateway.", values...)
		if refused.most.requests > 0 {
			s.log.Info("Refused at the entry.", "account", refused.account, "reason", refused.reason, "requests", refused.most.requests, "tokens", refused.most.tokens,
				"taken", refused.admitted.requests, "taken_tokens", refused.admitted.tokens, "accounts", refused.accounts)
		}
	}
}
