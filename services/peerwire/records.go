// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peerwire

import (
	"slices"
	"time"

	"madderway/core/member"
	"madderway/core/place"
	core "madderway/core/quarantine"
	"madderway/modules/wire"
	"madderway/services/quarantine"
)

const (
	// Digests may differ only because new records are still on their way, so all records are sent
	// no sooner than this after the last change. Also the least time between two sends to a peer.
	recordsSettleTime = time.Second
	// Least time between two sends while neither digest has changed.
	recordsResendInterval = 15 * time.Second
	recordsExpiryInterval = 10 * time.Second
)

// Records exchanges quarantine records of requests with peers. A new record is gossiped at once by
// Share and Receive. Heartbeats carry a digest of the records; where it differs, Compare sends all
// of them and asks for the peer's, which repairs what gossip has missed. It is not safe for
// concurrent use; the loop that owns members and outbox calls it.
type Records struct {
	self       string
	table      *quarantine.Service
	members    *member.List
	out        *Outbox
	sent       map[string]sentRecords // last send of all records, by peer
	lastExpiry time.Time
}

// sentRecords notes when a peer was last sent all records, and by which digests.
type sentRecords struct {
	at            time.Time
	local, remote uint64
}

// NewRecords returns the record exchange of the process with ID self.
func NewRecords(self string, table *quarantine.Service, members *member.List, out *Outbox) *Records {
	return &Records{self: self, table: table, members: members, out: out, sent: map[string]sentRecords{}}
}

// Share sends a new or changed record to the peers that are to have it, except the one that it
// came from.
func (x *Records) Share(now time.Time, r core.Record, except string) {
	for _, id := range core.Recipients(r, x.members.Nodes(), x.members.GossipPeers(now)) {
		if id != except && id != x.self {
			f := x.out.Frame(now, id, false)
			f.RequestRecords = append(f.RequestRecords, recordToWire(now, r))
		}
	}
}

// SharePart sends news of a prompt part to the peers that are to have it. from is the peer that it
// came from, or empty.
func (x *Records) SharePart(now time.Time, n core.PartNews, from string) {
	for _, id := range n.Recipients(x.self, from, x.members.Nodes(), x.members.GossipPeers(now)) {
		f := x.out.Frame(now, id, false)
		f.PromptPartRecords = append(f.PromptPartRecords, partToWire(now, n.Record))
	}
}

// Receive merges the records in a peer's frame, forwards those that are new, and sends all records
// if the peer asks for them.
func (x *Records) Receive(now time.Time, peer string, f *wire.Frame) {
	var records []core.Record
	for _, r := range f.RequestRecords {
		if record, ok := recordFromWire(now, r); ok {
			records = append(records, record)
		}
	}
	for _, r := range x.table.Merge(peer, records, x.ownsRecord) {
		x.Share(now, r, peer)
	}
	parts := make([]core.PartRecord, len(f.PromptPartRecords))
	for i, r := range f.PromptPartRecords {
		parts[i] = partFromWire(now, r)
	}
	for _, n := range x.table.Parts().Merge(peer, parts, x.ownsPart) {
		x.SharePart(now, n, peer)
	}
	if f.RequestRecordsAsk {
		x.sendAll(now, peer, false)
	}
}

// Digest returns the digest of the records, 0 if there are none.
func (x *Records) Digest() uint64 {
	digest, _ := x.table.Digest()
	return digest
}

// Compare sends a peer all records, and asks for the peer's, if its digest differs. One exchange is
// enough for a peer that has restarted or was partitioned.
func (x *Records) Compare(now time.Time, peer string, remote uint64) {
	local, age := x.table.Digest()
	if local == remote || local != 0 && age < recordsSettleTime {
		return
	}
	last, interval := x.sent[peer], recordsSettleTime
	if last.local == local && last.remote == remote {
		interval = recordsResendInterval
	}
	if now.Sub(last.at) < interval {
		return
	}
	x.sent[peer] = sentRecords{now, local, remote}
	x.sendAll(now, peer, true)
}

// Forget drops what is known of a peer whose incarnation has ended.
func (x *Records) Forget(peer string) { delete(x.sent, peer) }

// Tick expires old records.
func (x *Records) Tick(now time.Time) {
	if now.Sub(x.lastExpiry) < recordsExpiryInterval {
		return
	}
	x.lastExpiry = now
	x.table.Expire(x.ownsRecord)
	x.table.Parts().Tick(x.ownsPart)
}

// ownsPart reports whether this process archives the record of a prompt part and decides on its
// trials.
func (x *Records) ownsPart(p core.Part) bool {
	owners := core.PartOwners(p, x.members.Nodes())
	return len(owners) > 0 && owners[0] == x.self
}

// ownsRecord reports whether this process is the one that archives the record of a request.
func (x *Records) ownsRecord(f core.Fingerprint) bool {
	return slices.Contains(place.Top(x.members.Nodes(), string(f[:]), 1), x.self)
}

// sendAll sends a peer all shared records; ask requests the peer's in return.
func (x *Records) sendAll(now time.Time, to string, ask bool) {
	records, parts := x.table.Shared(), x.table.Parts().Shared()
	if len(records) == 0 && len(parts) == 0 && !ask {
		return
	}
	f := x.out.Frame(now, to, false)
	f.RequestRecordsAsk = f.RequestRecordsAsk || ask
	for _, r := range records {
		f.RequestRecords = append(f.RequestRecords, recordToWire(now, r))
	}
	for _, r := range parts {
		f.PromptPartRecords = append(f.PromptPartRecords, partToWire(now, r))
	}
}

func partToWire(now time.Time, r core.PartRecord) *wire.PromptPartRecord {
	out := &wire.PromptPartRecord{Part: uint64(r.Part)}
	for _, d := range r.Deaths {
		out.Deaths = append(out.Deaths, &wire.TargetDeath{Target: d.Target, AgeMs: ageMs(now, d.At)})
	}
	if !r.AnsweredAt.IsZero() {
		out.Answered, out.AnsweredAgeMs = true, ageMs(now, r.AnsweredAt)
	}
	return out
}

func partFromWire(now time.Time, r *wire.PromptPartRecord) core.PartRecord {
	out := core.PartRecord{Part: core.Part(r.GetPart())}
	for _, d := range r.GetDeaths() {
		out.Deaths = append(out.Deaths, core.PartDeath{Target: d.GetTarget(), At: now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)})
	}
	if r.GetAnswered() {
		out.AnsweredAt = now.Add(-time.Duration(r.GetAnsweredAgeMs()) * time.Millisecond)
	}
	return out
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

func recordToWire(now time.Time, r core.Record) *wire.RequestRecord {
	out := &wire.RequestRecord{Request: r.Request[:], Outline: r.Outline, Account: r.Account}
	for _, d := range r.Deaths {
		out.Deaths = append(out.Deaths, &wire.TargetDeath{Target: d.Target, AgeMs: ageMs(now, d.At), Forgiven: d.Forgiven})
	}
	return out
}

// recordFromWire decodes a record; it returns false if the record is invalid.
func recordFromWire(now time.Time, r *wire.RequestRecord) (core.Record, bool) {
	out := core.Record{Outline: r.GetOutline(), Account: r.GetAccount()}
	if len(r.GetRequest()) != len(out.Request) {
		return out, false
	}
	copy(out.Request[:], r.GetRequest())
	for _, d := range r.GetDeaths() {
		at := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
		out.Deaths = append(out.Deaths, core.Death{Target: d.GetTarget(), At: at, Forgiven: d.GetForgiven()})
	}
	return out, true
}
