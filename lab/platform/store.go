// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package platform runs real gateways over loopback against a stand-in of the users' platform:
// a store, model workers, plain workers, an operator and clients. It injects faults and checks
// that no guarantee is violated, such as that a request that must not be repeated runs once.
package platform

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"tlsKey"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`
}

// StoreMode is the store's behaviour towards a gateway.
type StoreMode int

// Modes of the store.
const (
	StoreServes      StoreMode = iota
	StoreBusy                  // answers 503
	StoreSilent                // never answers
	StoreSlow                  // answers late
	StoreSlowWorkers           // answers late where the workers are read, by a random time
)

const (
	storeDelay = 300 * time.Millisecond
	pageLimit  = 500
)

// Store holds versioned rows and serves a feed of changes. Each gateway has its own listener, so
// that faults can be limited to some gateways.
type Store struct {
	mu        sync.Mutex
	rows      map[string]row // by table and key
	history   []row
	compacted uint64 // history up to this version is compacted
	ver       uint64
	changed   chan struct{} // closed and replaced on each change
	modes     map[string]StoreMode
	calls     int
	start     time.Time
	era       uint64         // incremented when the store is restored from a snapshot
	snapshot  *storeSnapshot // for Restore
	servers   []*http.Server
}

// storeSnapshot is a snapshot of a store.
type storeSnapshot struct {
	rows map[string]row
	ver  uint64
}

// Snapshot takes a snapshot of the store, for Restore.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = &storeSnapshot{maps.Clone(s.rows), s.ver}
}

// Restore restores the last snapshot and starts a new era. Versions assigned since the snapshot
// are assigned again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.ver, s.history, s.compacted = maps.Clone(s.snapshot.rows), s.snapshot.ver, nil, s.snapshot.ver
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeEra sets the header with the store's era.
func (s *Store) writeEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]row{}, changed: make(chan struct{}), modes: map[string]StoreMode{}, start: time.Now()}
}

// Listen opens a listener for a gateway and returns its address.
func (s *Store) Listen(gateway string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	server := &http.Server{Handler: s.guard(gateway, mux), ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close closes all listeners.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// SetMode sets the mode for a gateway, or for all if gateway is empty.
func (s *Store) SetMode(gateway string, m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[gateway] = m
}

func (s *Store) mode(gateway string) StoreMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if m := s.modes[""]; m != StoreServes {
		return m
	}
	return s.modes[gateway]
}

func (s *Store) guard(gateway string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode := s.mode(gateway)
		s.writeEra(w)
		switch mode {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case StoreSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case StoreSlow:
			time.Sleep(storeDelay)
		case StoreSlowWorkers:
			if r.URL.Query().Get("table") == "servers" {
				time.Sleep(rand.N(storeDelay))
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Put writes a row with a JSON value.
func (s *Store) Put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // own types always encode
	}
	s.write(row{Table: table, Key: key, Value: content})
}

// Delete deletes a row.
func (s *Store) Delete(table, key string) { s.write(row{Table: table, Key: key, Deleted: true}) }

func (s *Store) write(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(r)
}

// apply writes or deletes a row under the next version. The caller holds s.mu.
func (s *Store) apply(r row) {
	s.ver++
	r.Ver = s.ver
	if r.Deleted {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history of changes, so that old feed positions get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.ver
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type rowsAnswer struct {
	Rows []row  `json:"rows"`
	More bool   `json:"more"`
	Ver  uint64 `json:"ver"`
	Now  int64  `json:"now_ms"`
}

func (s *Store) answer(w http.ResponseWriter, a rowsAnswer) {
	a.Now = time.Since(s.start).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	s.writeEra(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = pageLimit
	}
	s.mu.Lock()
	a := rowsAnswer{Ver: s.ver}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	s.answer(w, a)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.compacted || since > s.ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := rowsAnswer{Ver: s.ver}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > since {
				a.Rows = append(a.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			s.answer(w, a)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
