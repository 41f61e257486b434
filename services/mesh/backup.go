// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	coreorigin "madderway/core/origin"
	"madderway/modules/wire"
	"madderway/services/origin"
)

// backupToWire encodes records of one gateway.
func backupToWire(now time.Time, b origin.Backup) *wire.StreamBackup {
	w := &wire.StreamBackup{Service: b.Service, Sender: b.Sender, Shared: b.Shared}
	if len(b.Records) == 0 {
		return w
	}
	p := coreorigin.Pack(b.Records)
	first := p.Streams[0]
	w.SentMs, w.AgeMs = first.SentAt-int64(first.After), uint32(max(now.Sub(p.First), 0).Milliseconds())
	for _, g := range p.Groups {
		w.Targets = append(w.Targets, &wire.StreamTarget{Target: g.Target, Software: g.Software})
	}
	for _, s := range p.Streams {
		w.Streams = append(w.Streams, uint64(s.Key))
		w.Target = append(w.Target, s.Group)
		w.Try = append(w.Try, s.Try)
		w.AfterMs = append(w.AfterMs, s.After)
	}
	return w
}

// backupFromWire decodes records. It leaves out those that are incomplete.
func backupFromWire(now time.Time, w *wire.StreamBackup) origin.Backup {
	p := coreorigin.Packed{First: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)}
	for _, t := range w.GetTargets() {
		p.Groups = append(p.Groups, coreorigin.Group{Target: t.GetTarget(), Software: t.GetSoftware()})
	}
	n := min(len(w.GetStreams()), len(w.GetTarget()), len(w.GetTry()), len(w.GetAfterMs()))
	for i := range n {
		p.Streams = append(p.Streams, coreorigin.PackedStream{
			Key: coreorigin.Key(w.Streams[i]), Group: w.Target[i], Sender: w.GetSender(), Try: w.Try[i], SentAt: w.GetSentMs() + int64(w.AfterMs[i]), After: w.AfterMs[i],
		})
	}
	return origin.Backup{Service: w.GetService(), Sender: w.GetSender(), Shared: w.GetShared(), Records: p.Unpack()}
}
