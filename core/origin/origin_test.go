// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderway/core/place"
	"madderway/models/routing"
)

var start = time.Unix(1_000_000, 0)

func record(k Key, sender, try uint32, software string) Record {
	return Record{Key: k, Sender: sender, Try: try, Software: software, At: start}
}

// Guards against a late message that replaces a newer record, and against a choice between two
// gateways that serve attempts of the same ID.
func TestLatestTryOfOneSenderHolds(t *testing.T) {
	for name, c := range map[string]struct {
		records   []Record
		want      string
		ambiguous bool
	}{
		"later try":                    {[]Record{record(1, 1, 1, "v1"), record(1, 1, 2, "v2")}, "v2", false},
		"earlier try comes late":       {[]Record{record(1, 1, 2, "v2"), record(1, 1, 1, "v1")}, "v2", false},
		"same version at two gateways": {[]Record{record(1, 1, 1, "v1"), record(1, 2, 1, "v1")}, "v1", false},
		"two versions at two gateways": {[]Record{record(1, 1, 1, "v1"), record(1, 2, 2, "v2")}, "v1", true},
	} {
		table := NewTable()
		for _, r := range c.records {
			table.Put(r)
		}
		if r, ambiguous, ok := table.Get(1); !ok || r.Software != c.want || ambiguous != c.ambiguous {
			t.Errorf("%s: got %+v, ambiguous %v, found %v", name, r, ambiguous, ok)
		}
	}
}

// Guards against a table that grows without bound, and against records that outlive their streams.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxRecords + 10 {
		r := record(Key(i), 1, 1, "v1")
		r.At = start.Add(time.Duration(i) * time.Millisecond)
		table.Put(r)
	}
	if table.Len() != maxRecords || table.Dropped() != 10 {
		t.Errorf("got %d records, %d dropped, want %d and 10", table.Len(), table.Dropped(), maxRecords)
	}
	table.Expire(start.Add(time.Second))
	if _, _, ok := table.Get(999); ok {
		t.Error("found a record older than the limit")
	}
	if _, _, ok := table.Get(1000); !ok {
		t.Error("a record within the limit is gone")
	}
	table.Expire(start.Add(time.Hour))
	if table.Len() != 0 {
		t.Errorf("got %d records after all have expired", table.Len())
	}
}

// Guards against sharing a stream's record twice, and against missing one that began before the
// versions differed.
func TestUnsharedRecordsOfAService(t *testing.T) {
	table := NewTable()
	table.PutLocal(record(1, 1, 1, "v1"), "s", false)
	table.PutLocal(record(2, 1, 1, "v1"), "other", false)
	if !table.PutLocal(record(3, 1, 1, "v1"), "s", true) {
		t.Error("a record is not to be shared, want it shared")
	}
	table.Put(record(4, 2, 1, "v1"))
	if got := table.Unshared("s"); len(got) != 1 || got[0].Key != 1 {
		t.Errorf("got %+v, want the record of stream 1", got)
	}
	if got := table.Unshared("s"); len(got) != 0 {
		t.Errorf("got %+v the second time, want none", got)
	}
	if !table.PutLocal(record(1, 1, 2, "v2"), "s", false) {
		t.Error("a later try of a shared record is not to be shared, want it shared")
	}
}

func listed(id, software string) *routing.Target {
	return &routing.Target{ID: id, Service: "s", Software: software}
}

