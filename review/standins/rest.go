package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	restSlots    = 3
	restTime     = 5 * time.Second // Retry-After of a refusal
	restSlack    = 500 * time.Millisecond
	restAllowed  = 2
	restInterval = 8 * time.Millisecond // between two requests of the clients
	restLength   = 30 * time.Second
)

// restingWorker works on restSlots requests at once. While it is full it turns requests away and wants
// rest, unless quiet is set: then it names no time.
type restingWorker struct {
	run   *run
	quiet bool

	mu         sync.Mutex
	busy       int
	from, till time.Time // of the current rest
	rests      []int     // requests in each rest, later than restSlack after its begin
}

// arrive counts a request and reports whether it is taken.
func (w *restingWorker) arrive(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.till) && now.Sub(w.from) > restSlack {
		w.rests[len(w.rests)-1]++
		w.run.note("attempt %s arrives %d ms into a rest of %v", attempt, now.Sub(w.from).Milliseconds(), restTime)
	}
	if w.busy < restSlots {
		w.busy++
		return true
	}
	if !w.quiet && !now.Before(w.till) {
		w.from, w.till = now, now.Add(restTime)
		w.rests = append(w.rests, 0)
		w.run.note("attempt %s is turned away: 503, Retry-After %v", attempt, restTime.Seconds())
	}
	return false
}

func (w *restingWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
}

// ServeHTTP implements http.Handler.
func (w *restingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set("Attempt-Id", attempt)
	if !w.arrive(attempt) {
		rw.Header().Set("Not-Executed", "1")
		if !w.quiet {
			rw.Header().Set("Retry-After", fmt.Sprint(int(restTime.Seconds())))
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	time.Sleep(time.Duration(700+rand.IntN(800)) * time.Millisecond)
	rw.Header().Set("Response-Signature", "i-booking-1."+attempt)
	_, _ = io.WriteString(rw, "done "+attempt)
}

// restCase sends more than one worker takes, which asks for rest while it is full.
func restCase(r *run) int {
	r.putBodiesConfig()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return r.fail("%v", err)
	}
	w := &restingWorker{run: r, quiet: !r.trouble}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	r.store.put("servers", "i-booking-1", map[string]any{
		"service": "booking-api", "address": l.Addr().String(), "zone": "abdali-hall", "version": "v1", "slots": restSlots, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err := r.startGateways(1); err != nil {
		return r.fail("%v", err)
	}
	time.Sleep(2 * time.Second)
	client := http.Client{Timeout: 4 * time.Second}
	end := time.Now().Add(restLength)
	for i := 0; time.Now().Before(end); i++ {
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+r.gateways[0].callers+"/slot/1", strings.NewReader("book"))
			req.Host = "counter.example"
			req.Header.Set("Attempt-Id", fmt.Sprintf("%08x", i))
			req.Header.Set("Authorization", "Bearer key-of-salon")
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
		time.Sleep(restInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.note("requests in each rest, later than %v after its begin: %v; allowed %d each", restSlack, w.rests, restAllowed)
	for _, n := range w.rests {
		if n > restAllowed {
			r.note("BUDGET is broken")
			return ruleBroken
		}
	}
	if r.trouble && len(w.rests) < 2 {
		return r.fail("the worker rested %d times", len(w.rests))
	}
	r.note("BUDGET held")
	return ruleHeld
}
