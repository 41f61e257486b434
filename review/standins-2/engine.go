// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a stream's run at an engine.
type run struct {
	engine, id, software string
	after                int // the event after which it goes on, 0 for a new stream
	at                   time.Time
	events               int
	whole                bool
}

// engine is a stand-in of a model worker: it answers a request with a stream of events.
type engine struct {
	name, service, zone, software string
	first, gap                    time.Duration
	events                        int
	address                       string
	born                          int64
	store                         *store
	leaving                       atomic.Bool

	mu   sync.Mutex
	runs []*run
}

func newEngine(s *store, name, service, zone, software string, first, gap time.Duration, events int) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		name: name, service: service, zone: zone, software: software, first: first, gap: gap, events: events, address: l.Addr().String(),
		born: time.Now().UnixMilli(), store: s,
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(e.serve)) }()
	e.write("ready")
	return e, nil
}

func (e *engine) write(state string) {
	e.store.put("servers", e.name, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": 64, "state": state, "coldRemainingMs": 0,
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1, "born": e.born,
	})
}

// drain states that the engine leaves. It serves on.
func (e *engine) drain() {
	e.leaving.Store(true)
	e.write("draining")
}

func (e *engine) serve(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health":
		h.Set("Instance-Id", e.name)
		return
	case "/-/kv-list":
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(out, `{"epoch":1,"nextPageToken":1,"held":[]}`)
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	a := &run{engine: e.name, id: id, software: e.software, after: after, at: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, a)
	e.mu.Unlock()
	h.Set("Response-Signature", "sig-"+e.name+"-"+id)
	h.Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	for i := after; i < e.events; i++ {
		pause := e.gap
		if i == after {
			pause = e.first
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d, made at %s\n\n", i+1, i+1, e.software); err != nil || flusher.Flush() != nil {
			return
		}
		e.mu.Lock()
		a.events++
		e.mu.Unlock()
	}
	e.mu.Lock()
	a.whole = true
	e.mu.Unlock()
}

func (e *engine) seen() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.runs))
	for i, a := range e.runs {
		out[i] = *a
	}
	return out
}
