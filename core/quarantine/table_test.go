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

// killTargets records the death of targets under a request, a minute apart.
func killTargets(t *quarantine.Table, id quarantine.Identity, targets ...string) time.Time {
	now := start
	for _, target := range targets {
		now = now.Add(time.Minute)
		t.TargetDied(now, id, target, now.Add(-time.Second))
	}
	return now
}

// Guards against a poison request that is not refused, or never again sent.
func TestStandingRisesWithDeaths(t *testing.T) {
	table, id := quarantine.New(), request(1)
	f := id.Fingerprint()
	want := []quarantine.Standing{quarantine.Suspect, quarantine.OnTrial, quarantine.Quarantined}
	var now time.Time
	for i, w := range want {
		now = start.Add(time.Duration(i+1) * time.Minute)
		table.TargetDied(now, id, fmt.Sprint("t", i), now.Add(-time.Second))
		if got, _ := table.Standing(now, f); got != w {
			t.Fatalf("after %d deaths: got %v, want %v", i+1, got, w)
		}
	}
	_, hold := table.Standing(now, f)
	if got, _ := table.Standing(now.Add(hold-1), f); got != quarantine.Quarantined {
		t.Errorf("just before the end of the hold time: got %v, want quarantined", got)
	}
	if got, _ := table.Standing(now.Add(hold), f); got != quarantine.OnTrial {
		t.Errorf("after the hold time: got %v, want on_trial", got)
	}
	table.Succeeded(now.Add(hold), f)
	if got, _ := table.Standing(now.Add(hold), f); got != quarantine.Unsuspected {
		t.Errorf("after a success: got %v, want unsuspected", got)
	}
}

// Guards against a poison request that keeps killing targets after each hold time.
func TestHoldTimeGrowsWithDeaths(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1", "t2", "t3")
	deaths := 3
	for day := start.Add(30 * 24 * time.Hour); now.Before(day); deaths++ {
		_, hold := table.Standing(now, id.Fingerprint())
		now = now.Add(hold)
		if hold == 0 {
			t.Fatal("request is not refused")
		}
		table.TargetDied(now, id, fmt.Sprint("again", deaths), now.Add(-time.Millisecond))
	}
	if deaths > 45 {
		t.Errorf("%d targets died in thirty days, want at most 45", deaths)
	}
}

// Guards against blaming a request for a death before it was sent, for a mass death, or twice
// for the same death.
func TestUnrelatedDeathsDoNotCount(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1")
	table.TargetDied(now.Add(time.Millisecond), id, "t1", now.Add(-time.Second))
	if got, _ := table.Standing(now, id.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("one death reported twice: got %v, want suspect", got)
	}
	late := request(2)
	if _, counted := table.TargetDied(now.Add(2*time.Millisecond), late, "t1", now.Add(time.Millisecond)); counted {
		t.Error("a death counts against a request that was sent after it")
	}
	now = now.Add(time.Hour)
	suspects := 0
	for i := range 20 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if _, ok := table.TargetDied(at, request(10+i), fmt.Sprint("hall", i), now.Add(-time.Second)); ok {
			suspects++
		}
	}
	if suspects > 2 {
		t.Errorf("loss of a data hall counts against %d requests, want at most 2", suspects)
	}
}

// Guards against a request that crashes several targets at once and is taken for their neighbor in a lost
// data hall, so that it is sent again.
func TestCopiesOfOneRequestAreNoMassDeath(t *testing.T) {
	table, id := quarantine.New(), request(1)
	for i, target := range []string{"t1", "t2", "t3", "t4"} {
		at := start.Add(time.Duration(i) * time.Millisecond)
		if _, counted := table.TargetDied(at, id, target, start.Add(-time.Second)); !counted {
			t.Errorf("the death of %s does not count", target)
		}
	}
	if got, _ := table.Standing(start.Add(time.Second), id.Fingerprint()); got != quarantine.Quarantined {
		t.Errorf("got %v after four deaths under one request, want quarantined", got)
	}
	// A request with two earlier deaths at a data hall that is lost.
	table, id = quarantine.New(), request(2)
	now := killTargets(table, id, "t1", "t2").Add(time.Minute)
	for i := range 10 {
		table.TargetDied(now, request(10+i), fmt.Sprint("hall", i), now.Add(-time.Second))
	}
	if _, counted := table.TargetDied(now, id, "hall9", now.Add(-time.Second)); counted {
		t.Error("the loss of a data hall counts against a request that is on trial")
	}
}

// Guards against ignoring the death of a restarted worker that kept its target ID.
func TestRestartedTargetCountsAgain(t *testing.T) {
	table, id := quarantine.New(), request(1)
	killTargets(table, id, "t1", "t1", "t1")
	if got, _ := table.Standing(start.Add(3*time.Minute), id.Fingerprint()); got != quarantine.Quarantined {
		t.Errorf("after three deaths of one worker: got %v, want quarantined", got)
	}
}

// Guards against an account that evicts the records of others, or its own strongest ones.
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
		t.Errorf("got %d records of two accounts, want at most 65", n)
	}
	if got, _ := table.Standing(now, mine.Fingerprint()); got != quarantine.Quarantined {
		t.Errorf("quarantined request: got %v", got)
	}
	if got, _ := table.Standing(now, other.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("request of another account: got %v, want suspect", got)
	}
}

func TestRecordsExpire(t *testing.T) {
	table, id := quarantine.New(), request(1)
	now := killTargets(table, id, "t1", "t2", "t3")
	table.Expire(now.Add(time.Minute))
	if !table.Knows(id.Outline()) || table.Digest() == 0 {
		t.Error("record expired too early")
	}
	table.Expire(now.Add(24 * time.Hour))
	if table.Knows(id.Outline()) || table.Len() != 0 || table.Digest() != 0 {
		t.Error("record, outline or digest left after a day")
	}
}

// Guards against malformed or expired records of other gateways.
func TestInvalidRecordsIgnored(t *testing.T) {
	table := quarantine.New()
	long := make([]byte, 1000)
	many := make([]quarantine.Death, 100)
	for i := range many {
		many[i] = quarantine.Death{Target: fmt.Sprint(i), At: start}
	}
	for name, r := range map[string]quarantine.Record{
		"no deaths":           {Account: "a"},
		"no target":           {Deaths: []quarantine.Death{{At: start}}},
		"a long target":       {Deaths: []quarantine.Death{{Target: string(long), At: start}}},
		"a long account":      {Account: string(long), Deaths: []quarantine.Death{{Target: "t", At: start}}},
		"many deaths":         {Deaths: many},
		"death in the future": {Deaths: []quarantine.Death{{Target: "t", At: start.Add(time.Hour)}}},
		"expired":             {Deaths: []quarantine.Death{{Target: "t", At: start.Add(-48 * time.Hour)}}},
	} {
		if _, changed := table.Merge(start, r); changed || table.Len() != 0 {
			t.Errorf("invalid record accepted: %s", name)
		}
	}
}

// Guards against tables that differ after all gateways have exchanged their records.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("tables converge", prop.ForAll(func(seed uint64) bool {
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
