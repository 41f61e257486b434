// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a misbehaviour of a worker.
type Fault int

// Faults of a worker. FaultLost, FaultCut and FaultExtra spoil every second plain answer;
// FaultLost and FaultCut also every stream.
const (
	FaultNone     Fault = iota
	FaultSilent         // accepts requests and never answers
	FaultErrors         // answers every second request with 500
	FaultLost           // runs a request and loses its answer
	FaultCut            // closes the connection in the middle of an answer
	FaultExtra          // sends a second answer after the first
	FaultRefuse         // refuses all requests as not run
	FaultStall          // stops in the middle of a stream until the connection closes
	FaultStallNew       // like FaultStall, but serves streams that continue
)

// WorkerConfig configures a worker.
type WorkerConfig struct {
	Service     string
	Hall        string
	Software    string // version, "v1" if empty
	Listen      string // address with port 0, "127.0.0.1:0" if empty
	Fault       Fault  // at the start
	Slots       int
	Queue       int
	Model       bool
	PrefillRate float64       // prefill, in prompt tokens a second
	Step        time.Duration // duration of an event, or of a plain request
	// WorkOf returns the time for all of a request by its path, or 0 for Step. May be nil.
	WorkOf      func(path string) time.Duration
	CacheTokens int     // cache size in tokens
	CopyRate    float64 // transfer from another worker's cache, in tokens a second
	// PeerAt returns the worker at an address to copy cached parts from, or nil.
	PeerAt func(address string) *Worker
	// OnCrash, if set, is called after a request has crashed the worker.
	OnCrash func(w *Worker)
}

// cacheListPath serves the list of cached prompt parts.
const cacheListPath = "/-/kv-list"

// PoisonMarker in the path of a request crashes every worker that starts it.
const PoisonMarker = "ends-worker"

// PoisonPart is the ID of a part of a prompt that crashes every model worker that begins to answer a
// prompt with it, whatever else the request holds.
const PoisonPart = "bad0bad0"

// Worker is a stand-in for a model worker or a plain worker.
type Worker struct {
	ID          string
	incarnation int64 // start time in Unix milliseconds
	seed        uint64
	cfg         WorkerConfig
	store       *Store
	ledger      *Ledger
	rng         *rand.Rand

	listener net.Listener
	server   *http.Server

	mu            sync.Mutex
	fault         Fault
	answers       Answers
	leaving       bool
	state         string // state in its entry in the store
	crashed       bool
	retryAfter    string // Retry-After of refusals, or empty
	arrived       int    // requests, refused ones included
	cacheListings int    // listings of the cache
	running       int
	waiting       int
	freed         chan struct{}
	prefillEnd    time.Time      // end of the prefill of all prompts so far
	cached        map[string]int // cached prompt parts and their tokens
	lru           []string       // cached parts, least recently used first
	// The worker's hall is evacuated and every gateway knows it: no request may arrive.
	evacuated    bool
	cachedTokens int             // tokens in the cache
	reprefilled  int             // prefilled tokens of shared parts that had been cached before
	prefilled    int             // all prefilled tokens
	copies       int             // transfers from other workers
	copied       int             // tokens of these transfers
	everCached   map[string]bool // parts that have ever been cached
	started      int             // requests that started to run
}

// StartWorker starts a worker and writes its entry into the store.
func StartWorker(id string, cfg WorkerConfig, store *Store, ledger *Ledger, seed uint64) (*Worker, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	return startWorker(id, cfg, store, ledger, seed, cfg.Listen, time.Now().UnixMilli())
}

// Restart crashes the worker and starts a new incarnation under the same ID and address, with an
// empty cache.
func (w *Worker) Restart() (*Worker, error) { return w.Upgrade(w.cfg.Software) }

// Upgrade is like Restart; the new incarnation runs another version of the software.
func (w *Worker) Upgrade(software string) (*Worker, error) {
	w.Crash()
	cfg := w.cfg
	cfg.Software = software
	return startWorker(w.ID, cfg, w.store, w.ledger, w.seed+1, w.listener.Addr().String(), max(time.Now().UnixMilli(), w.incarnation+1))
}

