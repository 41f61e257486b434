// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
	"madderway/modules/wire"
)

// tellRooms returns the room of the cells that are scheduled here, by service, for the
// schedulers of other cells. Cells that are scheduled here are told directly.
func (l *Loop) tellRooms(now time.Time) map[string][]*wire.EngineRoom {
	out := map[string][]*wire.EngineRoom{}
	for key, s := range l.cells {
		g := l.layout.Group(key)
		if g == nil || s.cell.Idle() && now.Sub(s.lastUsed) > tallyInterval && !l.schedules(g) {
			continue
		}
		room, ok := s.cell.Room(now, key)
		if !ok {
			continue
		}
		out[g.Service] = append(out[g.Service], roomToWire(room))
		l.applyToSiblings(now, g, cell.RoomsSeen{Rooms: []cell.Room{room}})
	}
	return out
}

// schedules reports whether this gateway is the first scheduler of a cell. Another one that
// keeps an unused scheduler does not see the cell's load.
func (l *Loop) schedules(g *cell.Group) bool {
	return len(g.Schedulers()) > 0 && g.Schedulers()[0] == l.opts.Self.ID
}

// roomsSeen returns the event that tells a cell the room of other cells of its service.
func roomsSeen(key cell.Key, rooms []*wire.EngineRoom) cell.RoomsSeen {
	var ev cell.RoomsSeen
	for _, r := range rooms {
		if cell.Key(r.Cell) != key {
			ev.Rooms = append(ev.Rooms, roomFromWire(r))
		}
	}
	return ev
}

func roomToWire(r cell.Room) *wire.EngineRoom {
	return &wire.EngineRoom{
		Cell: string(r.Cell), WaitMs: uint32(max(r.Wait.Milliseconds(), 0)), SpareTokens: uint32(max(r.SpareTokens, 0)),
	}
}

func roomFromWire(r *wire.EngineRoom) cell.Room {
	return cell.Room{
		Cell: cell.Key(r.Cell), Wait: time.Duration(r.WaitMs) * time.Millisecond, SpareTokens: int(r.SpareTokens),
	}
}