// Guards against forgetting a version too early, whose streams would then be taken for streams of
// the version that is left.
func TestUnlistedVersionIsRemembered(t *testing.T) {
	const memory = 40 * time.Second
	v := NewVersions(time.Time{})
	v.Apply(start, []routing.TargetChange{{After: listed("a", "v1")}, {After: listed("b", "v1")}})
	if only, ok := v.Only("s"); !ok || only != "v1" || v.Mixed(start, "s", memory) {
		t.Errorf("got version %q, %v, mixed %v, want v1 only", only, ok, v.Mixed(start, "s", memory))
	}
	v.Apply(start, []routing.TargetChange{{Before: listed("a", "v1"), After: listed("a", "v2")}})
	if _, ok := v.Only("s"); ok || !v.Mixed(start, "s", memory) {
		t.Error("two versions are listed, want the service mixed")
	}
	gone := start.Add(time.Second)
	if changed := v.Apply(gone, []routing.TargetChange{{Before: listed("b", "v1")}}); !slices.Equal(changed, []string{"s"}) {
		t.Errorf("got changes in %v, want s", changed)
	}
	if !v.Mixed(gone.Add(memory-1), "s", memory) || v.Mixed(gone.Add(memory), "s", memory) {
		t.Error("want the service mixed for as long as the memory")
	}
	other := NewVersions(time.Time{})
	other.Apply(start, []routing.TargetChange{{After: listed("a", "v2")}})
	for _, u := range v.Unlisted(gone.Add(10 * time.Second)) {
		other.Learn(start, u)
	}
	if !other.Mixed(start.Add(29*time.Second), "s", memory) || other.Mixed(start.Add(30*time.Second), "s", memory) {
		t.Error("want what another gateway tells remembered for the rest of the time")
	}
}

func fleet(n, halls int) []place.Node {
	out := make([]place.Node, n)
	for i := range out {
		out[i] = place.Node{ID: fmt.Sprint("gateway-", i), DataHall: fmt.Sprint("hall-", i%halls)}
	}
	return out
}

// Guards against asking gateways that do not hold the record, also if the one that served the
// attempt is gone, and against replicas that share a data hall without need.
func TestHoldersIncludeReplicas(t *testing.T) {
	for _, n := range []int{2, 3, 9, 60, 985, 1970} {
		for _, halls := range []int{1, 2, 3, 5} {
			nodes := fleet(n, halls)
			for k := range Key(60) {
				sender, asker := nodes[int(k)%n], nodes[(int(k)+1)%n]
				replicas := Replicas(Keepers(nodes), sender.ID, k)
				without := slices.DeleteFunc(slices.Clone(nodes), func(node place.Node) bool { return node.ID == sender.ID })
				holders := append(Holders(Keepers(without), asker.ID, k), asker.ID)
				if slices.Contains(replicas, sender.ID) || len(replicas) != min(3, n-1) {
					t.Fatalf("%d gateways, stream %d: got replicas %v", n, k, replicas)
				}
				for _, id := range replicas {
					if !slices.Contains(holders, id) {
						t.Fatalf("%d gateways in %d halls, stream %d: replica %s is not among %v", n, halls, k, id, holders)
					}
				}
				if n >= 9 && halls >= 3 && hallsOf(nodes, replicas) != 3 {
					t.Fatalf("%d gateways, stream %d: replicas %v share a data hall", n, k, replicas)
				}
			}
		}
	}
}

func hallsOf(nodes []place.Node, ids []string) int {
	halls := map[string]bool{}
	for _, n := range nodes {
		if slices.Contains(ids, n.ID) {
			halls[n.DataHall] = true
		}
	}
	return len(halls)
}

// Guards against losing most records with half of the gateways, or many with a data hall.
func TestRecordsSurviveLossOfGateways(t *testing.T) {
	for _, n := range []int{9, 60, 985, 1970} {
		nodes := fleet(n, 3)
		half, hall := map[string]bool{}, map[string]bool{}
		for i, node := range nodes {
			half[node.ID] = place.Score(node.ID, 7)%2 == 0
			hall[node.ID] = i%3 == 0
		}
		lostWithHalf, lostWithHall := 0, 0
		const streams = 500
		for k := range Key(streams) {
			replicas := Replicas(Keepers(nodes), nodes[int(k)%n].ID, k)
			if !slices.ContainsFunc(replicas, func(id string) bool { return !half[id] }) {
				lostWithHalf++
			}
			if !slices.ContainsFunc(replicas, func(id string) bool { return !hall[id] }) {
				lostWithHall++
			}
		}
		if lostWithHalf > streams/4 || lostWithHall > 0 {
			t.Errorf("%d gateways: got %d of %d records lost with half of them, %d with a hall", n, lostWithHalf, streams, lostWithHall)
		}
	}
}