func startWorker(id string, cfg WorkerConfig, store *Store, ledger *Ledger, seed uint64, address string, incarnation int64) (*Worker, error) {
	if cfg.Software == "" {
		cfg.Software = "v1"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, incarnation: incarnation, seed: seed, cfg: cfg, fault: cfg.Fault, store: store, ledger: ledger, rng: rand.New(rand.NewPCG(seed, 1)), listener: l,
		freed: make(chan struct{}), cached: map[string]int{}, everCached: map[string]bool{},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.writeEntry("ready")
	return w, nil
}

// rewriteEntry writes the worker's entry again, unless it has crashed.
func (w *Worker) rewriteEntry() {
	w.mu.Lock()
	state, crashed := w.state, w.crashed
	w.mu.Unlock()
	if !crashed {
		w.writeEntry(state)
	}
}

func (w *Worker) writeEntry(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.store.Put("servers", w.ID, map[string]any{
		"service": w.cfg.Service, "address": w.listener.Addr().String(), "zone": w.cfg.Hall, "version": w.cfg.Software,
		"slots": w.cfg.Slots, "state": state, "coldRemainingMs": 0, "seq": 1, "born": w.incarnation,
	})
}

// SetFault sets the worker's fault.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetEvacuated sets whether the worker's hall is evacuated, during which each request is a
// violation.
func (w *Worker) SetEvacuated(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = on
}

func (w *Worker) isEvacuated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evacuated
}

// Drain announces in the worker's entry and answers that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.writeEntry("draining")
}

// Stop ends the worker and deletes its entry.
func (w *Worker) Stop() {
	w.Crash()
	w.store.Delete("servers", w.ID)
}

// Crash ends the worker and leaves its entry unchanged.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crashed = true
	w.mu.Unlock()
	_ = w.server.Close()
}

// crashDelay is the time that a request runs before it crashes its worker.
const crashDelay = 20 * time.Millisecond

// crashUnder crashes the worker while it runs a request, and aborts everything that runs there.
func (w *Worker) crashUnder(r *http.Request) {
	if pause(r, crashDelay) {
		w.Crash()
		if w.cfg.OnCrash != nil {
			w.cfg.OnCrash(w)
		}
	}
	panic(http.ErrAbortHandler)
}

// Prefilled returns the prefilled tokens: those of shared parts that had been cached before, and
// all.
func (w *Worker) Prefilled() (again, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reprefilled, w.prefilled
}

