// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	coreorigin "madderway/core/origin"
	"madderway/modules/wire"
	"madderway/services/origin"
)

// backupToWire encodes records of one gateway relative to the earliest.
func backupToWire(now time.Time, b origin.Backup) *wire.StreamBackup {
	w := &wire.StreamBackup{Service: b.Service, Sender: b.Sender, Shared: b.Shared}
	if len(b.Records) == 0 {
		return w
	}
	first := b.Records[0]
	for _, r := range b.Records {
		if r.At.Before(first.At) {
			first = r
		}
	}
	w.SentMs, w.AgeMs = first.SentAt, uint32(max(now.Sub(first.At), 0).Milliseconds())
	indexes := map[wireTarget]uint32{}
	for _, r := range b.Records {
		t := wireTarget{r.Target, r.Software}
		i, known := indexes[t]
		if !known {
			i = uint32(len(w.Targets))
			indexes[t] = i
			w.Targets = append(w.Targets, &wire.StreamTarget{Target: t.target, Software: t.software})
		}
		w.Streams = append(w.Streams, uint64(r.Key))
		w.Target = append(w.Target, i)
		w.Try = append(w.Try, r.Try)
		w.AfterMs = append(w.AfterMs, uint32(r.At.Sub(first.At).Milliseconds()))
	}
	return w
}

type wireTarget struct{ target, software string }

// backupFromWire decodes records. It leaves out those that are incomplete.
func backupFromWire(now time.Time, w *wire.StreamBackup) origin.Backup {
	b := origin.Backup{Service: w.GetService(), Sender: w.GetSender(), Shared: w.GetShared()}
	n := min(len(w.GetStreams()), len(w.GetTarget()), len(w.GetTry()), len(w.GetAfterMs()))
	first := now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
	for i := range n {
		if int(w.Target[i]) >= len(w.Targets) {
			continue
		}
		t := w.Targets[w.Target[i]]
		b.Records = append(b.Records, coreorigin.Record{
			Key: coreorigin.Key(w.Streams[i]), Target: t.GetTarget(), Software: t.GetSoftware(), Sender: w.GetSender(), Try: w.Try[i],
			SentAt: w.GetSentMs() + int64(w.AfterMs[i]), At: first.Add(time.Duration(w.AfterMs[i]) * time.Millisecond),
		})
	}
	return b
}
