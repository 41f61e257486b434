// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/modules/wire"
)

func demandToWire(d message.Demand) *wire.Demand {
	return &wire.Demand{
		Account: d.Account, Pool: d.Pool, Count: uint32(d.Count), Interactive: uint32(d.Interactive),
		Cost: float32(d.Cost), Deny: d.Deny, Prefix: d.Prefix,
	}
}

func demandFromWire(d *wire.Demand) message.Demand {
	return message.Demand{
		Account: d.Account, Pool: d.Pool, Count: int(d.Count), Interactive: int(min(d.Interactive, d.Count)),
		Cost: nonNegative(d.Cost), Deny: d.Deny, Prefix: d.Prefix,
	}
}

// nonNegative turns negative numbers and NaN into 0, so that a bad message cannot reverse service
// counters.
func nonNegative(f float32) float64 {
	if !(f > 0) {
		return 0
	}
	return float64(f)
}

func grantToWire(g message.Grant) *wire.Grant {
	return &wire.Grant{
		Id: uint64(g.ID), Account: g.Account, Pool: g.Pool, Target: g.Target, InteractiveOnly: g.InteractiveOnly,
		Charged: float32(g.Charged), Quantum: float32(g.Quantum),
		Free: uint32(max(g.Free, 0)), Waiting: g.Waiting,
	}
}

func grantFromWire(g *wire.Grant) message.Grant {
	return message.Grant{
		ID: message.GrantID(g.Id), Account: g.Account, Pool: g.Pool, Target: g.Target, InteractiveOnly: g.InteractiveOnly,
		Charged: nonNegative(g.Charged), Quantum: nonNegative(g.Quantum),
		Free: int(g.Free), Waiting: g.Waiting,
	}
}

func reportToWire(r message.Report) *wire.Report {
	return &wire.Report{
		Grant: uint64(r.Grant), Kind: uint32(r.Kind), Cost: float32(r.Cost),
		FirstTokenUs: uint32(r.FirstToken.Microseconds()), TokenGapUs: uint32(r.TokenGap.Microseconds()), Failed: r.Failed,
	}
}

func reportFromWire(r *wire.Report) message.Report {
	return message.Report{
		Grant: message.GrantID(r.Grant), Kind: message.ReportKind(r.Kind), Cost: nonNegative(r.Cost),
		FirstToken: time.Duration(r.FirstTokenUs) * time.Microsecond, TokenGap: time.Duration(r.TokenGapUs) * time.Microsecond, Failed: r.Failed,
	}
}

func inventoryToWire(inv message.Inventory) *wire.Inventory {
	out := &wire.Inventory{Held: make([]uint64, len(inv.Held))}
	for i, id := range inv.Held {
		out.Held[i] = uint64(id)
	}
	for _, a := range inv.Adopt {
		out.Adopt = append(out.Adopt, &wire.Adoption{
			Grant: uint64(a.Grant), Account: a.Account, Pool: a.Pool, Target: a.Target, Charged: float32(a.Charged),
		})
	}
	return out
}

func inventoryFromWire(inv *wire.Inventory) message.Inventory {
	out := message.Inventory{Held: make([]message.GrantID, len(inv.Held))}
	for i, id := range inv.Held {
		out.Held[i] = message.GrantID(id)
	}
	for _, a := range inv.Adopt {
		out.Adopt = append(out.Adopt, message.Adoption{
			Grant: message.GrantID(a.Grant), Account: a.Account, Pool: a.Pool, Target: a.Target, Charged: nonNegative(a.Charged),
		})
	}
	return out
}

func rowToWire(r fair.Row) *wire.Row {
	return &wire.Row{Account: r.Account, Service: r.Service, Lift: r.Lift, Forgive: r.Forgive}
}

func rowFromWire(r *wire.Row) fair.Row {
	return fair.Row{Account: r.GetAccount(), Service: r.GetService(), Lift: r.GetLift(), Forgive: r.GetForgive()}
}

func tallyToWire(incarnation uint64, t message.Tally) *wire.Tally {
	out := &wire.Tally{Pool: t.Pool, Incarnation: incarnation, Seq: t.Seq, Waiting: t.Waiting, Floor: t.Floor}
	for _, r := range t.Rows {
		out.Rows = append(out.Rows, rowToWire(r))
	}
	for _, f := range t.Foreign {
		out.Foreign = append(out.Foreign, &wire.ForeignRow{
			Id: f.From.ID, Incarnation: f.From.Incarnation, Seq: f.Seq, Row: rowToWire(f.Row),
		})
	}
	return out
}

func tallyFromWire(t *wire.Tally) message.Tally {
	out := message.Tally{Pool: t.Pool, Seq: t.Seq, Waiting: t.Waiting, Floor: t.Floor}
	for _, r := range t.Rows {
		out.Rows = append(out.Rows, rowFromWire(r))
	}
	for _, f := range t.Foreign {
		out.Foreign = append(out.Foreign, fair.ForeignRow{
			From: fair.Reporter{ID: f.Id, Incarnation: f.Incarnation}, Seq: f.Seq, Row: rowFromWire(f.Row),
		})
	}
	return out
}
