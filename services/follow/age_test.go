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

// Guards against copies that seem fresh because the transmission delay of heartbeats is not
// part of the age: no gateway would poll the store.
func TestAgeGrowsDespiteLateMessages(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) { testAges(t, late) })
	}
}

const (
	heartbeatInterval = 100 * time.Millisecond
	outageTime        = 10 * time.Second
	maxAgeError       = 300 * time.Millisecond // an answer of the store may be this old
)

func testAges(t *testing.T, late time.Duration) {
	var gateways [2]*Service
	var clocks [2]*clock.Fake
	var sent [2][]Versions
	for i := range gateways {
		clocks[i] = clock.NewFake()
		gateways[i] = newSyncedService(clocks[i])
	}
	for range int(outageTime / heartbeatInterval) {
		for i, h := range gateways {
			clocks[i].Advance(heartbeatInterval)
			sent[i] = append(sent[i], h.Versions())
		}
		for i, h := range gateways {
			if n := len(sent[1-i]) - 1 - int(late/heartbeatInterval); n >= 0 {
				h.ObservePeerVersions("peer", sent[1-i][n])
			}
		}
	}
	for _, h := range gateways {
		if age := h.Versions().TargetsAge; age < outageTime-maxAgeError {
			t.Errorf("copy from %v ago has age %v with messages %v late", outageTime, age, late)
		}
	}
}

// newSyncedService returns a service that has just read a list from the store.
func newSyncedService(c *clock.Fake) *Service {
	var t tomb.Tomb
	s := New(&t, log.New("test"), Options{Clock: c, Fleet: func() (bool, int) { return true, 2 }, OnChange: func() {}})
	s.applyTargets(5, func(time.Time) bool { return s.table.replace([]routing.Target{{ID: "a"}}, 5) })
	s.callSucceeded(s.watchTargets, c.Now(), 7_000_000)
	return s
}
