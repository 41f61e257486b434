// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"testing"
	"time"

	"madderway/models/routing"
)

var coldStartAt = time.Unix(1_700_000_000, 0)

func applyCold(t *targetTable, now time.Time, revision routing.Revision, left time.Duration) bool {
	changes := []TargetChange{{ID: "a", Revision: revision, Target: routing.Target{ID: "a", ColdFor: left}}}
	return t.apply(t.toLocalChanges(now, changes))
}

// A target that counts its cold period down changes nothing; one that turns cold again,
// or is warm before its time, does.
func TestColdCountdownIsNoChange(t *testing.T) {
	table, now := newTargetTable(), coldStartAt
	if !applyCold(table, now, 1, 3*time.Second) {
		t.Fatal("a new target is no change")
	}
	if until := table.known["a"].Target.ColdUntil; !until.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("cold until %v", until)
	}
	if applyCold(table, now.Add(1300*time.Millisecond), 2, 1800*time.Millisecond) {
		t.Error("counting down is a change")
	}
	if applyCold(table, now.Add(3200*time.Millisecond), 3, 0) {
		t.Error("the end of a cold period that is over is a change")
	}
	if !applyCold(table, now.Add(9*time.Second), 4, 3*time.Second) {
		t.Error("turning cold again is no change")
	}
	now = now.Add(10 * time.Second)
	changed := applyCold(table, now, 5, 0)
	if target := table.known["a"].Target; !changed || target.Cold(now) {
		t.Error("a target that says it is warm is cold")
	}
}

// A peer is told how much is left of a cold period, since its clock may show another time.
func TestPeersReceiveRemainingColdTime(t *testing.T) {
	mine, theirs, now := newTargetTable(), newTargetTable(), coldStartAt
	applyCold(mine, now, 1, 3*time.Second)
	content, err := json.Marshal(setColdFor(now.Add(time.Second), mine.since(0)))
	var news targetState
	if err != nil || json.Unmarshal(content, &news) != nil {
		t.Fatal(err)
	}
	there := now.Add(time.Hour)
	news.Changes = theirs.toLocalChanges(there, news.Changes)
	theirs.merge(news)
	if until := theirs.known["a"].Target.ColdUntil; !until.Equal(there.Add(2 * time.Second)) {
		t.Errorf("cold until %v there, asked at %v", until, there)
	}
	if mine.known["a"].Target.ColdFor != 0 {
		t.Error("telling a peer changed the table")
	}
}