// Copied returns the number of transfers from other workers' caches and their tokens.
func (w *Worker) Copied() (copies, tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copies, w.copied
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	isRequest := r.URL.Path != cacheListPath
	if isRequest && r.Header.Get("Expect-Instance") != w.ID {
		rw.Header().Set("Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.announce(rw, isRequest)
	if !isRequest {
		w.serveCacheList(rw)
		return
	}
	if w.framedAnswers().BreakOff == BreakInUpload && r.ContentLength >= minUpload {
		w.writeEarly(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !w.admit(r) {
		w.refuse(rw)
		return
	}
	defer w.release()
	if w.isEvacuated() {
		w.ledger.AddViolation("worker %s in the evacuated %s got a request", w.ID, w.cfg.Hall)
	}
	w.ledger.AddRun(w.ID, r.Header.Get("Attempt-Id"), r, body)
	w.run(rw, r, body)
}

// admit waits for a slot. It returns false if the queue is full or the caller disconnects.
func (w *Worker) admit(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == FaultRefuse || w.waiting >= w.cfg.Queue {
		return false
	}
	for w.running >= w.cfg.Slots {
		freed := w.freed
		w.waiting++
		w.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		w.waiting--
		if r.Context().Err() != nil {
			return false
		}
	}
	w.running++
	return true
}

func (w *Worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	close(w.freed)
	w.freed = make(chan struct{})
}

func (w *Worker) run(rw http.ResponseWriter, r *http.Request, body []byte) {
	if strings.Contains(r.URL.Path, PoisonMarker) {
		w.crashUnder(r)
	}
	w.mu.Lock()
	fault := w.fault
	w.started++
	everySecond := w.started%2 == 0
	w.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	switch {
	case fault == FaultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == FaultErrors && everySecond:
		w.setHeaders(rw, id, "")
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, "failed")
		return
	}
	if w.cfg.Model {
		w.stream(rw, r, id, fault)
		return
	}
	if !pause(r, w.step(r, 1)) {
		panic(http.ErrAbortHandler)
	}
	w.plain(rw, id, body, fault, everySecond)
}

func (w *Worker) setHeaders(rw http.ResponseWriter, id, content string) {
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Signature", Signature(w.ID, id, content))
}

// PlainBody returns the answer of a plain worker.
func PlainBody(id string, request []byte) string {
	return fmt.Sprintf("answer to %s with %d bytes", id, len(request))
}

func (w *Worker) plain(rw http.ResponseWriter, id string, request []byte, fault Fault, everySecond bool) {
	body := PlainBody(id, request)
	if fault == FaultLost && everySecond {
		panic(http.ErrAbortHandler)
	}
	if (fault == FaultExtra || fault == FaultCut) && everySecond {
		w.writeBroken(rw, id, body, fault)
		return
	}
	w.setHeaders(rw, id, body)
	if a := w.framedAnswers(); a.areOwn() {
		a.write(w, rw, body)
		return
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

// writeBroken writes an answer twice (FaultExtra) or only half of it (FaultCut).
func (w *Worker) writeBroken(rw http.ResponseWriter, id, body string, fault Fault) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, Signature(w.ID, id, body), len(body), body)
	if fault == FaultCut {
		text = text[:len(text)-len(body)/2]
		_, _ = io.WriteString(conn, text)
		return
	}
	_, _ = io.WriteString(conn, text+text)
	_, _ = io.Copy(io.Discard, conn)
}

// hasPart reports whether a prompt has a shared part.
func hasPart(prompt, id string) bool {
	parts := strings.Split(prompt, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return strings.HasPrefix(part, id+":") })
}

// stream prefills the prompt, then sends the events after Last-Event-Id.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id string, fault Fault) {
	if !pause(r, w.copyCached(r.Header.Get("Kv-Fetch"), r.Header.Get("Prompt-Prefix"))) || !pause(r, w.prefill(r.Header.Get("Prompt-Prefix"))) {
		panic(http.ErrAbortHandler)
	}
	if hasPart(r.Header.Get("Prompt-Prefix"), PoisonPart) {
		w.crashUnder(r)
	}
	content, from := continuedStream(r)
	events := Events(content)
	w.setHeaders(rw, id, "")
	if a := w.framedAnswers(); a.areOwn() {
		a.write(w, rw, streamBody(content, w.cfg.Software, from))
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(rw)
	step := w.step(r, events)
	for n := from + 1; n <= events; n++ {
		if fault == FaultCut && n > events/2 {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: half", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if (fault == FaultStall || fault == FaultStallNew && from == 0) && n > events/2 {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, EventData(content, w.cfg.Software, n, events))
		if fault == FaultLost && n == 1 || flusher.Flush() != nil || !pause(r, step) {
			panic(http.ErrAbortHandler)
		}
	}
}

// continuedStream returns the ID whose stream a request asks for, and the event after which it goes on.
func continuedStream(r *http.Request) (id string, after int) {
	after, _ = strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	return cmp.Or(r.Header.Get("Resumes"), r.Header.Get("Attempt-Id")), after
}

// Signature returns a worker's signature of an answer.
func Signature(worker, id, content string) string {
	return fmt.Sprintf("%s.%x", worker, hash(worker+"/"+id+"/"+content))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return h.Sum64()
}

// pause waits for a duration. It returns false if the caller disconnects first.
func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
