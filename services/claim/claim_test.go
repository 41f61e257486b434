// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	core "madderway/core/claim"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/platform"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	os.Exit(m.Run())
}

// fakeTable is a table in memory. Commit blocks until gate is closed, so that groups build up.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	next        uint64
	groups      []int // rows of each transaction
	gate        chan struct{}
	lostAnswers int // transactions yet to take effect without an answer
}

func newFakeTable() *fakeTable {
	f := &fakeTable{rows: map[string]platform.Row{}, gate: make(chan struct{})}
	close(f.gate)
	return f
}

func (f *fakeTable) Commit(_ context.Context, tx platform.Tx) platform.TxResult {
	<-f.gate
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups = append(f.groups, len(tx.Puts))
	res := platform.TxResult{Outcome: platform.OutcomeOK}
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			res.Outcome = platform.OutcomeConflict
		}
	}
	if res.Outcome == platform.OutcomeConflict {
		for _, c := range tx.Conditions {
			row := f.rows[c.Key]
			row.Key = c.Key
			res.Rows = append(res.Rows, row)
		}
		return res
	}
	for _, p := range tx.Puts {
		f.next++
		f.rows[p.Key] = platform.Row{Key: p.Key, Version: f.next, Value: p.Value}
		res.Rows = append(res.Rows, f.rows[p.Key])
	}
	for _, k := range tx.Deletes {
		delete(f.rows, k)
	}
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return platform.TxResult{Outcome: platform.OutcomeUnknown}
	}
	return res
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []platform.Row
	for k, row := range f.rows {
		if strings.HasPrefix(k, prefix) && k > after && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}

func newService(t *testing.T, table platform.Table, c clock.Clock) *Service {
	t.Helper()
	var tb tomb.Tomb
	tb.Go(func() error {
		<-tb.Dying()
		return nil
	})
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return New(&tb, log.New("claim"), Options{
		Clock: c, Table: table, Timeout: time.Second, Retention: testRetention, IsDead: func(string, uint64) bool { return false },
	})
}

// testRetention is the retention of rows in the tests.
const testRetention = time.Hour

func rowOf(i int) core.Row { return core.Row{Attempt: fmt.Sprint("att-", i), Digest: "d"} }

// Guards against one conflicting row that fails the other claims of its transaction.
func TestGroupCommitIsolatesConflicts(t *testing.T) {
	const n = 40
	table := newFakeTable()
	table.gate = make(chan struct{})
	taken, err := json.Marshal(core.Row{State: core.StateDone, Attempt: "other", Digest: "d", Status: 200})
	if err != nil {
		t.Fatal(err)
	}
	table.rows[Key("alder", "7")] = platform.Row{Key: Key("alder", "7"), Version: 1, Value: taken}
	table.next = 1
	s := newService(t, table, clock.System{})
	outcomes := make([]Outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = s.Acquire(context.Background(), Key("alder", fmt.Sprint(i)), rowOf(i))
		}()
	}
	for s.writes.State().Length < n-committers*maxGroupRows && s.open.Load() < n {
		<-time.After(time.Millisecond)
	}
	close(table.gate)
	wg.Wait()
	for i, o := range outcomes {
		if (o.Grant != nil) != (i != 7) {
			t.Errorf("claim %d: granted %t, verdict %d", i, o.Grant != nil, o.Verdict)
		}
	}
	if o := outcomes[7]; o.Verdict != core.VerdictRecorded || o.Row.Status != 200 {
		t.Errorf("recorded key: got %+v, want the recorded answer", o)
	}
}

// Guards against a claim that is lost because the answer to its transaction was lost.
func TestUnknownOutcomeIsReadBack(t *testing.T) {
	table := newFakeTable()
	table.lostAnswers = 1
	s := newService(t, table, clock.System{})
	o := s.Acquire(context.Background(), Key("alder", "k"), rowOf(1))
	if o.Grant == nil {
		t.Fatalf("got verdict %d, want a grant", o.Verdict)
	}
	o.Grant.Record(core.Row{State: core.StateDone, Attempt: "att-1", Digest: "d", Status: 201})
	if !s.Wait(context.Background()) {
		t.Fatal("outcome was not recorded")
	}
	again := s.Acquire(context.Background(), Key("alder", "k"), rowOf(2))
	if again.Grant != nil || again.Verdict != core.VerdictRecorded || again.Row.Status != 201 {
		t.Fatalf("second call: got %+v, want the recorded answer", again)
	}
}

func TestSweepDeletesExpiredRowsOnly(t *testing.T) {
	c := clock.NewFake()
	table := newFakeTable()
	s := newService(t, table, c)
	for i, left := range []time.Duration{-time.Hour, time.Hour} {
		value, err := json.Marshal(core.Row{Attempt: fmt.Sprint(i), Expires: c.Now().Add(left)})
		if err != nil {
			t.Fatal(err)
		}
		key := Key("alder", fmt.Sprint(i))
		table.rows[key] = platform.Row{Key: key, Version: uint64(i + 1), Value: value}
	}
	if n := s.SweepOnce(); n != 1 {
		t.Fatalf("deleted %d rows, want 1", n)
	}
	if _, ok := table.rows[Key("alder", "1")]; !ok || len(table.rows) != 1 {
		t.Fatalf("%d rows left, want the unexpired one only", len(table.rows))
	}
}

// Guards against a call that runs twice because the claim of its first attempt was deleted by age while
// that attempt still ran.
func TestSweepKeepsClaimsOfCallsThatMayRun(t *testing.T) {
	c := clock.NewFake()
	s := newService(t, newFakeTable(), c)
	key, mine := Key("alder", "k"), rowOf(1)
	mine.Expires = c.Now().Add(time.Minute)
	first := s.Acquire(context.Background(), key, mine)
	if first.Grant == nil {
		t.Fatalf("first attempt: got verdict %d, want a grant", first.Verdict)
	}
	c.Advance(2 * time.Minute)
	s.SweepOnce()
	second := s.Acquire(context.Background(), key, rowOf(2))
	if second.Grant != nil || second.Verdict != core.VerdictUnknown {
		t.Errorf("second attempt while the first one runs: got verdict %d, granted %t, want unknown", second.Verdict, second.Grant != nil)
	}
	if s.SweepOnce() != 0 {
		t.Error("a claim whose outcome is unknown was deleted before its time")
	}
	c.Advance(testRetention)
	if n := s.SweepOnce(); n != 1 {
		t.Errorf("deleted %d rows after the retention, want 1", n)
	}
}
