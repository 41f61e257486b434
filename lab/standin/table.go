// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"madderway/services/platform"
)

// Table is a stand-in for the platform's transactional table.
type Table struct {
	faultInjector
	mu          sync.Mutex
	rows        map[string]platform.Row
	lastVersion uint64
	writes      uint64
	reads       uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]platform.Row{}} }

// Handler returns the table's HTTP API.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tx", t.serveTx)
	mux.HandleFunc("GET /v1/row", t.serveRow)
	mux.HandleFunc("GET /v1/rows", t.serveRows)
	return t.guard(mux)
}

func (t *Table) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx platform.Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.consume(func(f *Faults) *int { return &f.LateWrite }) {
		late := time.Duration(t.Faults().LateMS) * time.Millisecond
		time.AfterFunc(late, func() { t.Apply(tx) })
		abortConnection()
	}
	res := t.Apply(tx)
	if t.consume(func(f *Faults) *int { return &f.LoseAnswer }) {
		abortConnection()
	}
	if res.Outcome == platform.OutcomeConflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, res)
}

// Apply runs a transaction, or returns the current rows of its conditions if one does not hold.
func (t *Table) Apply(tx platform.Tx) platform.TxResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return t.conflict(tx)
		}
	}
	res := platform.TxResult{Outcome: platform.OutcomeOK}
	for _, p := range tx.Puts {
		t.lastVersion++
		t.writes++
		t.rows[p.Key] = platform.Row{Key: p.Key, Version: t.lastVersion, Value: p.Value}
		res.Rows = append(res.Rows, platform.Row{Key: p.Key, Version: t.lastVersion})
	}
	for _, key := range tx.Deletes {
		t.writes++
		delete(t.rows, key)
	}
	return res
}

func (t *Table) conflict(tx platform.Tx) platform.TxResult {
	res := platform.TxResult{Outcome: platform.OutcomeConflict}
	for _, c := range tx.Conditions {
		row := t.rows[c.Key]
		row.Key = c.Key
		res.Rows = append(res.Rows, row)
	}
	return res
}

func (t *Table) serveRow(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, t.Row(r.URL.Query().Get("key")))
}

// Row returns a row; an absent one has version 0.
func (t *Table) Row(key string) platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row := t.rows[key]
	row.Key = key
	return row
}

func (t *Table) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	writeJSON(w, t.Scan(q.Get("prefix"), q.Get("after"), limit))
}

// Scan returns up to limit rows with a key prefix and after a key, sorted by key.
func (t *Table) Scan(prefix, after string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows := []platform.Row{}
	for _, key := range keys[:min(limit, len(keys))] {
		rows = append(rows, t.rows[key])
	}
	return rows
}

// Counts returns the number of written rows and of reads.
func (t *Table) Counts() (writes, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}
