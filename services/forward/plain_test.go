// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/core/balance"
	"madderway/core/cell"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Guards against a change for deployments without a compact cache, and against a first attempt
// that is cut too late for a second one.
func TestPlainRequestsFollowLastResponsesWithCompactCache(t *testing.T) {
	const maxTokenBytes = 1 << 15
	engines := func(tokenBytes float64) *routing.Index {
		return routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "e", Engine: &routing.Engine{Transfer: &routing.Transfer{TokenBytes: tokenBytes}}}}})
	}
	targets := routing.NewTargetSet(0, routing.Target{ID: "a", Service: "p"})
	for name, c := range map[string]struct {
		on    bool
		index *routing.Index
		want  bool
	}{
		"compact":          {true, engines(maxTokenBytes), true},
		"large":            {true, engines(maxTokenBytes + 1), false},
		"switched off":     {false, engines(maxTokenBytes), false},
		"no configuration": {true, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake()
			s := New(log.New("forward"), Options{Clock: fake, PlainByRecent: c.on, Scheduling: cell.Scheduling{CompactTokenBytes: maxTokenBytes}})
			s.SetRouting(c.index, targets)
			route := &routing.Route{Repeat: routing.RepeatSafe, MaxAttempts: 2, Objective: 150 * time.Millisecond}
			j := &job{s: s, r: &Request{Route: route, Received: fake.Now(), Deadline: fake.Now().Add(time.Second)}, history: attempt.History{Route: route, Sent: 1}}
			p := &plainPlacement{j, s.balancer.Choose(fake.Now(), targets.ByService("p"), nil, balance.Limits{})}
			want := 80 * time.Millisecond // four times the usual latency
			if c.want {
				want = 110 * time.Millisecond // leaves twice the usual latency
			}
			if got := p.firstPartTimeout(); got != want {
				t.Errorf("cut after %v, want %v", got, want)
			}
			if got := j.sendRequest(p.target()).TrustKeepAlive; got != c.want {
				t.Errorf("trusts the keep-alive timeout: %v, want %v", got, c.want)
			}
		})
	}
}