// Guards against a load of keepers, or a number of peers of each gateway, that grows like the fleet.
func TestKeepersGrowWithRootOfFleet(t *testing.T) {
	const streams = 10 // of each gateway
	busiest := map[int]int{}
	for _, n := range []int{9, 300, 985, 1970} {
		keepers := Keepers(fleet(n, 5))
		kept, peers := map[string]int{}, map[string]bool{}
		for g := range n {
			for i := range uint64(streams) {
				for _, id := range Replicas(keepers, fmt.Sprint("gateway-", g), Key(place.Score(fmt.Sprint(g), i))) {
					kept[id]++
					if g == 0 {
						peers[id] = true
					}
				}
			}
		}
		for _, records := range kept {
			busiest[n] = max(busiest[n], records)
		}
		t.Logf("%d gateways: %d keepers, the busiest keeps %d records, gateway 0 tells %d peers", n, len(keepers), busiest[n], len(peers))
		if len(peers) > 3*streams {
			t.Errorf("%d gateways: gateway 0 tells %d peers, want at most %d", n, len(peers), 3*streams)
		}
	}
	if ratio := float64(busiest[1970]) / float64(busiest[985]); ratio > 1.7 {
		t.Errorf("the busiest keeper has %.1f times the records in a fleet of twice the size, want less than 1.7", ratio)
	}
}

// Guards against a gateway that is the backup of many, or of none but its own data hall.
func TestBackupsAreSpread(t *testing.T) {
	for _, n := range []int{2, 9, 320, 1970} {
		nodes := fleet(n, 3)
		load, messages := map[string]int{}, 0
		for _, node := range nodes {
			ids := Backups(nodes, node.ID)
			if len(ids) != min(2, n-1) || slices.Contains(ids, node.ID) {
				t.Fatalf("%d gateways: got backups %v of %s, want two others", n, ids, node.ID)
			}
			if n > 2 && hallOf(nodes, ids[0]) == hallOf(nodes, ids[1]) {
				t.Errorf("%d gateways: both backups of %s are in one data hall", n, node.ID)
			}
			for _, id := range ids {
				load[id]++
				messages++
			}
		}
		busiest := 0
		for _, records := range load {
			busiest = max(busiest, records)
		}
		t.Logf("%d gateways: %d messages an interval, the busiest gets %d", n, messages, busiest)
		if busiest > 12 {
			t.Errorf("%d gateways: one is the backup of %d, want 12 at most", n, busiest)
		}
	}
}

func hallOf(nodes []place.Node, id string) string {
	i := slices.IndexFunc(nodes, func(n place.Node) bool { return n.ID == id })
	return nodes[i].DataHall
}

func BenchmarkReplicas(b *testing.B) {
	for _, n := range []int{9, 985, 1970} {
		keepers := Keepers(fleet(n, 5))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				Replicas(keepers, "gateway-1", Key(i))
			}
		})
	}
}

// Guards against asking a few gateways only where any may have a record, and all of a large fleet.
func TestWideHoldersAreAllOfSmallFleet(t *testing.T) {
	for _, n := range []int{1, 3, 40, MaxAsked, MaxAsked + 1, 1970} {
		nodes := fleet(n, 3)
		self, got := nodes[0].ID, WideHolders(nodes, Keepers(nodes), nodes[0].ID, 5)
		want := n - 1
		if n > MaxAsked {
			want = len(Holders(Keepers(nodes), self, 5))
		}
		if len(got) != want || slices.Contains(got, self) {
			t.Errorf("%d gateways: got %d without %s, want %d", n, len(got), self, want)
		}
	}
}
