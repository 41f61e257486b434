// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"sort"
	"time"
)

// sendHeartbeats sends a heartbeat to each monitor of this member and, once per
// ContactEvery, to the next member in rotation.
func (l *List) sendHeartbeats(now time.Time) {
	to := slices.Clone(l.monitors)
	if len(l.sorted) > 0 && !now.Before(l.nextContact) {
		l.nextContact = now.Add(l.cfg.ContactEvery)
		if contact := l.nextInRotation(); !slices.Contains(to, contact) {
			to = append(to, contact)
		}
	}
	rumors := l.selectRumors()
	for _, id := range to {
		l.actions = append(l.actions, SendHeartbeat{To: id, From: l.self, Rumors: rumors, View: l.view()})
	}
}

// nextInRotation returns the next member to contact. Each member starts with its successor, so that
// members that started together do not all contact the same one.
func (l *List) nextInRotation() string {
	own, _ := slices.BinarySearch(l.sorted, l.self.ID)
	contact := l.sorted[(own+l.contactIndex)%len(l.sorted)]
	l.contactIndex++
	return contact
}

func (l *List) broadcastHeartbeat() {
	for _, id := range l.sorted {
		l.actions = append(l.actions, SendHeartbeat{To: id, From: l.self, View: l.view()})
	}
}

// maxTransmissions bounds the heartbeats that carry the same rumor. Connections are
// reliable, and members that miss a rumor detect it by comparing views.
const maxTransmissions = 4

// selectRumors returns the pending records with the fewest transmissions.
func (l *List) selectRumors() []Record {
	if len(l.pendingRumors) == 0 {
		return nil
	}
	var pending []*memberState
	for id, m := range l.pendingRumors {
		if m.transmissions >= maxTransmissions {
			delete(l.pendingRumors, id)
		} else if m.Incarnation != 0 {
			pending = append(pending, m)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].transmissions != pending[j].transmissions {
			return pending[i].transmissions < pending[j].transmissions
		}
		return pending[i].ID < pending[j].ID
	})
	pending = pending[:min(len(pending), l.cfg.MaxRumors)]
	out := make([]Record, len(pending))
	for i, m := range pending {
		m.transmissions++
		out[i] = m.Record
	}
	return out
}

// FullSync returns a heartbeat with all known records, for a member on first contact or
// with a different view. It omits dead members if there are many: this member may be on
// the smaller side of a partition and wrong about them.
func (l *List) FullSync() SendHeartbeat {
	out := SendHeartbeat{From: l.self, View: l.view()}
	includeDead := len(l.members)-out.View.Count < max(minViewGap, len(l.members)/viewGapDivisor)
	for _, id := range l.sorted {
		m := l.members[id]
		if m.Incarnation != 0 && (m.State != StateDead || includeDead) && len(out.Rumors) < maxSyncRecords {
			out.Rumors = append(out.Rumors, m.Record)
		}
	}
	return out
}

// syncSample is the number of records sent in place of all of them if there were too many full
// syncs lately. It is enough for a new member to have monitors and to hear of the others.
const syncSample = 64

// answerSync returns the full sync that a member asks for, or a sample if too many records were
// sent lately: when a whole fleet starts, all its members meet the same few seeds.
func (l *List) answerSync(now time.Time, to string) SendHeartbeat {
	out := SendHeartbeat{}
	if l.sync.takeRecords(now, len(l.sorted), l.cfg.SyncRecordsPerSecond) {
		out = l.FullSync()
	} else {
		out = SendHeartbeat{From: l.self, Rumors: l.sample(to), View: l.view()}
	}
	out.To = to
	return out
}

// sample returns the records of some members that are not dead, different ones for each receiver.
func (l *List) sample(to string) []Record {
	var out []Record
	first := int(digestOf(Record{ID: to}) % uint64(max(len(l.sorted), 1)))
	for i := range l.sorted {
		m := l.members[l.sorted[(first+i)%len(l.sorted)]]
		if m.Incarnation != 0 && m.State != StateDead {
			out = append(out, m.Record)
		}
		if len(out) == syncSample {
			break
		}
	}
	return out
}

// maxSyncRecords bounds the records in a full sync and thereby the size of its message.
const maxSyncRecords = 4096

// GossipPeers returns the live members that this one exchanges heartbeats with: its
// monitors and the members it monitors, also those that are leaving, as they still serve.
// Gossip along these links reaches the whole fleet in O(log n) hops.
func (l *List) GossipPeers(now time.Time) []string {
	l.updateMonitors(now)
	var ids []string
	for _, id := range l.monitors {
		if l.members[id].State == StateAlive {
			ids = append(ids, id)
		}
	}
	for id := range l.monitored {
		if state := l.members[id].State; (state == StateAlive || state == StateLeaving) && !slices.Contains(l.monitors, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
