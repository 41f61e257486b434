// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import "time"

// Packed holds records compactly, for messages and rows: targets are kept once, and times relative to
// the earliest record.
type Packed struct {
	First   time.Time // when the earliest record was made, on the local clock
	Groups  []Group
	Streams []PackedStream
}

// Group is what records of one target have in common.
type Group struct{ Target, Software string }

// PackedStream is the rest of a record.
type PackedStream struct {
	Key    Key
	Group  uint32 // index of Groups
	Sender uint32
	Try    uint32
	SentAt int64  // Unix milliseconds on the sender's clock
	After  uint32 // milliseconds since First
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
		g := Group{r.Target, r.Software}
		i, known := indexes[g]
		if !known {
			i = uint32(len(p.Groups))
			indexes[g] = i
			p.Groups = append(p.Groups, g)
		}
		p.Streams = append(p.Streams, PackedStream{Key: r.Key, Group: i, Sender: r.Sender, Try: r.Try, SentAt: r.SentAt, After: uint32(r.At.Sub(p.First).Milliseconds())})
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
		g := p.Groups[s.Group]
		records = append(records, Record{
			Key: s.Key, Target: g.Target, Software: g.Software, Sender: s.Sender, Try: s.Try, SentAt: s.SentAt, At: p.First.Add(time.Duration(s.After) * time.Millisecond),
		})
	}
	return records
}
