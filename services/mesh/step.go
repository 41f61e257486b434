// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/modules/saturate"
	"madderway/modules/wire"
	"madderway/services/peerwire"
)

func (l *Loop) stepMembers(now time.Time, ev member.Event) {
	for _, a := range l.members.Step(now, ev) {
		switch a := a.(type) {
		case member.SendHeartbeat:
			l.addHeartbeat(l.out.Frame(now, a.To, true), a)
		case member.MembersChanged:
			l.membersChanged = true
		case member.IncarnationEnded:
			l.log.Warn("Incarnation of a member ended.", "id", a.ID, "incarnation", a.Incarnation)
			if link := l.links[a.ID]; link != nil {
				link.Reconnect()
			}
			for key, s := range l.cells {
				l.applyToCell(now, key, s, cell.EntryEnded{Entry: a.ID})
			}
			l.stepEntry(now, entry.PeerEnded{ID: a.ID})
			l.records.Forget(a.ID)
			if l.opts.OnIncarnationEnd != nil {
				l.opts.OnIncarnationEnd(a.ID)
			}
		}
	}
}

func (l *Loop) addHeartbeat(f *wire.Frame, a member.SendHeartbeat) {
	hb := peerwire.AddHeartbeat(f, a)
	hb.Versions = versionsToWire(l.opts.Follow.Versions())
	hb.RequestDigest = l.records.Digest()
	hb.Software = softwareToWire(l.opts.Origins.Memory())
}

// handleFrame handles the messages of a frame.
func (l *Loop) handleFrame(now time.Time, peer string, f *wire.Frame) {
	l.traffic.countFrame(receivedFromPeers, f)
	if link := l.links[peer]; link != nil {
		link.ResetBackoff()
	}
	if f.Heartbeat != nil {
		l.handleHeartbeat(now, peer, f.Heartbeat)
	}
	if f.Versions != nil {
		l.opts.Follow.ObservePeerVersions(peer, versionsFromWire(f.Versions))
	}
	l.stepEntry(now, entry.PeerHeard{ID: peer})
	if len(f.RequestRecords) > 0 || len(f.PromptPartRecords) > 0 || f.RequestRecordsAsk {
		l.records.Receive(now, peer, f)
	}
	l.handleOrigins(now, peer, f)
	l.handleSchedulerMessages(now, peer, f)
	for _, p := range f.EnginePlacements {
		l.stepEntry(now, entry.PlacementSeen{From: peer, Cell: cell.Key(p.Cell), ID: cell.RequestID(p.Id), Target: p.Target, Source: p.Source})
	}
	for _, w := range f.EngineWaits {
		l.stepEntry(now, entry.WaitSeen{From: peer, ID: cell.RequestID(w.Id)})
	}
	for _, r := range f.EngineRefusals {
		l.stepEntry(now, entry.RefusalSeen{From: peer, ID: cell.RequestID(r.Id), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Elsewhere: r.Elsewhere, Cell: cell.Key(r.Cell)})
	}
}

// handleSchedulerMessages handles the messages for the schedulers of this gateway. Inventories come
// before asks, so that a new scheduler knows the load before it places requests.
func (l *Loop) handleSchedulerMessages(now time.Time, peer string, f *wire.Frame) {
	for _, p := range f.EngineProgress {
		if ev := progressEvent(peer, p); ev != nil {
			l.routeToCell(now, cell.Key(p.Cell), ev)
		}
	}
	for _, t := range f.EngineTallies {
		l.handleTally(now, peer, t)
	}
	for _, h := range f.EngineHandovers {
		l.receiveHandover(now, peer, h)
	}
	for _, inv := range f.EngineInventories {
		l.routeToCell(now, cell.Key(inv.Cell), inventoryFromWire(peer, inv, f.EngineProgress))
	}
	for _, a := range f.EngineAsks {
		l.routeToCell(now, cell.Key(a.Cell), cell.AskSeen{Entry: peer, Ask: askFromWire(a)})
	}
}

func (l *Loop) handleHeartbeat(now time.Time, peer string, hb *wire.Heartbeat) {
	seen, ok := peerwire.HeartbeatFromWire(peer, hb)
	if !ok {
		l.log.Warn("Dropped a heartbeat with a wrong sender ID.", "peer", peer)
		return
	}
	l.stepMembers(now, seen)
	versions := versionsFromWire(hb.Versions)
	l.opts.Follow.ObservePeerVersions(peer, versions)
	l.records.Compare(now, peer, hb.RequestDigest)
	if hb.Software != nil {
		l.opts.Origins.Learn(peer, softwareFromWire(hb.Software), versions.Targets)
	}
}

func (l *Loop) stepEntry(now time.Time, ev entry.Event) {
	for _, a := range l.entry.Step(now, ev) {
		l.entryAction(now, a)
	}
}

