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

func applyCold(t *targetTable, now time.Time, revision routing.Revision, remaining time.Duration) bool {
	changes := []TargetChange{{ID: "a", Revision: revision, Target: routing.Target{ID: "a", ColdFor: remaining}}}
	return t.apply(t.toLocalChanges(now, changes))
}

// Guards against a publication for each report of a counting-down cold period, and against a
// missed start or early end of one.
func TestColdCountdownIsNoChange(t *testing.T) {
	table, now := newTargetTable(), coldStartAt
	if !applyCold(table, now, 1, 3*time.Second) {
		t.Fatal("new target is not a change")
	}
	if until := table.known["a"].Target.ColdUntil; !until.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("cold until %v, want 3 s from the report", until)
	}
	if applyCold(table, now.Add(1300*time.Millisecond), 2, 1800*time.Millisecond) {
		t.Error("countdown is a change")
	}
	if applyCold(table, now.Add(3200*time.Millisecond), 3, 0) {
		t.Error("report without a cold period after its end is a change")
	}
	if !applyCold(table, now.Add(9*time.Second), 4, 3*time.Second) {
		t.Error("new cold period is not a change")
	}
	now = now.Add(10 * time.Second)
	changed := applyCold(table, now, 5, 0)
	if target := table.known["a"].get(); !changed || target.Cold(now) {
		t.Error("target is cold after it reported the end of the cold period")
	}
}

// Guards against a cold period that is wrong at a peer with another clock.
func TestPeersReceiveRemainingColdTime(t *testing.T) {
	mine, theirs, now := newTargetTable(), newTargetTable(), coldStartAt
	applyCold(mine, now, 1, 3*time.Second)
	content, err := json.Marshal(setColdFor(now.Add(time.Second), mine.since(0)))
	var state targetState
	if err != nil || json.Unmarshal(content, &state) != nil {
		t.Fatal(err)
	}
	peerNow := now.Add(time.Hour)
	state.Changes = theirs.toLocalChanges(peerNow, state.Changes)
	theirs.merge(state)
	if until := theirs.known["a"].Target.ColdUntil; !until.Equal(peerNow.Add(2 * time.Second)) {
		t.Errorf("cold until %v at the peer, fetched at %v, want 2 s later", until, peerNow)
	}
	if mine.known["a"].Target.ColdFor != 0 {
		t.Error("sending a state changed the table")
	}
}
