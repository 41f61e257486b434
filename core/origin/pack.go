// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import "time"

// Packed holds records compactly, for messages and rows: what many records have in common is kept
// once, and times relative to the earliest record.
type Packed struct {
	First   time.Time // when the earliest record was made, on the local clock
	Groups  []Group
	Streams []PackedStream
}

// Group is what records of one target and one sender have in common.
type Group struct {
	Target, Software string
	Sender           uint32
	SentAt           int64 // Unix milliseconds on the sender's clock at the time of First
}

// PackedStream is the rest of a record.
type PackedStream struct {
	Key   Key
	Group uint32 // index of Groups
	Try   uint32
	After uint32 // milliseconds since First
}

// Pack packs records.
func Pack(records []Record) Packed {
	if len(records) == 0 {
		return Packed{}
	}
	p := Packed{First: records[0].At}
	for _, r := range records {
		p.First = earlier(p.First, r.At)
	}
	indexes := map[Group]uint32{}
	for _, r := range records {
		after := r.At.Sub(p.First).Milliseconds()
		g := Group{r.Target, r.Software, r.Sender, r.SentAt - after}
		i, known := indexes[g]
		if !known {
			i = uint32(len(p.Groups))
			indexes[g] = i
			p.Groups = append(p.Groups, g)
		}
		p.Streams = append(p.Streams, PackedStream{Key: r.Key, Group: i, Try: r.Try, After: uint32(after)})
	}
	return p
}

// Unpack returns the records. It leaves out those that name no group.
func (p Packed) Unpack() []Record {
	var records []Record
	for _, s := range p.Streams {
		if int(s.Group) >= len(p.Groups) {
			continue
		}
		g, after := p.Groups[s.Group], time.Duration(s.After)*time.Millisecond
		records = append(records, Record{
			Key: s.Key, Target: g.Target, Software: g.Software, Sender: g.Sender, Try: s.Try, SentAt: g.SentAt + after.Milliseconds(), At: p.First.Add(after),
		})
	}
	return records
}
