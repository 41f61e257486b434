// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/core/sched"
	"madderway/modules/wire"
	"madderway/services/peerwire"
)

func TestMessagesRoundTrip(t *testing.T) {
	d := message.Demand{Account: "a", Pool: "p", Count: 3, Interactive: 1, Cost: 8, Deny: []string{"t"}, Prefix: "x"}
	if got := demandFromWire(demandToWire(d)); !reflect.DeepEqual(got, d) {
		t.Errorf("demand = %+v after a round trip", got)
	}
	g := message.Grant{ID: 9, Account: "a", Pool: "p", Target: "t", InteractiveOnly: true, Charged: 4, Quantum: 2, Free: 1, Waiting: true}
	if got := grantFromWire(grantToWire(g)); got != g {
		t.Errorf("grant = %+v after a round trip", got)
	}
	r := message.Report{Grant: 9, Kind: message.ReportDone, Cost: 5, FirstToken: time.Millisecond, TokenGap: time.Microsecond, Failed: true}
	if got := reportFromWire(reportToWire(r)); got != r {
		t.Errorf("report = %+v after a round trip", got)
	}
	tally := message.Tally{
		Pool: "p", Seq: 3, Waiting: true, Floor: 2, Rows: []fair.Row{{Account: "a", Service: 1, Lift: 2, Forgive: 3}},
		Foreign: []fair.ForeignRow{{From: fair.Reporter{ID: "r", Incarnation: 4}, Seq: 5, Row: fair.Row{Account: "b"}}},
	}
	if got := tallyFromWire(tallyToWire(7, tally)); !reflect.DeepEqual(got, tally) {
		t.Errorf("tally = %+v after a round trip", got)
	}
	inv := message.Inventory{Held: []message.GrantID{1, 2}, Adopt: []message.Adoption{{Grant: 1 << 63, Account: "a", Pool: "p", Target: "t", Charged: 1}}}
	if got := inventoryFromWire(inventoryToWire(inv)); !reflect.DeepEqual(got, inv) {
		t.Errorf("inventory = %+v after a round trip", got)
	}
}

// Otherwise a request that ended within the frame would count as lost, and its charge would stay at
// the estimate.
func TestReportsPrecedeInventories(t *testing.T) {
	sc := sched.New(sched.Options{Self: fair.Reporter{ID: "s", Incarnation: 1}})
	now := time.Unix(1_700_000_000, 0)
	sc.Step(now, sched.Configured{Pools: []sched.PoolSpec{{Name: "p"}}, Targets: []sched.TargetSpec{{Name: "t", Pool: "p", Slots: 1}}})
	now = now.Add(time.Second)
	actions := sc.Step(now, sched.DemandSeen{From: "e", Demand: message.Demand{Account: "a", Pool: "p", Count: 1, Cost: 50}})
	id := actions[0].(sched.GrantOut).Grant.ID
	f := &wire.Frame{
		Inventories: []*wire.Inventory{{}},
		Reports:     []*wire.Report{{Grant: uint64(id), Kind: uint32(message.ReportDone), Cost: 10}},
	}
	for _, ev := range schedulerEvents("e", f) {
		sc.Step(now.Add(time.Minute), ev)
	}
	if sc.Expired != 0 || sc.State(now).Grants != 0 {
		t.Fatalf("%d grants expired, %d left", sc.Expired, sc.State(now).Grants)
	}
}

// No frame from a peer may cause a panic or a negative cost.
func FuzzFrame(f *testing.F) {
	whole, err := proto.Marshal(&wire.Frame{
		Demands:     []*wire.Demand{{Account: "a", Pool: "p", Count: 1, Cost: 1}},
		Grants:      []*wire.Grant{{Id: 1, Account: "a"}},
		Reports:     []*wire.Report{{Grant: 1, Kind: 2, Cost: 3}},
		Inventories: []*wire.Inventory{{Held: []uint64{1}, Adopt: []*wire.Adoption{{Grant: 2}}}},
		Tallies:     []*wire.Tally{{Pool: "p", Rows: []*wire.Row{{Account: "a"}}, Foreign: []*wire.ForeignRow{{Id: "x"}}}},
		Heartbeat:   &wire.Heartbeat{From: &wire.Member{Id: "m", State: 1}, Rumors: []*wire.Member{{Id: "n", State: 9}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{0x3a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame := &wire.Frame{}
		if proto.Unmarshal(raw, frame) != nil {
			return
		}
		for _, d := range frame.Demands {
			if got := demandFromWire(d); got.Cost < 0 || got.Interactive > got.Count {
				t.Errorf("demand = %+v, want no negative cost and Interactive up to Count", got)
			}
		}
		for _, r := range frame.Reports {
			if got := reportFromWire(r); got.Cost < 0 {
				t.Errorf("report = %+v, want no negative cost", got)
			}
		}
		for _, g := range frame.Grants {
			_ = grantFromWire(g)
		}
		for _, inv := range frame.Inventories {
			_ = inventoryFromWire(inv)
		}
		for _, tally := range frame.Tallies {
			_ = tallyFromWire(tally)
		}
		if hb := frame.Heartbeat; hb != nil {
			_, _ = peerwire.MemberFromWire(hb.From)
			_ = peerwire.MembersFromWire(hb.Rumors)
		}
	})
}
