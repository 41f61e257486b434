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

// outcomeCounts count the outcomes of requests to engines since the last log line.
type outcomeCounts struct {
	mu       sync.Mutex
	counts   map[string]int
	refused  map[refusalKey]volume // refused before the body was read
	admitted map[string]volume     // not refused before the body was read, by account
}

// volume is a number of requests and of prompt tokens.
type volume struct{ requests, tokens int }

func (v volume) plus(tokens int) volume { return volume{v.requests + 1, v.tokens + tokens} }

type refusalKey struct {
	account string
	reason  result.Code
}

// refusalSummary describes the early refusals of a second by the account and reason with the
// most requests.
type refusalSummary struct {
	refusalKey
	most     volume // refused requests of the account for the reason
	admitted volume // admitted requests of the account
	accounts int    // number of accounts with refused requests
}

// Outcomes in the log line; refusals and failures have the name of their result code.
const (
	outcomeInTime   = "in_time"
	outcomeLate     = "late"
	outcomeCanceled = "gone"
	outcomeAborted  = "aborted"
	outcomeRefused  = "refused_at_entry"
	// Requests that another gateway served.
	outcomeHandedOver = "handed_over"
)

const logInterval = time.Second

func (o *outcomeCounts) count(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[name]++
}

// countRefused counts an early refusal, and returns their number since the last log line.
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

// countAdmitted counts a request that was not refused early.
func (o *outcomeCounts) countAdmitted(account string, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.admitted == nil {
		o.admitted = map[string]volume{}
	}
	o.admitted[account] = o.admitted[account].plus(tokens)
}

// reset returns the counts and sets them to zero.
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

// LogStats logs the outcomes of requests to engines every second until stop is closed.
func (s *Service) LogStats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.opts.Clock.After(logInterval):
		}
		counts, refused := s.outcomes.reset()
		guardValues := s.opts.Guard.resetStats()
		if len(counts) == 0 {
			continue
		}
		open, turnedAway := s.opts.Connections()
		values := append(guardValues, "streams", s.InFlight(), "connections", open, "turned_away_total", turnedAway)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			values = append(values, name, counts[name])
		}
		s.log.Info("Gateway statistics.", values...)
		s.log.Info("Target connection statistics.", s.opts.TargetConnections()...)
		if refused.most.requests > 0 {
			s.log.Info("Early refusal statistics.", "account", refused.account, "reason", refused.reason, "requests", refused.most.requests, "tokens", refused.most.tokens,
				"admitted", refused.admitted.requests, "admitted_tokens", refused.admitted.tokens, "accounts", refused.accounts)
		}
	}
}
