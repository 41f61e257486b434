// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"sort"
	"time"
)

// sendHeartbeats sends heartbeats to this member's monitors and now and then to another one,
// the suspects and dead included so that they can refute and rejoin.
func (l *List) sendHeartbeats(now time.Time) {
	to := slices.Clone(l.monitors)
	if len(l.sorted) > 0 && !now.Before(l.nextContact) {
		l.nextContact = now.Add(l.cfg.ContactEvery)
		l.contactIndex++
		if contact := l.sorted[l.contactIndex%len(l.sorted)]; !slices.Contains(to, contact) {
			to = append(to, contact)
		}
	}
	rumors := l.selectRumors()
	for _, id := range to {
		l.actions = append(l.actions, SendHeartbeat{To: id, From: l.self, Rumors: rumors, View: l.view()})
	}
}

func (l *List) broadcastHeartbeat() {
	for _, id := range l.sorted {
		l.actions = append(l.actions, SendHeartbeat{To: id, From: l.self, View: l.view()})
	}
}

// maxTransmissions is in how many heartbeats a record is told on. They go to the same
// monitors over connections, so that more would be needed only where some of these
// were lost; who still lacks a record notices that views differ.
const maxTransmissions = 4

// selectRumors picks the records that were told on the least.
func (l *List) selectRumors() []Record {
	if len(l.pendingRumors) == 0 {
		return nil
	}
	var news []*entry
	for id, m := range l.pendingRumors {
		if m.transmissions >= maxTransmissions {
			delete(l.pendingRumors, id)
		} else if m.Incarnation != 0 {
			news = append(news, m)
		}
	}
	sort.Slice(news, func(i, j int) bool {
		if news[i].transmissions != news[j].transmissions {
			return news[i].transmissions < news[j].transmissions
		}
		return news[i].ID < news[j].ID
	})
	news = news[:min(len(news), l.cfg.MaxRumors)]
	out := make([]Record, len(news))
	for i, m := range news {
		m.transmissions++
		out[i] = m.Record
	}
	return out
}

// FullSync returns a heartbeat that tells all that is known, for members that
// have just met or whose views differ. The dead are left out where they are many: this
// member may have been cut off, and others would take its view for the truth.
func (l *List) FullSync() SendHeartbeat {
	out := SendHeartbeat{From: l.self, View: l.view()}
	telling := len(l.members)-out.View.Count < max(minViewGap, len(l.members)/viewGapDivisor)
	for _, id := range l.sorted {
		m := l.members[id]
		if m.Incarnation != 0 && (m.State != StateDead || telling) && len(out.Rumors) < maxSyncRecords {
			out.Rumors = append(out.Rumors, m.Record)
		}
	}
	return out
}

// maxSyncRecords bounds the records of a greeting; each takes some 80 bytes.
const maxSyncRecords = 4096

// GossipPeers returns the live members that this one exchanges heartbeats with: its
// monitors and those that it watches. What each tells these, all hear of within a
// number of steps that grows with the logarithm of the fleet.
func (l *List) GossipPeers(now time.Time) []string {
	l.updateMonitors(now)
	var ids []string
	for _, id := range l.monitors {
		if l.members[id].State == StateAlive {
			ids = append(ids, id)
		}
	}
	for id := range l.monitored {
		if l.members[id].State == StateAlive && !slices.Contains(l.monitors, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
