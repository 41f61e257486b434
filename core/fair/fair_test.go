// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fair

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Unix(1_700_000_000, 0)

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261202)
	p.MinSuccessfulTests = 200
	return p
}

// naiveMin is the O(n) queue: it looks at every account.
func naiveMin(keys map[string]float64) (lowest float64, ok bool) {
	for _, k := range keys {
		if !ok || k < lowest {
			lowest, ok = k, true
		}
	}
	return lowest, ok
}

func TestQueueAgainstNaive(t *testing.T) {
	props := gopter.NewProperties(parameters())
	props.Property("the queue has the naive queue's minimum", prop.ForAll(func(ops []int) bool {
		q, naive := NewQueue("salt"), map[string]float64{}
		for _, op := range ops {
			name := fmt.Sprintf("a%d", op%17)
			if op%5 == 0 {
				q.Remove(name)
				delete(naive, name)
			} else {
				q.Set(name, float64(op%101))
				naive[name] = float64(op % 101)
			}
			want, wantOK := naiveMin(naive)
			got, key, ok := q.Min()
			if ok != wantOK || ok && (key != want || naive[got] != want) || q.Len() != len(naive) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 10_000))))
	props.TestingRun(t)
}

type delivery struct {
	from Reporter
	seq  uint64
	row  Row
}

// Reports that are lost, doubled and reordered lead to the plain sum once the
// last report of each reporter has come.
func TestTallyAgainstPlainSum(t *testing.T) {
	props := gopter.NewProperties(parameters())
	props.Property("the ledger has the plain sum", prop.ForAll(func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		l, want := NewLedger(0), 0.0
		var all []delivery
		for r := range 4 {
			from, sum := Reporter{fmt.Sprintf("r%d", r), uint64(r)}, 0.0
			for seq := uint64(1); seq <= 10; seq++ {
				sum += rng.Float64()*10 - 1 // an estimate may be settled downwards
				all = append(all, delivery{from, seq, Row{Account: "alder", Service: sum}})
			}
			want += sum
		}
		last := make([]delivery, 0, 4)
		for _, d := range all {
			if d.seq == 10 {
				last = append(last, d)
			}
		}
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		kept := append(all[:len(all)/2], all[:len(all)/4]...) // lost and doubled
		for _, d := range append(kept, last...) {
			l.Merge(d.from, d.seq, d.row)
		}
		for _, d := range kept { // and late
			l.Merge(d.from, d.seq, d.row)
		}
		return math.Abs(l.VirtualService("alder")-want) < 1e-6
	}, gen.Int64()))
	props.TestingRun(t)
}

func noneRunning(string) float64 { return 0 }

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	l := NewLedger(0)
	l.Charge("busy", 1000)
	l.RaiseFloor(1000)
	l.BeginWaiting(epoch, "idle")
	if got := l.Level("idle"); got != 1000 {
		t.Fatalf("the newcomer stands at %v", got)
	}
	l.Settle(epoch.Add(time.Minute), time.Second, noneRunning)
	if got := l.VirtualService("idle"); got != 1000 {
		t.Fatalf("after settling it stands at %v", got)
	}
}

// A lift from stale counters was too high for good: service that others had
// given before came on top of it.
func TestLiftDoesNotCountServiceTwice(t *testing.T) {
	l := NewLedger(0)
	l.RaiseFloor(1000)
	l.BeginWaiting(epoch, "alder") // this scheduler has not heard of the others' 900 yet
	l.Merge(Reporter{"other", 1}, 1, Row{Account: "alder", Service: 900})
	l.Settle(epoch.Add(time.Minute), time.Second, noneRunning)
	if got := l.VirtualService("alder"); got != 1000 {
		t.Fatalf("stands at %v, not at the floor", got)
	}
}

func TestContinuousWaiterLosesNothing(t *testing.T) {
	l := NewLedger(0)
	l.Charge("alder", 500)
	l.RaiseFloor(400)
	l.BeginWaiting(epoch, "alder")
	l.Settle(epoch.Add(time.Minute), time.Second, noneRunning)
	if got := l.VirtualService("alder"); got != 500 {
		t.Fatalf("stands at %v", got)
	}
}

func TestDebtAfterRejoinIsBounded(t *testing.T) {
	l := NewLedger(100)
	l.RaiseFloor(50)
	l.Merge(Reporter{"far", 1}, 1, Row{Account: "alder", Service: 1e6})
	l.BeginWaiting(epoch, "alder")
	if got := l.VirtualService("alder"); got != 150 {
		t.Fatalf("the debt is %v over the floor", got-50)
	}
	// The same service is not counted again.
	l.Merge(Reporter{"far", 1}, 1, Row{Account: "alder", Service: 1e6})
	if got := l.VirtualService("alder"); got != 150 {
		t.Fatalf("counted twice: %v", got)
	}
}

func TestAccountsWithDifferentGainsMeetAtTheSameLevel(t *testing.T) {
	l := NewLedger(0)
	l.Charge("here", 5000)
	l.Charge("everywhere", 2000)
	for i := range 8 {
		from := Reporter{fmt.Sprintf("r%d", i), 1}
		l.Heard(from, 1)
		l.Merge(from, 1, Row{Account: "everywhere", Service: 375})
	}
	l.NextRound()
	l.Refer([]string{"here", "everywhere"})
	a, gainA := l.Key("here")
	b, gainB := l.Key("everywhere")
	if gainA != 1 || gainB >= 0.2 {
		t.Fatalf("gains %v and %v", gainA, gainB)
	}
	if a != b {
		t.Fatalf("at the same level the keys are %v and %v", a, b)
	}
}
