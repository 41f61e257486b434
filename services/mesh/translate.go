// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/wire"
	"madderway/services/follow"
)

func promptToWire(p *routing.Prompt) *wire.Prompt {
	out := &wire.Prompt{Tokens: uint32(p.Tokens), Output: uint32(p.OutputEstimate())}
	for _, part := range p.Parts {
		out.Parts = append(out.Parts, &wire.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	return out
}

func promptFromWire(p *wire.Prompt) *routing.Prompt {
	out := &routing.Prompt{Tokens: int(p.GetTokens()), MaxOutput: int(p.GetOutput())}
	for _, part := range p.GetParts() {
		out.Parts = append(out.Parts, routing.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return out
}

func askToWire(key cell.Key, a cell.Ask) *wire.EngineAsk {
	return &wire.EngineAsk{
		Cell: string(key), Id: uint64(a.ID), Account: a.Account, Rank: int32(a.Rank), Prompt: promptToWire(a.Prompt),
		HoldMs: uint32(a.Hold.Milliseconds()), Deny: a.Deny, ObjectiveMs: uint32(max(a.Objective.Milliseconds(), 0)),
		DataHall: a.DataHall, BodyBytes: uint32(a.BodyBytes), RemainingMs: uint32(max(a.Remaining.Milliseconds(), 0)),
		Bound: a.Bound, Software: a.Software,
	}
}

func askFromWire(a *wire.EngineAsk) cell.Ask {
	return cell.Ask{
		ID: cell.RequestID(a.Id), Account: a.Account, Rank: int(a.Rank), Prompt: promptFromWire(a.Prompt),
		Hold: time.Duration(a.HoldMs) * time.Millisecond, Objective: time.Duration(a.ObjectiveMs) * time.Millisecond, Deny: a.Deny,
		DataHall: a.DataHall, BodyBytes: int(a.BodyBytes), Remaining: time.Duration(a.RemainingMs) * time.Millisecond,
		Bound: a.Bound, Software: a.Software,
	}
}

func heldToWire(h cell.Held) *wire.EngineHeld {
	return &wire.EngineHeld{Id: uint64(h.ID), Account: h.Account, Target: h.Target, Prompt: promptToWire(h.Prompt), Begun: h.Begun}
}

// inventoryFromWire converts an inventory and applies the progress in its frame, which may be newer: a
// frame takes messages until it is sent.
func inventoryFromWire(peer string, inv *wire.EngineInventory, progress []*wire.EngineProgress) cell.InventorySeen {
	began, ended := map[uint64]bool{}, map[uint64]bool{}
	for _, p := range progress {
		if p.Cell == inv.Cell {
			began[p.Id] = began[p.Id] || p.Step == wire.EngineStep_ENGINE_STEP_BEGAN
			ended[p.Id] = ended[p.Id] || p.Step == wire.EngineStep_ENGINE_STEP_ENDED
		}
	}
	out := cell.InventorySeen{Entry: peer}
	for _, h := range inv.Held {
		if ended[h.Id] {
			continue
		}
		out.Held = append(out.Held, cell.Held{
			ID: cell.RequestID(h.Id), Account: h.Account, Target: h.Target, Prompt: promptFromWire(h.Prompt), Begun: h.Begun || began[h.Id],
		})
	}
	return out
}

// progressEvent converts a progress message to an event of a cell, or nil if its step is unknown.
func progressEvent(peer string, p *wire.EngineProgress) cell.Event {
	id := cell.RequestID(p.Id)
	switch p.Step {
	case wire.EngineStep_ENGINE_STEP_BEGAN:
		return cell.BeganSeen{Entry: peer, ID: id}
	case wire.EngineStep_ENGINE_STEP_ENDED:
		return cell.EndedSeen{Entry: peer, ID: id, Outcome: batch.Outcome(p.Outcome)}
	case wire.EngineStep_ENGINE_STEP_WITHDRAWN:
		return cell.WithdrawSeen{Entry: peer, ID: id}
	default:
		return nil
	}
}

func versionsToWire(v follow.Versions) *wire.Versions {
	return &wire.Versions{
		Configuration: v.Configuration, Targets: uint64(v.Targets), Evacuations: uint64(v.Evacuations), Leaving: v.Leaving,
		ConfigurationAgeMs: uint32(v.ConfigurationAge.Milliseconds()), TargetsAgeMs: uint32(v.TargetsAge.Milliseconds()),
		StoreNowMs: int64(v.Store.Now), StoreAskedMs: int64(v.Store.Asked), ConfigurationAsOfMs: int64(v.ConfigurationAsOf), TargetsAsOfMs: int64(v.TargetsAsOf),
		TargetsComplete: uint64(v.TargetsComplete),
	}
}

func versionsFromWire(v *wire.Versions) follow.Versions {
	return follow.Versions{
		Configuration: v.GetConfiguration(), Targets: routing.Revision(v.GetTargets()), Evacuations: routing.Revision(v.GetEvacuations()), Leaving: v.GetLeaving(),
		ConfigurationAge:  time.Duration(v.GetConfigurationAgeMs()) * time.Millisecond,
		TargetsAge:        time.Duration(v.GetTargetsAgeMs()) * time.Millisecond,
		Store:             watch.Reading{Now: watch.StoreTime(v.GetStoreNowMs()), Asked: watch.StoreTime(v.GetStoreAskedMs())},
		ConfigurationAsOf: watch.StoreTime(v.GetConfigurationAsOfMs()), TargetsAsOf: watch.StoreTime(v.GetTargetsAsOfMs()),
		TargetsComplete: routing.Revision(v.GetTargetsComplete()),
	}
}
