// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"time"

	"madderway/core/member"
	"madderway/core/place"
	"madderway/core/quarantine"
	"madderway/modules/wire"
)

// recordsSettled is how long a table must not have changed before another digest is a
// reason to send it: records that are on their way make digests differ. It is also the
// least time between two tables to the same gateway.
const recordsSettled = time.Second

// recordsAgain is how long the same tables are not sent once more to a gateway whose digest
// still differs.
const recordsAgain = 15 * time.Second

// recordsExpire is how often what is over is looked for; records are kept for minutes.
const recordsExpire = 10 * time.Second

// recordsSent is what a gateway was sent last.
type recordsSent struct {
	at           time.Time
	mine, theirs uint64 // the digests at that time
}

// recordIn is a record to tell other gateways of.
type recordIn struct{ record quarantine.Record }

func (recordIn) isInput() {}

// TellRecord tells other gateways of a request under which targets have ended: all of them
// where several have, a few that are to count where one has.
func (l *Loop) TellRecord(r quarantine.Record) { l.put(recordIn{r}) }

func (l *Loop) tellRecord(now time.Time, r quarantine.Record, except string) {
	for _, id := range quarantine.Audience(r, l.members.Nodes(), l.members.Near(now)) {
		if id != except && id != l.opts.Self.ID {
			f := l.out.Frame(now, id, false)
			f.RequestRecords = append(f.RequestRecords, recordToWire(now, r))
		}
	}
}

// takeRecords takes what another gateway tells of requests, and tells on what is new.
func (l *Loop) takeRecords(now time.Time, peer string, f *wire.Frame) {
	var records []quarantine.Record
	for _, r := range f.RequestRecords {
		if record, ok := recordFromWire(now, r); ok {
			records = append(records, record)
		}
	}
	for _, r := range l.opts.Requests.Merge(peer, records, l.keepsFirst) {
		l.tellRecord(now, r, peer)
	}
	if f.RequestRecordsAsk {
		l.sendRecords(now, peer, false)
	}
}

// keepsFirst tells whether this gateway is the first to keep a record of a request.
func (l *Loop) keepsFirst(f quarantine.Fingerprint) bool {
	return slices.Contains(place.Top(l.members.Nodes(), string(f[:]), 1), l.opts.Self.ID)
}

// expireRecords forgets records that are over.
func (l *Loop) expireRecords(now time.Time) {
	if now.Sub(l.recordsExpired) < recordsExpire {
		return
	}
	l.recordsExpired = now
	l.opts.Requests.Expire(l.keepsFirst)
}

// compareRecords sends a gateway all records where it knows others: one that has started,
// or was cut off, learns in one exchange what the fleet knows.
func (l *Loop) compareRecords(now time.Time, hb member.HeartbeatSeen, theirs uint64) {
	mine, age := l.opts.Requests.Digest()
	if mine == theirs || mine != 0 && age < recordsSettled {
		return
	}
	last, pause := l.recordsSent[hb.From.ID], recordsSettled
	if last.mine == mine && last.theirs == theirs {
		pause = recordsAgain
	}
	if now.Sub(last.at) < pause {
		return
	}
	l.recordsSent[hb.From.ID] = recordsSent{now, mine, theirs}
	l.sendRecords(now, hb.From.ID, true)
}

func (l *Loop) sendRecords(now time.Time, to string, ask bool) {
	records := l.opts.Requests.Shared()
	if len(records) == 0 && !ask {
		return
	}
	f := l.out.Frame(now, to, false)
	f.RequestRecordsAsk = f.RequestRecordsAsk || ask
	for _, r := range records {
		f.RequestRecords = append(f.RequestRecords, recordToWire(now, r))
	}
}

func recordToWire(now time.Time, r quarantine.Record) *wire.RequestRecord {
	out := &wire.RequestRecord{Request: r.Request[:], Outline: r.Outline, Account: r.Account}
	for _, d := range r.Deaths {
		age := max(now.Sub(d.At), 0)
		out.Deaths = append(out.Deaths, &wire.TargetDeath{Target: d.Target, AgeMs: uint32(age.Milliseconds()), Forgiven: d.Forgiven})
	}
	return out
}

// recordFromWire reads a record; it reports false where that is not whole.
func recordFromWire(now time.Time, r *wire.RequestRecord) (quarantine.Record, bool) {
	out := quarantine.Record{Outline: r.Outline, Account: r.Account}
	if copy(out.Request[:], r.Request) != len(out.Request) || len(r.Request) != len(out.Request) {
		return out, false
	}
	for _, d := range r.Deaths {
		at := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
		out.Deaths = append(out.Deaths, quarantine.Death{Target: d.GetTarget(), At: at, Forgiven: d.GetForgiven()})
	}
	return out, true
}
