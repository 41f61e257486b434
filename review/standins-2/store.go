// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswerTime is how long the platform's store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// row is a row of the store. Its history keeps deleted ones.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
}

// store is a stand-in of the platform's metadata store: linearizable, and nothing that it has
// acknowledged is lost.
type store struct {
	start time.Time
	// onRead is called once a read of a whole table is decided, before its answer is written.
	onRead func(gateway, table string)

	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	ver     uint64
	changed chan struct{} // closed and replaced on each change
}

func newStore() *store {
	return &store{start: time.Now(), onRead: func(string, string) {}, rows: map[rowName]row{}, changed: make(chan struct{})}
}

// listen serves one gateway and returns the address.
func (s *store) listen(gateway string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) { s.serveGet(gateway, w, r) })
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// put writes a row with a JSON value; what is returned is the time of the acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply(row{Table: table, Key: key, Value: content})
}

func (s *store) remove(table, key string) time.Time {
	return s.apply(row{Table: table, Key: key, Gone: true})
}

func (s *store) apply(rows ...row) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(rows)
	return time.Now()
}

func (s *store) applyLocked(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		name := rowName{r.Table, r.Part, r.Key}
		if r.Gone {
			delete(s.rows, name)
		} else {
			s.rows[name] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_ms"] = time.Since(s.start).Milliseconds() + 1
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) serveGet(gateway string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	found := []row{}
	s.mu.Lock()
	ver := s.ver
	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") {
			found = append(found, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.onRead(gateway, q.Get("table"))
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "more": false, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait)*time.Millisecond + storeAnswerTime)
	for {
		found := []row{}
		s.mu.Lock()
		ver, changed := s.ver, s.changed
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Ver > since {
				found = append(found, row)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": found, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Conditions []struct {
		rowName
		Ver uint64 `json:"ver"`
	} `json:"expectedRev"`
	Put []struct {
		rowName
		Value []byte `json:"value"`
	} `json:"put"`
	Delete []rowName `json:"delete"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Conditions {
		if s.rows[c.rowName].Ver != c.Ver {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.ver})
			return
		}
	}
	var rows []row
	for _, p := range tx.Put {
		rows = append(rows, row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range tx.Delete {
		if _, found := s.rows[d]; found {
			rows = append(rows, row{Table: d.Table, Part: d.Part, Key: d.Key, Gone: true})
		}
	}
	s.applyLocked(rows)
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}
