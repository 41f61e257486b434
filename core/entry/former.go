// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"
	"time"

	"madderway/core/cell"
)

// formerMemory is the time without a sign of life after which a former scheduler is forgotten.
const formerMemory = 30 * time.Second

// schedulerOfCell is a scheduler that was in use for a cell.
type schedulerOfCell struct {
	cell      cell.Key
	scheduler string
}

// formerState tracks what a former scheduler may still count as running: it may have been frozen or
// cut off when requests ended, and would place nothing at targets that it takes for busy.
type formerState struct {
	since            time.Time // when it was replaced or last heard
	inventoryAt      time.Time // last inventory, or its replacement
	heard            bool      // since the last inventory
	emptyInventories int       // consecutive empty inventories
}

func (m *Machine) addFormer(now time.Time, key cell.Key, id string) {
	if id != "" {
		m.former[schedulerOfCell{key, id}] = &formerState{since: now, inventoryAt: now}
	}
}

// placedLate tells a scheduler that is no longer asked for a request what became of it. If another
// one has chosen the same target, both count the request as running.
func (m *Machine) placedLate(e PlacementSeen) {
	r := m.running[e.ID]
	if r == nil || r.held.Target != e.Target || r.cell != e.Cell {
		m.emit(ProgressOut{To: e.From, Cell: e.Cell, ID: e.ID, Step: StepWithdrawn})
		return
	}
	if r.held.Begun { // it may not know, even if an inventory came before this
		m.emit(ProgressOut{To: e.From, Cell: e.Cell, ID: e.ID, Step: StepBegan})
	}
	r.addScheduler(e.From)
}

func (m *Machine) formerHeard(id string) {
	for of, s := range m.former {
		if of.scheduler == id {
			s.heard = true
		}
	}
}

// tickFormer sends inventories to former schedulers that are alive, until these count nothing as
// running.
func (m *Machine) tickFormer(now time.Time) {
	for of, s := range m.former {
		switch {
		case now.Sub(s.since) >= formerMemory:
			delete(m.former, of)
		case s.heard && now.Sub(s.inventoryAt) >= inventoryInterval:
			m.sendFormerInventory(now, of, s)
		}
	}
}

func (m *Machine) sendFormerInventory(now time.Time, of schedulerOfCell, s *formerState) {
	out := InventoryOut{To: of.scheduler, Cell: of.cell}
	for _, r := range m.running {
		if r.cell == of.cell && slices.Contains(r.toldTo, of.scheduler) {
			out.Held = append(out.Held, r.held)
		}
	}
	m.emit(out)
	s.since, s.inventoryAt, s.heard = now, now, false
	s.emptyInventories++
	if len(out.Held) > 0 {
		s.emptyInventories = 0
	}
	if s.emptyInventories >= maxEmptyInventories {
		delete(m.former, of)
	}
}
