// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"madderway/handlers/operator"
	"madderway/lab/standin"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/config"
)

func (f *Fleet) document(t *testing.T) *conf.Document {
	t.Helper()
	reply, err := f.Client(f.Live()[0]).Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return reply.Document
}

// Of two concurrent changes to the same version, one succeeds and the other gets a conflict. A
// lost answer to the write of the head row must not apply a change twice.
func TestConcurrentConfigChangesConflict(t *testing.T) {
	f := newSmallFleet(t, 2, time.Millisecond)
	d := f.document(t)
	base := uint64(1)
	type outcome struct {
		receipt config.Receipt
		err     error
	}
	results := make(chan outcome, 2)
	for i, n := range f.Nodes() {
		go func() {
			r, err := f.Client(n).Apply(context.Background(), operator.ApplyRequest{Document: d, Author: n.ID, Operation: fmt.Sprint("race-", i), Base: &base})
			results <- outcome{r, err}
		}()
	}
	won, lost := 0, 0
	for range 2 {
		o := <-results
		if o.err == nil && o.receipt.State == config.StateInForce {
			won++
		} else if e, ok := result.FromError(o.err); ok && e.Code == result.ConfigConflict && strings.Contains(e.Detail, "version 1") {
			lost++
		} else {
			t.Errorf("got %+v, %v", o.receipt, o.err)
		}
	}
	if won != 1 || lost != 1 {
		t.Fatalf("%d succeeded, %d conflicted, want 1 and 1", won, lost)
	}
	f.Table.SetFaults(standin.Faults{LoseAnswer: 1})
	first, err := f.Apply(context.Background(), d, "lost-answer")
	if err != nil || first.Version != 3 {
		t.Fatalf("%+v, %v", first, err)
	}
	again, err := f.Apply(context.Background(), d, "lost-answer")
	if err != nil || again.Version != 3 {
		t.Fatalf("repeated operation: got %+v, %v, want version 3", again, err)
	}
}

// A change stays pending and names a router that is partitioned from its peers; once the router
// rejoins, the change is active everywhere.
func TestChangePendingWhileRouterPartitioned(t *testing.T) {
	f := newSmallFleet(t, 3, time.Millisecond)
	far := f.Nodes()[2]
	f.Partition(far, true)
	d := f.document(t)
	d.Accounts[0].MaxQueued = 7
	r, err := f.Apply(context.Background(), d, "while-cut")
	if err != nil {
		t.Fatal(err)
	}
	// The router still reads the head row and may have applied the change, but without its
	// confirmation the change must not be reported as active.
	if r.State != config.StatePending || len(r.Missing) != 1 || r.Missing[0].Router != far.ID {
		t.Fatalf("got %+v", r)
	}
	waitFor(t, "the partitioned router follows the head row", func() bool {
		reply, err := f.Client(far).Get(context.Background())
		return err == nil && reply.Version == r.Version
	})
	f.Partition(far, false)
	waitFor(t, "the change is active everywhere", func() bool {
		s, err := f.Client(f.Nodes()[0]).Status(context.Background())
		return err == nil && s.State == config.StateInForce
	})
}