func (l *Loop) entryAction(now time.Time, a entry.Action) {
	self := l.opts.Self.ID
	switch a := a.(type) {
	case entry.AskOut:
		if a.To == self {
			l.routeToCell(now, a.Cell, cell.AskSeen{Entry: self, Ask: a.Ask})
			return
		}
		f := l.out.Frame(now, a.To, false)
		f.EngineAsks = append(f.EngineAsks, askToWire(a.Cell, a.Ask))
	case entry.ProgressOut:
		p := &wire.EngineProgress{Cell: string(a.Cell), Id: uint64(a.ID), Step: wire.EngineStep(a.Step), Outcome: uint32(a.Outcome)}
		if a.To == self {
			l.routeToCell(now, a.Cell, progressEvent(self, p))
			return
		}
		f := l.out.Frame(now, a.To, false)
		f.EngineProgress = append(f.EngineProgress, p)
	case entry.InventoryOut:
		if a.To == self {
			l.routeToCell(now, a.Cell, cell.InventorySeen{Entry: self, Held: a.Held})
			return
		}
		inv := &wire.EngineInventory{Cell: string(a.Cell)}
		for _, h := range a.Held {
			inv.Held = append(inv.Held, heldToWire(h))
		}
		f := l.out.Frame(now, a.To, true)
		f.EngineInventories = append(f.EngineInventories, inv)
	case entry.Start:
		l.deliver(a.ID, Decision{Target: a.Target, Source: a.Source, Scheduler: a.Scheduler, Waited: a.Waited})
	case entry.Refuse:
		l.deliver(a.ID, Decision{Scheduler: a.Scheduler, RetryAfter: a.RetryAfter})
	case entry.Suspect:
		l.log.Warn("Scheduler silent.", "id", a.ID, "cell", a.Cell, "skip_for", a.For)
	}
}

func (l *Loop) deliver(id cell.RequestID, d Decision) {
	ch := l.decisions[id]
	if ch == nil {
		return
	}
	delete(l.decisions, id)
	ch <- d
}

func (l *Loop) routeToCell(now time.Time, key cell.Key, ev cell.Event) {
	if l.layout.Group(key) == nil && l.cells[key] == nil {
		return // the cell is unknown here; the entry tries another scheduler
	}
	l.applyToCell(now, key, l.schedulerOf(now, key), ev)
}

func (l *Loop) applyToCell(now time.Time, key cell.Key, s *cellScheduler, ev cell.Event) {
	s.cell.Apply(now, ev)
	l.undecided[key] = s
}

// decideCells runs the decisions of all cells with new events. Their actions may be events for
// other cells.
func (l *Loop) decideCells(now time.Time) {
	for len(l.undecided) > 0 {
		for key, s := range l.undecided {
			delete(l.undecided, key)
			for _, a := range s.cell.Decide(now) {
				l.cellAction(now, key, a)
			}
		}
	}
}

func (l *Loop) cellAction(now time.Time, key cell.Key, a cell.Action) {
	self := l.opts.Self.ID
	switch a := a.(type) {
	case cell.Place:
		if a.RereadTokens > 0 {
			l.log.Request("Shared part read again.", "cell", key, "entry", a.Entry, "number", a.ID, "account", a.Account,
				"subject", a.Affinity, "target", a.Target, "tokens", a.RereadTokens, "reason", a.Reason, "crosses", a.Crosses, "waited", a.Waited)
		}
		if a.Entry == self {
			l.stepEntry(now, entry.PlacementSeen{From: self, Cell: key, ID: a.ID, Target: a.Target, Source: a.Source})
			return
		}
		f := l.out.Frame(now, a.Entry, false)
		f.EnginePlacements = append(f.EnginePlacements, &wire.EnginePlacement{Cell: string(key), Id: uint64(a.ID), Target: a.Target, Source: a.Source})
	case cell.Wait:
		if a.Entry == self {
			return
		}
		// A placement that follows soon shares the frame.
		f := l.out.Frame(now, a.Entry, true)
		f.EngineWaits = append(f.EngineWaits, &wire.EngineWait{Id: uint64(a.ID)})
	case cell.Refuse:
		values := []any{
			"cell", key, "entry", a.Entry, "number", a.ID, "account", a.Account, "waited", a.Waited,
			"ahead", saturate.Int64(a.Ahead), "booked", a.Booked, "waiting", a.Waiting, "retry_after", a.RetryAfter, "elsewhere", a.Elsewhere, "move_to", a.Cell,
		}
		l.log.Request("Request refused.", append(values, refusalValues(a)...)...)
		if a.Entry == self {
			l.stepEntry(now, entry.RefusalSeen{From: self, ID: a.ID, RetryAfter: a.RetryAfter, Elsewhere: a.Elsewhere, Cell: a.Cell})
			return
		}
		f := l.out.Frame(now, a.Entry, false)
		f.EngineRefusals = append(f.EngineRefusals, &wire.EngineRefusal{Id: uint64(a.ID), RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), Elsewhere: a.Elsewhere, Cell: string(a.Cell)})
	}
}
