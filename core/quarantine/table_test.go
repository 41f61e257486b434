// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"madderway/core/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func request(n int) quarantine.Identity {
	return quarantine.Identity{Account: "a", Method: "POST", Host: "h", URI: "/p", Body: fmt.Appendf(nil, "%08d", n)}
}

// killTargets ends targets under a request, a minute apart.
func killTargets(t *quarantine.Table, id quarantine.Identity, targets ...string) time.Time {
	now := start
	for _, target := range targets {
		now = now.Add(time.Minute)
		t.TargetDied(now, id, target, now.Add(-time.Second))
	}
	return now
}

// Each end raises the standing; three refuse the request, for as long as is told, and a run
// that goes through clears it.
func TestStandingRisesWithDeaths(t *testing.T) {
	table, id := quarantine.New(), request(1)
	f := id.Fingerprint()
	want := []quarantine.Standing{quarantine.Suspect, quarantine.OnTrial, quarantine.Quarantined}
	var now time.Time
	for i, w := range want {
		now = start.Add(time.Duration(i+1) * time.Minute)
		table.TargetDied(now, id, fmt.Sprint("t", i), now.Add(-time.Second))
		if got, _ := table.Standing(now, f); got != w {
			t.Fatalf("after %d ends: %v, want %v", i+1, got, w)
		}
	}
	_, hold := table.Standing(now, f)
	if got, _ := table.Standing(now.Add(hold-1), f); got != quarantine.Quarantined {
		t.Errorf("%v right before its time is over", got)
	}
	if got, _ := table.Standing(now.Add(hold), f); got != quarantine.OnTrial {
		t.Errorf("%v when its time is over, want one try", got)
	}
	table.Succeeded(now.Add(hold), f)
	if got, _ := table.Standing(now.Add(hold), f); got != quarantine.Unsuspected {
		t.Errorf("%v after it went through", got)
	}
}

// A request that is tried again when its time is over costs a target ever less often.
func TestHoldTimeGrowsWithDeaths(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1", "t2", "t3")
	ends := 3
	for day := start.Add(30 * 24 * time.Hour); now.Before(day); ends++ {
		_, hold := table.Standing(now, id.Fingerprint())
		now = now.Add(hold)
		if hold == 0 {
			t.Fatal("it is not refused")
		}
		table.TargetDied(now, id, fmt.Sprint("again", ends), now.Add(-time.Millisecond))
	}
	if ends > 45 {
		t.Errorf("%d targets ended in thirty days", ends)
	}
}

// Nobody is accused by a target that had ended before the request was sent, by a target that
// ended together with others, or twice by the same end.
func TestUnrelatedDeathsDoNotCount(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1")
	table.TargetDied(now.Add(time.Millisecond), id, "t1", now.Add(-time.Second))
	if got, _ := table.Standing(now, id.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("one end counts as %v", got)
	}
	late := request(2)
	if _, accused := table.TargetDied(now.Add(2*time.Millisecond), late, "t1", now.Add(time.Millisecond)); accused {
		t.Error("a request was accused that was sent after the target had ended")
	}
	now = now.Add(time.Hour)
	accused := 0
	for i := range 20 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if _, ok := table.TargetDied(at, request(10+i), fmt.Sprint("hall", i), now.Add(-time.Second)); ok {
			accused++
		}
	}
	if accused > 2 {
		t.Errorf("%d requests were accused by a data hall that was lost", accused)
	}
}

// A worker that starts again under its name and ends again is another end, also where the
// gateway has not heard of its new life.
func TestRestartedTargetCountsAgain(t *testing.T) {
	table, id := quarantine.New(), request(1)
	killTargets(table, id, "t1", "t1", "t1")
	if got, _ := table.Standing(start.Add(3*time.Minute), id.Fingerprint()); got != quarantine.Quarantined {
		t.Errorf("%v after three ends of one worker", got)
	}
}

// One account that sends many such requests pushes out its own records, the weakest first,
// and none of another account.
func TestTableIsBoundedByAccount(t *testing.T) {
	table := quarantine.New()
	mine := request(1)
	now := killTargets(table, mine, "t1", "t2", "t3")
	other := quarantine.Identity{Account: "b", URI: "/q"}
	now = now.Add(time.Minute)
	table.TargetDied(now, other, "x", now.Add(-time.Second))
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		table.TargetDied(now, request(100+i), fmt.Sprint("t", i), now.Add(-time.Millisecond))
	}
	if n := table.Len(); n > 65 {
		t.Errorf("%d records of two accounts", n)
	}
	if got, _ := table.Standing(now, mine.Fingerprint()); got != quarantine.Quarantined {
		t.Errorf("the quarantined request is %v", got)
	}
	if got, _ := table.Standing(now, other.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("the request of another account is %v", got)
	}
}

// What is over is forgotten, with its outline.
func TestRecordsExpire(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1", "t2", "t3")
	table.Expire(now.Add(time.Minute))
	if !table.Knows(id.Outline()) || table.Digest() == 0 {
		t.Error("forgotten too early")
	}
	table.Expire(now.Add(24 * time.Hour))
	if table.Knows(id.Outline()) || table.Len() != 0 || table.Digest() != 0 {
		t.Error("never forgotten")
	}
}

// Records that cannot be, or are over, change nothing.
func TestInvalidRecordsIgnored(t *testing.T) {
	table := quarantine.New()
	long := make([]byte, 1000)
	many := make([]quarantine.Death, 100)
	for i := range many {
		many[i] = quarantine.Death{Target: fmt.Sprint(i), At: start}
	}
	for name, r := range map[string]quarantine.Record{
		"no ends":        {Account: "a"},
		"no target":      {Deaths: []quarantine.Death{{At: start}}},
		"a long target":  {Deaths: []quarantine.Death{{Target: string(long), At: start}}},
		"a long account": {Account: string(long), Deaths: []quarantine.Death{{Target: "t", At: start}}},
		"many ends":      {Deaths: many},
		"the future":     {Deaths: []quarantine.Death{{Target: "t", At: start.Add(time.Hour)}}},
		"long ago":       {Deaths: []quarantine.Death{{Target: "t", At: start.Add(-48 * time.Hour)}}},
	} {
		if _, news := table.Merge(start, r); news || table.Len() != 0 {
			t.Errorf("a record with %s was taken", name)
		}
	}
}

// Whatever the order in which gateways hear of ends and of runs that went through, once each
// has heard all of the others they have the same digest and the same standings.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("tables agree", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := make([]*quarantine.Table, 3+rng.IntN(4))
		for i := range tables {
			tables[i] = quarantine.New()
		}
		now := start
		for range 30 {
			now = now.Add(400 * time.Millisecond)
			table, id := tables[rng.IntN(len(tables))], request(rng.IntN(4))
			if rng.IntN(8) == 0 {
				table.Succeeded(now, id.Fingerprint())
				continue
			}
			table.TargetDied(now, id, fmt.Sprint("t", rng.IntN(6)), now.Add(-100*time.Millisecond))
		}
		return convergeAfterExchange(tables, now, rng)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func convergeAfterExchange(tables []*quarantine.Table, now time.Time, rng *rand.Rand) bool {
	for range 2 {
		for _, i := range rng.Perm(len(tables)) {
			for _, j := range rng.Perm(len(tables)) {
				for _, r := range tables[i].Shared(now) {
					tables[j].Merge(now, r)
				}
			}
		}
	}
	for _, table := range tables {
		if table.Digest() != tables[0].Digest() {
			return false
		}
	}
	return true
}
