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

// row is a row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value"` // base64 in JSON
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// store is the platform's store, without quotas and faults.
type store struct {
	address string
	server  *http.Server
	began   time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), began: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: content})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Gone: true})
}

// apply applies a change; the caller holds mu.
func (s *store) apply(r row) {
	s.ver++
	r.Ver = s.ver
	if r.Gone {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "more": false, "ver": ver, "now_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var rows []row
	s.mu.Lock()
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		var rows []row
		s.mu.Lock()
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > since {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Put      []row `json:"put"`
		Delete   []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range append(tx.Put, tx.Delete...) {
		if change.Table == "op" || change.Table == "servers" || change.Table == "status" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	var differing []row
	for _, expected := range tx.Expected {
		if now := s.rows[expected.Table+"/"+expected.Key]; now.Ver != expected.Ver {
			differing = append(differing, now)
		}
	}
	status := http.StatusPreconditionFailed
	if len(differing) == 0 {
		status = http.StatusOK
		for _, change := range tx.Put {
			s.apply(change)
		}
		for _, change := range tx.Delete {
			change.Gone = true
			s.apply(change)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	s.answer(w, status, differing, ver)
}
