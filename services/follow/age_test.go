// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// The link of one gateway was full, so that its messages came seconds late. Each message told
// how old its sender's knowledge was when it was sent, and whoever got it took that for the
// age when it came: what was known grew younger by the way of each message, round after round.
// The store had turned away those that ask it all the time, and for eight seconds none of 17
// gateways thought that its own knowledge was old enough to ask:
//
//	2.59 front-8: Store lost. what="targets" …
//	10.73 front-8: Targets changed. revision=112 from="front-1" targets=41 leaving=3
//
// A target that had left at 4.98 s got a request at 8.73 s, and a version of 7.07 s was not in
// force at 10.29 s. Knowledge that nobody renews grows older everywhere as time passes, however
// late messages are.
func TestAgeGrowsDespiteLateMessages(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) { testAges(t, late) })
	}
}

const (
	heartbeatInterval = 100 * time.Millisecond // ageStep is how often each gateway tells the other.
	outageTime        = 10 * time.Second       // ageSpan is how long the store is silent.
	// maxAgeError is by how much an age may be wrong: the way of one answer of the store.
	maxAgeError = 300 * time.Millisecond
)

func testAges(t *testing.T, late time.Duration) {
	var gateways [2]*Service
	var clocks [2]*clock.Fake
	var told [2][]Versions
	for i := range gateways {
		clocks[i] = clock.NewFake()
		gateways[i] = newSyncedService(clocks[i])
	}
	for range int(outageTime / heartbeatInterval) {
		for i, h := range gateways {
			clocks[i].Advance(heartbeatInterval)
			told[i] = append(told[i], h.Versions())
		}
		for i, h := range gateways {
			if n := len(told[1-i]) - 1 - int(late/heartbeatInterval); n >= 0 {
				h.ObservePeerVersions("peer", told[1-i][n])
			}
		}
	}
	for _, h := range gateways {
		if age := h.Versions().TargetsAge; age < outageTime-maxAgeError {
			t.Errorf("knowledge of %v ago is taken for %v old, with messages %v late", outageTime, age, late)
		}
	}
}

// newSyncedService returns a service that has just been told a list by the store.
func newSyncedService(c *clock.Fake) *Service {
	var t tomb.Tomb
	s := New(&t, log.New("test"), Options{Clock: c, Fleet: func() (bool, int) { return true, 2 }, OnChange: func() {}})
	s.applyTargets(func(time.Time) bool { return s.table.replace([]routing.Target{{ID: "a"}}, 5) })
	s.callSucceeded(s.watchTargets, c.Now(), 7_000_000)
	return s
}
