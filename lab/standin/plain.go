// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"madderway/services/engine"
)

// PlainConfig configures a stand-in for a plain service.
type PlainConfig struct {
	Name     string
	Slots    int
	Duration time.Duration // duration of each call
	LoadLag  time.Duration
	// OnRun, if set, is called after each call.
	OnRun func(account string, took time.Duration)
}

// Plain is a stand-in for a plain service. It echoes request bodies and counts runs, so that
// forbidden repetitions show.
type Plain struct {
	faultInjector
	cfg   PlainConfig
	slots chan struct{}

	mu         sync.Mutex
	running    int
	peakLoad   int            // most calls running and waiting at once
	runsByKey  map[string]int // runs by account and idempotency key
	runsByID   map[string]int // runs by request ID
	report     engine.LoadReport
	reportedAt time.Time
}

// NewPlain returns a plain service without faults.
func NewPlain(cfg PlainConfig) *Plain {
	return &Plain{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runsByKey: map[string]int{}, runsByID: map[string]int{}}
}

// Handler returns the service's HTTP API.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", p.serveLoad)
	mux.HandleFunc("/", p.serveCall)
	return p.guard(mux)
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	if p.refuse(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.enter()
	defer p.leave()
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	p.run(r)
	if p.consume(func(f *Faults) *int { return &f.LoseAnswer }) {
		abortConnection()
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	fmt.Fprintf(w, "%s ran %s %s: %s", p.cfg.Name, r.Method, r.URL.Path, body)
}

func (p *Plain) run(r *http.Request) {
	p.mu.Lock()
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		p.runsByKey[r.Header.Get(engine.HeaderAccount)+"/"+key]++
	}
	p.runsByID[r.Header.Get(engine.HeaderRequest)]++
	p.mu.Unlock()
	time.Sleep(p.cfg.Duration)
	if p.cfg.OnRun != nil {
		p.cfg.OnRun(r.Header.Get(engine.HeaderAccount), p.cfg.Duration)
	}
}

func (p *Plain) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.peakLoad = max(p.peakLoad, p.running)
}

func (p *Plain) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Plain) serveLoad(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.reportedAt) >= p.cfg.LoadLag {
		p.report = engine.LoadReport{Running: p.running, Slots: p.cfg.Slots}
		p.reportedAt = time.Now()
	}
	writeJSON(w, p.report)
}

// RunsByKey returns the number of runs by "account/idempotency key".
func (p *Plain) RunsByKey() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runsByKey))
	for k, n := range p.runsByKey {
		out[k] = n
	}
	return out
}

// Runs returns the number of runs of a request ID.
func (p *Plain) Runs(requestID string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByID[requestID]
}

// Load returns the calls that run or wait, and their peak.
func (p *Plain) Load() (running, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.peakLoad
}
