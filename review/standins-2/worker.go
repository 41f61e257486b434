// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a worker, and what became of it.
type arrival struct {
	worker, id string
	at         time.Time
	status     int // 0 while the worker is at work, or if it ended first
}

// worker is a stand-in of a plain worker. It writes its entry to the store and takes it away as the
// pages say.
type worker struct {
	name, service, zone string
	born                int64
	work                time.Duration
	store               *store
	address             string
	server              *http.Server
	leaving             atomic.Bool

	mu       sync.Mutex
	arrivals []*arrival
}

func newWorker(s *store, name, service, zone string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, service: service, zone: zone, born: time.Now().UnixMilli(), work: work, store: s, address: l.Addr().String()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	w.write("ready")
	return w, nil
}

func (w *worker) write(state string) time.Time {
	return w.store.put("servers", w.name, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0,
		"seq": 1, "born": w.born,
	})
}

// drain states that the worker leaves, and returns the time of the store's acknowledgement.
func (w *worker) drain() time.Time {
	w.leaving.Store(true)
	return w.write("draining")
}

// end ends the worker: its entry goes and its connections break.
func (w *worker) end() {
	w.store.remove("servers", w.name)
	_ = w.server.Close()
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", w.name)
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.name {
		h.Set("Instance-Id", w.name)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{worker: w.name, id: id, at: time.Now()}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Response-Signature", "sig-"+w.name+"-"+id)
	_, _ = fmt.Fprintf(out, "done by %s: %s\n", w.name, id)
	w.mu.Lock()
	a.status = http.StatusOK
	w.mu.Unlock()
}

// seen returns a copy of what has arrived.
func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]arrival, len(w.arrivals))
	for i, a := range w.arrivals {
		out[i] = *a
	}
	return out
}
