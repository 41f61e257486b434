// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A view that lacks more than 1/viewGapDivisor of the fleet, and more than minViewGap
	// members, is far behind: its member has just started or was on the smaller side of a
	// partition. It requests a full sync at most once per laggingSyncInterval.
	viewGapDivisor      = 8
	minViewGap          = 2
	laggingSyncInterval = 500 * time.Millisecond
	// After viewSettleTime without a change, a member requests a full sync on any
	// difference, at most once per settledSyncInterval. Before that, the difference may be
	// due to rumors in flight.
	viewSettleTime      = time.Second
	settledSyncInterval = time.Second
)

// View summarizes the members that are not dead, including the sender, so that members
// can compare their lists cheaply.
type View struct {
	Count  int
	Digest uint64 // XOR over the members
}

// viewSync holds the cached view of a list and the state of its synchronization.
type viewSync struct {
	view      View
	valid     bool // view is up to date
	changedAt time.Time
	askedAt   time.Time // last request for a full sync
	refutedAt time.Time // last preventive refutation, see answerDead
}

func (v *viewSync) invalidate(now time.Time) { v.valid, v.changedAt = false, now }

// view returns the summary of this list, from the cache if it is valid.
func (l *List) view() View {
	if l.sync.valid {
		return l.sync.view
	}
	v := View{Count: 1, Digest: digestOf(l.self)}
	for _, m := range l.members {
		if m.State != StateDead {
			v.Count++
			v.Digest ^= digestOf(m.Record)
		}
	}
	l.sync.view, l.sync.valid = v, true
	return v
}

func digestOf(r Record) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Incarnation)
	_, _ = d.WriteString(r.ID)
	return d.Sum64()
}

// sizesFarApart reports whether the member counts of two views differ so much that one of
// the members must have just started or been cut off.
func sizesFarApart(a, b View) bool {
	most, least := max(a.Count, b.Count), min(a.Count, b.Count)
	return most-least > max(minViewGap, most/viewGapDivisor)
}

// answerDead handles a heartbeat from a member recorded as dead: it sends the record back,
// which the member refutes with a higher epoch. After a partition the other side records
// this member as dead, too, so it raises its own epoch without waiting for that rumor.
func (l *List) answerDead(now time.Time, e HeartbeatSeen, dead Record) {
	if sizesFarApart(e.View, l.view()) && now.Sub(l.sync.refutedAt) >= viewSettleTime {
		l.sync.refutedAt = now
		l.self.Epoch++
	}
	l.actions = append(l.actions, SendHeartbeat{To: e.From.ID, From: l.self, Rumors: []Record{dead}, View: l.view()})
}

// compareViews requests a full sync if the sender knows many more members, or if the views
// still differ after this one has settled.
func (l *List) compareViews(now time.Time, e HeartbeatSeen) {
	if !l.cfg.EnableFullSync || e.View.Count == 0 {
		return
	}
	if l.changed {
		l.sync.invalidate(now)
	}
	mine := l.view()
	if e.View == mine {
		return
	}
	since := now.Sub(l.sync.askedAt)
	behind := e.View.Count > mine.Count && sizesFarApart(e.View, mine)
	differs := now.Sub(l.sync.changedAt) >= viewSettleTime && since >= settledSyncInterval
	if differs || behind && since >= laggingSyncInterval {
		l.sync.askedAt = now
		l.actions = append(l.actions, SendHeartbeat{To: e.From.ID, From: l.self, View: mine, RequestSync: true})
	}
}
