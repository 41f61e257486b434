// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyMachines = 8
	deadlyWorkers  = 16
	workerIsBack   = 2 * time.Second
	comesAgain     = 4 * time.Second // longer than contactMs
	deadlyBody     = "crash the worker"
	soundBody      = "one sample"
	maxLate        = 3 // the rule's number of retries
)

// deadlyRuns counts the requests that reached the workers.
type deadlyRuns struct {
	mu      sync.Mutex
	at      []time.Time
	crashed []time.Time
}

// crashingWorker is a plain worker whose process ends when it begins to run a deadly request. It is back
// after some seconds, under its name.
type crashingWorker struct {
	name, zone, address string
	store               *store
	runs                *deadlyRuns

	mu     sync.Mutex
	server *http.Server // nil while it is down
}

func (w *crashingWorker) start() error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.store.put("servers", w.name, map[string]any{
		"service": bookingService, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// crash ends the worker's connections and its port. It reports false if it is down already.
func (w *crashingWorker) crash() bool {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server == nil {
		return false
	}
	go func() {
		_ = server.Close()
		time.Sleep(workerIsBack)
		_ = w.start()
	}()
	return true
}

func (w *crashingWorker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	if string(body) == deadlyBody {
		now := time.Now()
		crashed := w.crash()
		w.runs.mu.Lock()
		w.runs.at = append(w.runs.at, now)
		if crashed {
			w.runs.crashed = append(w.runs.crashed, now)
		}
		w.runs.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(15 * time.Millisecond)
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Response-Signature", "sig-"+w.name+"-"+id)
	_, _ = fmt.Fprintf(out, "done by %s: %s\n", w.name, id)
}

// deadly plays this: a request that crashes its worker comes three times at once at one machine, and some
// seconds later, with the workers back, once at each machine at the same time.
func deadly(s *scene) int {
	body := soundBody
	if s.trouble {
		body = deadlyBody
	}
	st, runs := newStore(), &deadlyRuns{}
	st.put("op", "config", bookingConfig())
	zones := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	for i := range deadlyWorkers {
		w := &crashingWorker{name: fmt.Sprintf("i-%da", i+1), zone: zones[i%3], address: freeAddress(), store: st, runs: runs}
		if err := w.start(); err != nil {
			s.note("no worker: %v", err)
			return cannot
		}
	}
	var gateways []*gateway
	for i := range deadlyMachines {
		address, err := st.listen(fmt.Sprint(i))
		if err != nil {
			s.note("no store: %v", err)
			return cannot
		}
		gateways = append(gateways, newGateway(fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3], address, s.dir))
	}
	defer func() {
		for _, g := range gateways {
			g.stop()
		}
	}()
	seeds := []string{gateways[0].peers, gateways[1].peers, gateways[2].peers}
	for _, g := range gateways {
		if err := g.start(s.program, seeds, true); err != nil {
			s.note("%s does not start: %v", g.name, err)
			return cannot
		}
	}
	for _, g := range gateways {
		if !g.awaitReady(10 * time.Second) {
			s.note("%s is not ready", g.name)
			return cannot
		}
	}
	s.note("ready: %d machines, %d workers", deadlyMachines, deadlyWorkers)
	time.Sleep(5 * time.Second)

	var all sync.WaitGroup
	c := newClients()
	send := func(g *gateway) {
		all.Go(func() {
			a := c.postBody(g, bookingPath, plainKey, body, deadline)
			s.note("%s at %s: status %d, signed %t, %v", a.id, a.gateway, a.status, a.signed, a.err)
		})
	}
	for range 3 {
		send(gateways[0])
	}
	all.Wait()
	time.Sleep(comesAgain)
	for _, g := range gateways {
		send(g)
	}
	all.Wait()
	return judgeDeadly(s, c, runs)
}

// judgeDeadly checks BUDGET: a request that crashes the workers that run it reaches workers in no more than
// three retries later than contactMs after it has crashed the third.
func judgeDeadly(s *scene, c *clients, runs *deadlyRuns) int {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	if !s.trouble {
		for _, a := range c.answers() {
			if !a.signed {
				s.note("a sound request was not served: %+v", a)
				return cannot
			}
		}
		return held
	}
	if len(runs.crashed) < 3 {
		s.note("%d workers crashed only", len(runs.crashed))
		return cannot
	}
	third, late := runs.crashed[2], 0
	for _, at := range runs.at {
		if at.Sub(third) > contact {
			late++
		}
	}
	var times []string
	for _, at := range runs.at {
		times = append(times, fmt.Sprintf("%.3f", s.since(at)))
	}
	s.note("the request reached workers at %s; the third crash was at %.3f; %d came later than contactMs after it, %d are allowed", strings.Join(times, ", "), s.since(third), late, maxLate)
	if late > maxLate {
		return broken
	}
	return held
}
