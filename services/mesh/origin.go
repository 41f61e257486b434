// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	coreorigin "madderway/core/origin"
	"madderway/modules/wire"
	"madderway/services/origin"
)

type originsIn struct {
	records []coreorigin.Record
	store   bool
}

func (originsIn) isInput() {}

// ShareOrigins sends records of streams to the gateways that keep them, of which one writes them to the
// store if store is set. It is also called on the loop's goroutine, so it does not wait for room; a
// stream without its record is refused later.
func (l *Loop) ShareOrigins(records []coreorigin.Record, store bool) {
	if !l.inputs.TryPut(originsIn{records, store}) {
		l.log.Request("Records of streams not sent, too much waits.", "records", len(records))
	}
}

// earlyOriginIn is the record of an attempt that has no event yet.
type earlyOriginIn struct{ record coreorigin.Record }

func (earlyOriginIn) isInput() {}

// ShareEarlyOrigin sends the record of an attempt that has no event yet to the gateway that writes it to
// the store.
func (l *Loop) ShareEarlyOrigin(r coreorigin.Record) {
	if !l.inputs.TryPut(earlyOriginIn{r}) {
		l.log.Request("Record of an attempt not sent, too much waits.")
	}
}

func (l *Loop) shareEarlyOrigin(now time.Time, r coreorigin.Record) {
	replicas := coreorigin.Replicas(l.originKeepers, l.opts.Self.ID, r.Key)
	if len(replicas) == 0 {
		return
	}
	f := l.out.Frame(now, replicas[0], true)
	w := originToWire(now, r)
	w.Store, w.Early = true, true
	f.StreamOrigins = append(f.StreamOrigins, w)
}

// backupsIn are messages to the backups of this gateway.
type backupsIn []origin.Backup

func (backupsIn) isInput() {}

// BackUpOrigins sends records of streams to the backups of this gateway.
func (l *Loop) BackUpOrigins(messages []origin.Backup) {
	if !l.inputs.TryPut(backupsIn(messages)) {
		l.log.Request("Records of streams not backed up, too much waits.", "messages", len(messages))
	}
}

func (l *Loop) backUpOrigins(now time.Time, messages backupsIn) {
	for _, b := range messages {
		for _, id := range l.originBackups {
			f := l.out.Frame(now, id, true)
			f.StreamBackups = append(f.StreamBackups, backupToWire(now, b))
		}
	}
}

// AskOrigin asks the gateways that may hold the record of a stream, and returns their IDs. wide
// includes those that may hold it while its service has one version.
func (l *Loop) AskOrigin(k coreorigin.Key, wide bool) []string {
	asked := make(chan []string, 1)
	l.Do(func() {
		now := l.opts.Clock.Now()
		holders := coreorigin.Holders(l.originKeepers, l.opts.Self.ID, k)
		if wide {
			holders = coreorigin.WideHolders(l.members.Nodes(), l.originKeepers, l.opts.Self.ID, k)
		}
		for _, id := range holders {
			f := l.out.Frame(now, id, false)
			f.StreamOriginAsks = append(f.StreamOriginAsks, uint64(k))
		}
		asked <- holders
	})
	select {
	case holders := <-asked:
		return holders
	default:
		return nil // the loop has ended
	}
}

// shareOrigins adds records to the frames of the gateways that keep them.
func (l *Loop) shareOrigins(now time.Time, in originsIn) {
	for _, r := range in.records {
		for i, id := range coreorigin.Replicas(l.originKeepers, l.opts.Self.ID, r.Key) {
			f := l.out.Frame(now, id, false)
			w := originToWire(now, r)
			w.Store = i == 0 && in.store
			f.StreamOrigins = append(f.StreamOrigins, w)
		}
	}
}

// handleOrigins handles the records, the asks and the replies in a frame.
func (l *Loop) handleOrigins(now time.Time, peer string, f *wire.Frame) {
	if len(f.StreamOrigins) > 0 {
		var records, toStore []coreorigin.Record
		for _, w := range f.StreamOrigins {
			r := originFromWire(now, w)
			if !w.Early {
				records = append(records, r)
			}
			if w.Store {
				toStore = append(toStore, r)
			}
		}
		l.opts.Origins.Receive(records)
		l.opts.Origins.Store(toStore)
	}
	for _, b := range f.StreamBackups {
		l.opts.Origins.ReceiveBackup(backupFromWire(now, b))
	}
	for _, k := range f.StreamOriginAsks {
		known := l.opts.Origins.Lookup(coreorigin.Key(k))
		reply := &wire.StreamOriginReply{Stream: k, Ambiguous: known.Ambiguous}
		if known.Found {
			reply.Origin = originToWire(now, known.Record)
			reply.Origin.Early = known.Record.Tentative
		}
		out := l.out.Frame(now, peer, false)
		out.StreamOriginReplies = append(out.StreamOriginReplies, reply)
	}
	for _, r := range f.StreamOriginReplies {
		reply := origin.Reply{Peer: peer, Found: r.Origin != nil, Ambiguous: r.Ambiguous}
		if reply.Found {
			reply.Record = originFromWire(now, r.Origin)
			reply.Record.Tentative = r.Origin.Early
		}
		l.opts.Origins.Replied(coreorigin.Key(r.Stream), reply)
	}
}

func originToWire(now time.Time, r coreorigin.Record) *wire.StreamOrigin {
	return &wire.StreamOrigin{
		Stream: uint64(r.Key), Target: r.Target, Software: r.Software, Sender: r.Sender, Try: r.Try, SentMs: r.SentAt,
		AgeMs: uint32(max(now.Sub(r.At), 0).Milliseconds()),
	}
}

func originFromWire(now time.Time, r *wire.StreamOrigin) coreorigin.Record {
	return coreorigin.Record{
		Key: coreorigin.Key(r.GetStream()), Target: r.GetTarget(), Software: r.GetSoftware(), Sender: r.GetSender(), Try: r.GetTry(), SentAt: r.GetSentMs(),
		At: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
	}
}

// maxToldCoverage bounds the coverage in a message. Streams do not continue for longer.
const maxToldCoverage = 2 * coreorigin.MaxMemory

func softwareToWire(m origin.Memory) *wire.SoftwareMemory {
	w := &wire.SoftwareMemory{Complete: m.Complete, CoveredMs: coveredToWire(m.Coverage.All), Archived: m.Archived}
	for _, u := range m.Unlisted {
		w.Unlisted = append(w.Unlisted, &wire.UnlistedSoftware{Service: u.Service, Software: u.Software, AgeMs: uint32(u.Age.Milliseconds())})
	}
	for service, covered := range m.Coverage.Later {
		w.CoveredLater = append(w.CoveredLater, &wire.CoveredService{Service: service, CoveredMs: coveredToWire(covered)})
	}
	return w
}

func coveredToWire(d time.Duration) uint32 { return uint32(min(d, maxToldCoverage).Milliseconds()) }

func softwareFromWire(w *wire.SoftwareMemory) origin.Memory {
	m := origin.Memory{Coverage: coreorigin.CoverageAge{All: coveredFromWire(w.GetCoveredMs()), Later: map[string]time.Duration{}}, Complete: w.GetComplete(), Archived: w.GetArchived()}
	for _, u := range w.GetUnlisted() {
		m.Unlisted = append(m.Unlisted, coreorigin.Unlisted{Service: u.Service, Software: u.Software, Age: time.Duration(u.AgeMs) * time.Millisecond})
	}
	for _, c := range w.GetCoveredLater() {
		m.Coverage.Later[c.Service] = coveredFromWire(c.CoveredMs)
	}
	return m
}

func coveredFromWire(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
