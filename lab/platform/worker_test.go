// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// A worker copies uncached parts from the given worker up to the first part that is not cached
// there, and prefills the rest.
func TestWorkerCopiesCachedParts(t *testing.T) {
	cfg := WorkerConfig{Model: true, Slots: 4, Queue: 4, PrefillRate: 1000, CopyRate: 10_000, CacheTokens: 10_000}
	source := &Worker{cfg: cfg, cached: map[string]int{}, everCached: map[string]bool{}}
	cfg.PeerAt = func(address string) *Worker {
		if address == "source" {
			return source
		}
		return nil
	}
	w := &Worker{cfg: cfg, cached: map[string]int{}, everCached: map[string]bool{}}
	source.prefill("a:1000,b:500")
	if took := w.copyCached("gone", "a:1000,b:500,c:100"); took != 0 {
		t.Errorf("copy from an unknown worker took %v, want 0", took)
	}
	if took := w.copyCached("source", "a:1000,c:100,b:500"); took != 100*time.Millisecond {
		t.Errorf("the copy took %v, want 100ms for 1000 tokens at 10,000 a second", took)
	}
	if copies, tokens := w.Copied(); copies != 1 || tokens != 1000 {
		t.Errorf("got %d copies of %d tokens, want 1 of 1000", copies, tokens)
	}
	if took := w.copyCached("source", "a:1000"); took != 0 {
		t.Errorf("copy of a cached part took %v, want 0", took)
	}
	w.prefill("a:1000,b:500,c:100")
	if again, all := w.Prefilled(); again != 0 || all != 600 {
		t.Errorf("%d tokens prefilled, %d of them again, want 600 and 0", all, again)
	}
}

// A transaction must be atomic, and must not write the tables of the operator and the workers.
func TestTransactionIsAtomic(t *testing.T) {
	s := NewStore()
	address, err := s.Listen("g")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	send := func(body string) int {
		resp, err := http.Post("http://"+address+"/-/rows-tx", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	create := `{"expectedRev":[{"table":"t","tlsKey":"a","ver":0}],"put":[{"table":"t","tlsKey":"a","value":"eA=="},{"table":"t","tlsKey":"b","value":"eQ=="}]}`
	if status := send(create); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if status := send(create); status != http.StatusPreconditionFailed {
		t.Errorf("status %d for a row that exists, want 412", status)
	}
	if status := send(`{"put":[{"table":"op","tlsKey":"config","value":"eA=="}]}`); status != http.StatusForbidden {
		t.Errorf("status %d for a write to the operator's row, want 403", status)
	}
	if status := send(`{"delete":[{"table":"t","tlsKey":"a"}]}`); status != http.StatusOK || len(s.rows) != 1 {
		t.Errorf("status %d, rows %v, want 200 and one row", status, s.rows)
	}
}
