// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
)

func TestPrefillTimeSurvivesTargetRemoval(t *testing.T) {
	c := New()
	targets := []TargetInfo{{ID: "a", Slots: 1, CacheTokens: 500_000}, {ID: "b", Slots: 1, CacheTokens: 500_000}}
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: targets})
	for id := RequestID(1); id <= 2; id++ {
		c.Step(epoch, longAsk(id))
		c.Step(epoch.Add(200*time.Millisecond), BeganSeen{"e", id})
	}
	read := c.Counts(epoch.Add(200 * time.Millisecond)).Reading
	if read < 350*time.Millisecond || read > 450*time.Millisecond {
		t.Errorf("prefill time %v, want about 400ms for 16,000 tokens", read)
	}
	now := epoch.Add(time.Second)
	if l := c.Load(now); l.Targets != 2 || l.Running != 2 {
		t.Errorf("load %+v, want 2 targets and 2 running", l)
	}
	c.Step(now, EndedSeen{"e", 1, batch.OutcomeDone})
	c.Step(now, EndedSeen{"e", 2, batch.OutcomeDone})
	c.Step(now, TargetsSeen{TokensPerSecond: 40_000, Targets: targets[:1]})
	if got := c.Counts(epoch.Add(200 * time.Millisecond)).Reading; got != read {
		t.Errorf("prefill time %v after a target was removed, %v before", got, read)
	}
	if n := c.Counts(now); n.AskedTokens != 16_000 || n.PlacedTokens != 16_000 || n.Read != 16_000 {
		t.Errorf("counts %+v, want 16000 tokens asked, placed and prefilled", n)
	}
}

// Guards against reporting busy targets as idle while their first events do not arrive.
func TestPrefillIsCountedWithoutFirstEvents(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "a", Slots: 64, CacheTokens: 500_000}}})
	for i := range 10 {
		c.Step(epoch.Add(time.Duration(i)*200*time.Millisecond), longAsk(RequestID(i)))
	}
	if got := c.Counts(epoch.Add(2 * time.Second)).Reading; got < 1900*time.Millisecond || got > 2*time.Second {
		t.Errorf("prefill time %v, want nearly 2s", got)
	}
}
