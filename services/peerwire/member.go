// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peerwire

import (
	"madderway/core/member"
	"madderway/modules/wire"
)

// MemberToWire encodes a member's record.
func MemberToWire(r member.Record) *wire.Member {
	return &wire.Member{
		Id: r.ID, Incarnation: r.Incarnation, Epoch: r.Epoch, State: uint32(r.State),
		Address: r.Address, DataHall: r.DataHall, Region: r.Region, Strength: r.Strength,
	}
}

// MemberFromWire decodes a record; it returns false if the record is invalid.
func MemberFromWire(m *wire.Member) (member.Record, bool) {
	state := member.State(m.GetState())
	if m.GetId() == "" || m.GetState() > uint32(member.StateDead) || state < member.StateAlive {
		return member.Record{}, false
	}
	return member.Record{
		ID: m.Id, Incarnation: m.Incarnation, Epoch: m.Epoch, State: state,
		Address: m.Address, DataHall: m.DataHall, Region: m.Region, Strength: m.Strength,
	}, true
}

// MembersFromWire decodes records and skips invalid ones.
func MembersFromWire(ms []*wire.Member) []member.Record {
	var out []member.Record
	for _, m := range ms {
		if r, ok := MemberFromWire(m); ok {
			out = append(out, r)
		}
	}
	return out
}

// AddHeartbeat adds a heartbeat to a pending frame and returns it. A heartbeat that is pending
// already keeps its rumors and flags.
func AddHeartbeat(f *wire.Frame, a member.SendHeartbeat) *wire.Heartbeat {
	hb := f.Heartbeat
	if hb == nil {
		hb = &wire.Heartbeat{}
		f.Heartbeat = hb
	}
	hb.From = MemberToWire(a.From)
	hb.ViewCount, hb.ViewDigest = uint32(a.View.Count), a.View.Digest
	hb.Ask = hb.Ask || a.RequestSync
	hb.Probe = hb.Probe || a.Probe
	for _, r := range a.Rumors {
		hb.Rumors = append(hb.Rumors, MemberToWire(r))
	}
	return hb
}

// HeartbeatFromWire decodes a heartbeat. It returns false if its sender is not the peer that it came
// from.
func HeartbeatFromWire(peer string, hb *wire.Heartbeat) (member.HeartbeatSeen, bool) {
	from, ok := MemberFromWire(hb.From)
	if !ok || from.ID != peer {
		return member.HeartbeatSeen{}, false
	}
	return member.HeartbeatSeen{
		From: from, Rumors: MembersFromWire(hb.Rumors), View: member.View{Count: int(hb.ViewCount), Digest: hb.ViewDigest},
		RequestSync: hb.Ask, Probe: hb.Probe,
	}, true
}
