// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peerwire

import (
	"testing"
	"time"

	"madderway/core/member"
	"madderway/modules/wire"
)

func TestLazyMessagesShareAFrame(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	box := NewOutbox(20 * time.Millisecond)
	sent := map[string]int{}
	flush := func(after time.Duration) {
		box.Flush(now.Add(after), func(to string, f *wire.Frame) { sent[to] += len(f.Demands) })
	}
	add := func(to string, lazy bool) {
		f := box.Frame(now, to, lazy)
		f.Demands = append(f.Demands, &wire.Demand{})
	}
	add("a", true)
	add("b", true)
	add("b", false)
	flush(0)
	if sent["a"] != 0 || sent["b"] != 2 || !box.Pending() {
		t.Errorf("sent %v at once, want both messages to b and none to a", sent)
	}
	flush(20 * time.Millisecond)
	if sent["a"] != 1 || box.Pending() {
		t.Errorf("sent %v after the delay, want one message to a", sent)
	}
}

func TestMemberRecordsRoundTrip(t *testing.T) {
	r := member.Record{ID: "g", Incarnation: 7, Epoch: 2, State: member.StateSuspect, Address: "a", DataHall: "h", Region: "r"}
	if got, ok := MemberFromWire(MemberToWire(r)); !ok || got != r {
		t.Errorf("record %+v became %+v", r, got)
	}
	for _, bad := range []*wire.Member{nil, {}, {Id: "g"}, {Id: "g", State: 99}, {Id: "g", State: 257}, {State: 1}} {
		if _, ok := MemberFromWire(bad); ok {
			t.Errorf("record %v was accepted", bad)
		}
	}
	if got := MembersFromWire([]*wire.Member{MemberToWire(r), {}, nil}); len(got) != 1 {
		t.Errorf("MembersFromWire = %+v, want one record", got)
	}
}

// A pending heartbeat must not be replaced by the next one to the same member.
func TestPendingHeartbeatsAreMerged(t *testing.T) {
	r := member.Record{ID: "g", Incarnation: 1, State: member.StateAlive}
	other := member.Record{ID: "h", Incarnation: 1, State: member.StateAlive}
	f := &wire.Frame{}
	AddHeartbeat(f, member.SendHeartbeat{From: r, Rumors: []member.Record{other}, RequestSync: true})
	AddHeartbeat(f, member.SendHeartbeat{From: r, View: member.View{Count: 2, Digest: 9}, Probe: true})
	got, ok := HeartbeatFromWire("g", f.Heartbeat)
	if !ok || len(got.Rumors) != 1 || !got.RequestSync || !got.Probe || got.View.Count != 2 {
		t.Errorf("merged heartbeat = %+v, want the rumor, both flags and the last view", got)
	}
	if _, ok := HeartbeatFromWire("h", f.Heartbeat); ok {
		t.Error("a heartbeat with another sender was accepted")
	}
}
