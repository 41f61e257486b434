// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"madderway/core/place"
	"madderway/services/engine"
)

const streamRetention = 30 * time.Second

// EngineConfig configures a stand-in for a model engine.
type EngineConfig struct {
	Name       string
	Slots      int           // concurrent streams; more are queued
	FirstToken time.Duration // time to the first token
	TokenGap   time.Duration // time between tokens
	LoadLag    time.Duration // maximum age of a load report
	CacheSize  int           // cached prompt prefixes
	// OnService, if set, is called with the uncached prompt tokens when a stream starts, and for
	// each output token.
	OnService func(account string, prompt, output int)
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	faultInjector
	cfg EngineConfig

	mu               sync.Mutex
	streams          map[string]*engineStream
	running          int
	waiting          []*engineStream
	peakLoad         int            // most streams running and queued at once
	runningByAccount map[string]int // running streams by account
	runs             map[string]int // started streams by request ID
	report           engine.LoadReport
	reportedAt       time.Time
	epoch            uint64
	orders           []engine.Order
	cache            []string
	events           []place.CacheEvent
	seq              uint64
	aborted          bool
}

type engineStream struct {
	id         string
	request    string
	account    string
	priority   int
	tokens     int
	prompt     int
	cached     int
	prefix     string
	start      chan struct{}
	canceled   chan struct{}
	cancelOnce sync.Once

	mu      sync.Mutex
	events  []string
	done    bool
	changed chan struct{}
}

// NewEngine returns an engine that rejects orders of a lower epoch.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, streams: map[string]*engineStream{}, runs: map[string]int{}, runningByAccount: map[string]int{}}
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

// Runs returns the number of streams started for a request ID.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Load returns the running and queued streams, and the peak of their sum.
func (e *Engine) Load() (running, waiting, peak int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting), e.peakLoad
}

// Abort cancels all streams, as if the machine were lost.
func (e *Engine) Abort() {
	e.mu.Lock()
	e.aborted = true
	streams := make([]*engineStream, 0, len(e.streams))
	for _, s := range e.streams {
		streams = append(streams, s)
	}
	e.mu.Unlock()
	for _, s := range streams {
		s.cancel()
	}
}

// Aborted reports whether Abort was called.
func (e *Engine) Aborted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.aborted
}

// RunningByAccount adds the running streams of each account to into.
func (e *Engine) RunningByAccount(into map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for account, n := range e.runningByAccount {
		into[account] += n
	}
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCache)
	mux.HandleFunc("POST /orders", e.serveOrder)
	return e.guard(mux)
}

// labBody is the part of a completion request that the engine reads. LabTokens sets the length of
// the answer; the routers ignore it.
type labBody struct {
	Model     string            `json:"model"`
	MaxTokens int               `json:"max_tokens"`
	LabTokens int               `json:"lab_tokens"`
	Messages  []json.RawMessage `json:"messages"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	if e.refuse(w) {
		return
	}
	raw, err := io.ReadAll(r.Body)
	var body labBody
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Messages) == 0 {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	s := e.newStream(r.Header, body, len(raw))
	e.enqueue(s)
	go e.generate(s)
	e.send(w, r, s, 0)
}

func (e *Engine) newStream(h http.Header, body labBody, size int) *engineStream {
	priority, _ := strconv.Atoi(h.Get(engine.HeaderPriority))
	tokens := body.LabTokens
	if tokens <= 0 {
		tokens = 16
	}
	if body.MaxTokens > 0 {
		tokens = min(tokens, body.MaxTokens)
	}
	return &engineStream{
		id: h.Get(engine.HeaderStreamID), request: h.Get(engine.HeaderRequest), account: h.Get(engine.HeaderAccount),
		priority: priority, tokens: tokens, prompt: size / 4, prefix: h.Get(engine.HeaderPrefix),
		start: make(chan struct{}), canceled: make(chan struct{}), changed: make(chan struct{}),
	}
}

// enqueue starts a stream, or queues it by priority if no slot is free.
func (e *Engine) enqueue(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[s.id] = s
	if e.running < e.cfg.Slots {
		e.begin(s)
	} else {
		at := len(e.waiting)
		for at > 0 && e.waiting[at-1].priority < s.priority {
			at--
		}
		e.waiting = append(e.waiting[:at], append([]*engineStream{s}, e.waiting[at:]...)...)
	}
	e.peakLoad = max(e.peakLoad, e.running+len(e.waiting))
}

func (e *Engine) begin(s *engineStream) {
	e.running++
	e.runningByAccount[s.account]++
	e.runs[s.request]++
	s.cached = e.cacheHit(s.prefix, s.prompt)
	e.serve(s.account, s.prompt-s.cached, 0)
	close(s.start)
}

func (e *Engine) serve(account string, prompt, output int) {
	if e.cfg.OnService != nil {
		e.cfg.OnService(account, prompt, output)
	}
}

// cacheHit caches the prefix and returns how many prompt tokens were cached already.
func (e *Engine) cacheHit(prefix string, prompt int) int {
	if prefix == "" {
		return 0
	}
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), p)
			return prompt * 3 / 4
		}
	}
	if e.cfg.CacheSize == 0 {
		return 0
	}
	if len(e.cache) >= e.cfg.CacheSize {
		e.publish(e.cache[0], false)
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	e.publish(prefix, true)
	return 0
}

func (e *Engine) publish(prefix string, stored bool) {
	e.seq++
	if gap := e.Faults().GapEvery; gap > 0 && e.seq%uint64(gap) == 0 {
		return
	}
	e.events = append(e.events, place.CacheEvent{Seq: e.seq, Prefix: prefix, Stored: stored})
	if len(e.events) > 1024 {
		e.events = e.events[512:]
	}
}

func (e *Engine) finish(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.runningByAccount[s.account]--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(next)
	}
	time.AfterFunc(streamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, s.id)
	})
}

func (e *Engine) stream(id string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.stream(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if s == nil || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.send(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.stream(r.PathValue("id")); s != nil {
		s.cancel()
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.cfg.LoadLag {
		e.report = engine.LoadReport{Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots}
		e.reportedAt = time.Now()
	}
	shown := e.report
	shown.Running = max(shown.Running+e.Faults().WrongLoad, 0)
	writeJSON(w, shown)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []place.CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq >= from {
			out = append(out, ev)
		}
	}
	writeJSON(w, out)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Order accepts an order unless its epoch is lower than one seen before.
func (e *Engine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Epoch < e.epoch {
		return fmt.Errorf("epoch %d is lower than %d", o.Epoch, e.epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	e.orders = append(e.orders, o)
	return nil
}
