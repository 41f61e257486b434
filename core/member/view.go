// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// viewGapDivisor is the part of the fleet (one in so many) that a member must lack to
	// ask at once for all that another one knows, at most once in askSoon: a fleet that
	// has just started, or the smaller side of a partition.
	viewGapDivisor      = 8
	minViewGap          = 2
	laggingSyncInterval = 500 * time.Millisecond
	// viewSettleTime is how long a view must not have changed before any difference is a
	// reason to ask, at most once in askLater: changes under way make views differ.
	viewSettleTime      = time.Second
	settledSyncInterval = time.Second
)

// View sums up the members that are not dead, the sender included.
type View struct {
	Count  int
	Digest uint64 // Digest does not depend on the order of the members.
}

// viewSync is what a list needs to compare its view with those of others.
type viewSync struct {
	view      View
	valid     bool // known tells that view holds.
	changedAt time.Time
	askedAt   time.Time
	refutedAt time.Time // refutedAt is when this member refuted its death unasked.
}

func (v *viewSync) invalidate(now time.Time) { v.valid, v.changedAt = false, now }

// view returns whom this member knows.
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

// sizesFarApart tells whether two members know so different numbers of others that one of
// them has just started or was cut off.
func sizesFarApart(a, b View) bool {
	most, least := max(a.Count, b.Count), min(a.Count, b.Count)
	return most-least > max(minViewGap, most/viewGapDivisor)
}

// answerDead answers a member that is held for dead and has been heard. It is told so,
// and refutes that with a higher epoch. Where it was cut off with others, they take
// this member for dead as well, and it refutes that before it hears of it.
func (l *List) answerDead(now time.Time, e HeartbeatSeen, dead Record) {
	if sizesFarApart(e.View, l.view()) && now.Sub(l.sync.refutedAt) >= viewSettleTime {
		l.sync.refutedAt = now
		l.self.Epoch++
	}
	l.actions = append(l.actions, SendHeartbeat{To: e.From.ID, From: l.self, Rumors: []Record{dead}, View: l.view()})
}

// compareViews asks a member for all that it knows where it knows of many more, or
// where the views have differed for long.
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
