// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/promise"
	"madderway/modules/saturate"
	"madderway/modules/wire"
)

const (
	handoverInterval = time.Second
	// handoverLife is the age from which a handover is dropped: its sender has stopped
	// scheduling the cell, and engines and promises have changed.
	handoverLife = 5 * time.Second
	// Bounds of one message; a sender of this version stays below.
	maxHandedTargets  = 64
	maxHandedPromises = 256
	// maxFirstAge bounds the time since the first attempt of a request with a promise.
	maxFirstAge = time.Minute
)

// receivedHandover is the last handover of a cell by another gateway.
type receivedHandover struct {
	from    string
	at      time.Time
	message *wire.EngineHandover
}

// sendHandovers tells the next scheduler in line of each cell in use what was learned of it.
func (l *Loop) sendHandovers(now time.Time) {
	if now.Before(l.nextHandover) {
		return
	}
	l.nextHandover = now.Add(handoverInterval)
	for key, s := range l.cells {
		to := l.nextScheduler(key)
		if to == "" || now.Sub(s.lastUsed) > handoverInterval {
			continue
		}
		if m := handoverToWire(now, key, s.cell.Handover()); m != nil {
			f := l.out.Frame(now, to, true)
			f.EngineHandovers = append(f.EngineHandovers, m)
		}
	}
}

// nextScheduler returns the gateway that is asked if this one does not answer, or "".
func (l *Loop) nextScheduler(key cell.Key) string {
	g := l.layout.Group(key)
	if g == nil {
		return ""
	}
	for _, id := range g.Schedulers() {
		if id != l.opts.Self.ID {
			return id
		}
	}
	return ""
}

// receiveHandover keeps the last handover of a cell. Only gateways that may schedule the cell
// have one.
func (l *Loop) receiveHandover(now time.Time, from string, m *wire.EngineHandover) {
	key := cell.Key(m.Cell)
	g := l.layout.Group(key)
	if g == nil || !slices.Contains(g.Schedulers(), from) {
		l.log.Debug("Handover ignored.", "cell", key, "from", from, "cell_known", g != nil)
		return
	}
	l.handovers[key] = receivedHandover{from, now, m}
}

// dropOldHandovers forgets the handovers of gateways that have stopped sending them.
func (l *Loop) dropOldHandovers(now time.Time) {
	for key, h := range l.handovers {
		if now.Sub(h.at) > handoverLife {
			delete(l.handovers, key)
		}
	}
}

// applyHandover gives a new scheduler what the one before it told.
func (l *Loop) applyHandover(now time.Time, key cell.Key, s *cellScheduler) {
	h, known := l.handovers[key]
	delete(l.handovers, key)
	if !known || now.Sub(h.at) > handoverLife {
		return
	}
	ev := handoverFromWire(h.at, h.message)
	l.log.Info("Handover applied.", "cell", key, "from", h.from, "age", now.Sub(h.at), "targets", len(ev.Engines), "promises", len(ev.Promises))
	l.applyToCell(now, key, s, ev)
}

// handoverToWire returns the message of what was learned, or nil if there is nothing.
func handoverToWire(now time.Time, key cell.Key, h cell.Handover) *wire.EngineHandover {
	if len(h.Engines) == 0 && len(h.Promises) == 0 {
		return nil
	}
	m := &wire.EngineHandover{Cell: string(key)}
	for _, e := range h.Engines {
		m.Targets = append(m.Targets, &wire.EngineTargetState{
			Target: e.Target, TokensPerSecond: saturate.Uint32(e.TokensPerSecond), FirstLatencyUs: uint32(e.FirstLatency.Microseconds()),
		})
	}
	for _, p := range h.Promises {
		m.Promises = append(m.Promises, &wire.EnginePromise{
			Request: uint64(p.Key), Account: p.Account, AgeMs: uint32(now.Sub(p.First).Milliseconds()), ReturnInMs: int32(p.At.Sub(now).Milliseconds()),
		})
	}
	return m
}

// handoverFromWire reads a message that came at a time.
func handoverFromWire(at time.Time, m *wire.EngineHandover) cell.HandoverSeen {
	var h cell.HandoverSeen
	for _, t := range m.Targets[:min(len(m.Targets), maxHandedTargets)] {
		h.Engines = append(h.Engines, cell.EngineEstimate{Target: t.Target, Estimate: batch.Estimate{
			TokensPerSecond: float64(t.TokensPerSecond), FirstLatency: time.Duration(t.FirstLatencyUs) * time.Microsecond,
		}})
	}
	for _, p := range m.Promises[:min(len(m.Promises), maxHandedPromises)] {
		age, in := time.Duration(p.AgeMs)*time.Millisecond, time.Duration(p.ReturnInMs)*time.Millisecond
		if age <= maxFirstAge {
			h.Promises = append(h.Promises, promise.Restored(promise.Key(p.Request), p.Account, at.Add(-age), at.Add(in)))
		}
	}
	return h
}
