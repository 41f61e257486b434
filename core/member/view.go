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

// viewSync holds the view of a list and the state of its synchronization.
type viewSync struct {
	others    View // without this member
	changedAt time.Time
	askedAt   time.Time // last request for a full sync
	refutedAt time.Time // last preventive refutation, see answerDead
	// Number of records that full syncs may still send, as of allowedAt.
	allowed   float64
	allowedAt time.Time
}

// takeRecords reports whether a full sync may send n records, and counts them. A second's worth may
// be sent at once.
func (v *viewSync) takeRecords(now time.Time, n, perSecond int) bool {
	if perSecond <= 0 {
		return true
	}
	if v.allowedAt.IsZero() {
		v.allowed = float64(perSecond)
	} else {
		v.allowed = min(v.allowed+now.Sub(v.allowedAt).Seconds()*float64(perSecond), float64(perSecond))
	}
	v.allowedAt = now
	if v.allowed < float64(min(n, perSecond)) {
		return false
	}
	v.allowed -= float64(n)
	return true
}

// view returns the summary of this list.
func (l *List) view() View {
	return View{Count: l.sync.others.Count + 1, Digest: l.sync.others.Digest ^ digestOf(l.self)}
}

// include and exclude add a member to the view or take it out, before and after its record changes.
func (v *viewSync) include(m *memberState) {
	if m.State != StateDead {
		v.others.Count++
		v.others.Digest ^= digestOf(m.Record)
	}
}

func (v *viewSync) exclude(m *memberState) {
	if m.State != StateDead {
		v.others.Count--
		v.others.Digest ^= digestOf(m.Record)
	}
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
		l.sync.changedAt = now
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
