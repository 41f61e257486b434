// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"encoding/json"
	"net/http"
)

// transaction changes rows atomically if all rows of its conditions have the given versions. An
// absent row has version 0.
type transaction struct {
	Conditions []row `json:"expectedRev"`
	Put        []row `json:"put"`
	Delete     []row `json:"delete"`
}

// readOnlyTables are read-only for gateways; only the operator and the workers write them.
var readOnlyTables = map[string]bool{"op": true, "servers": true, "status": true}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range append(tx.Put, tx.Delete...) {
		if readOnlyTables[change.Table] {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	var differing []row
	for _, c := range tx.Conditions {
		if now := s.rows[c.Table+"/"+c.Key]; now.Ver != c.Ver {
			differing = append(differing, now)
		}
	}
	if len(differing) == 0 {
		for _, change := range tx.Put {
			s.apply(change)
		}
		for _, change := range tx.Delete {
			s.apply(row{Table: change.Table, Key: change.Key, Deleted: true})
		}
	}
	a := rowsAnswer{Rows: differing, Ver: s.ver}
	s.mu.Unlock()
	if len(differing) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	s.answer(w, a)
}
