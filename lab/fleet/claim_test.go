// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"madderway/lab/standin"
	"madderway/models/result"
)

// A key sent to all routers at once runs only once, even if the table loses answers after the
// write or applies writes late.
func TestKeyedCallRunsOnceWithLostAnswers(t *testing.T) {
	f := newSmallFleet(t, 3, time.Millisecond)
	for round, faults := range []standin.Faults{{}, {LoseAnswer: 2}, {LateWrite: 2, LateMS: 300}, {LoseAnswer: 1, LateWrite: 1, LateMS: 100}} {
		f.Table.SetFaults(faults)
		key := fmt.Sprintf("key-%d", round)
		var wg sync.WaitGroup
		var mu sync.Mutex
		bodies := map[string]int{}
		for _, n := range f.Nodes() {
			for range 2 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					resp, answer := send(t, n, "POST", "/services/samples/submit", "alder", key, "box 7")
					mu.Lock()
					defer mu.Unlock()
					if resp.StatusCode == 200 {
						bodies[string(answer)]++
					}
				}()
			}
		}
		wg.Wait()
		if runs := f.Plains["samples-1"].RunsByKey()["alder/"+key]; runs != 1 {
			t.Errorf("round %d: ran %d times, want 1", round, runs)
		}
		if len(bodies) != 1 {
			t.Errorf("round %d: got %d different answers, want 1", round, len(bodies))
		}
	}
}

// When a service runs a call and its answer is lost, every later call with the same key gets
// OutcomeUnknown and does not run.
func TestLostAnswerOfServiceStaysUnknown(t *testing.T) {
	f := newSmallFleet(t, 2, time.Millisecond)
	f.Plains["samples-1"].SetFaults(standin.Faults{LoseAnswer: 1})
	for _, n := range f.Nodes() {
		_, answer := send(t, n, "POST", "/services/samples/submit", "alder", "k", "box 7")
		if e := errorOf(t, answer); e.Code != result.OutcomeUnknown || e.Ran != result.RanUnknown {
			t.Errorf("%s: got %+v, want OutcomeUnknown", n.ID, e)
		}
	}
	if runs := f.Plains["samples-1"].RunsByKey()["alder/k"]; runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
	_, answer := send(t, f.Nodes()[0], "POST", "/services/samples/submit", "alder", "k", "another box")
	if e := errorOf(t, answer); e.Code != result.KeyReused {
		t.Errorf("same key with another body: got %+v, want KeyReused", e)
	}
}

// A call that its target refuses as not run is retried and runs at most once.
func TestRefusedCallRunsOnce(t *testing.T) {
	f := newSmallFleet(t, 1, time.Millisecond)
	f.Plains["samples-1"].SetFaults(standin.Faults{Refuse: 1})
	resp, answer := send(t, f.Nodes()[0], "POST", "/services/samples/submit", "alder", "k", "box 7")
	runs := f.Plains["samples-1"].RunsByKey()["alder/k"]
	switch {
	case resp.StatusCode == 200 && runs == 1:
	case resp.StatusCode != 200 && errorOf(t, answer).Ran == result.RanNo && runs == 0:
	default:
		t.Fatalf("got status %d %s, ran %d times", resp.StatusCode, answer, runs)
	}
}

// A slow table delays only keyed calls; the same call at two routers still runs once.
func TestSlowTableDelaysOnlyKeyedCalls(t *testing.T) {
	f := newSmallFleet(t, 2, time.Millisecond)
	f.Table.SetFaults(standin.Faults{DelayMS: 150})
	var wg sync.WaitGroup
	for _, n := range f.Nodes() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if resp, answer := send(t, n, "POST", "/services/samples/submit", "alder", "slow", "box 7"); resp.StatusCode != 200 {
				t.Errorf("%s: got status %d %s", n.ID, resp.StatusCode, answer)
			}
		}()
	}
	if resp, answer := send(t, f.Nodes()[0], "POST", "/v1/chat/completions", "birch", "", chatBody(5, false)); resp.StatusCode != 200 {
		t.Errorf("completion: got status %d %s", resp.StatusCode, answer)
	}
	wg.Wait()
	if runs := f.Plains["samples-1"].RunsByKey()["alder/slow"]; runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
}
