// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	mixedWorkers = 5 // of 9; the site's largest share of garble is 0.6
	crashStreams = 180
	promptGroups = 9
)

// unframed plays this: one in twenty streams of some workers comes with neither a length nor chunks. One of
// these workers crashes while streams run there.
func unframed(s *scene) int {
	st := newStore()
	st.put("op", "config", rotaConfig())
	zones := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	var workers []*workerProcess
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	for i := range 9 {
		w, err := startWorkerProcess(st, fmt.Sprintf("i-%da", i+1), zones[i%3], streamEvents, i < mixedWorkers)
		if err != nil {
			s.note("no worker: %v", err)
			return cannot
		}
		workers = append(workers, w)
	}
	var gateways []*gateway
	for _, zone := range zones {
		address, err := st.listen(zone)
		if err != nil {
			s.note("no store: %v", err)
			return cannot
		}
		gateways = append(gateways, newGateway("front-"+zone+"-1", zone, address, s.dir))
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
	s.note("ready: 3 machines, 9 workers, each a process")
	time.Sleep(5 * time.Second)

	tries := make([]try, crashStreams)
	var wait sync.WaitGroup
	for i := range tries {
		wait.Go(func() {
			q := streamRequest{id: fmt.Sprintf("s-%d", i), events: streamEvents, gap: streamGap, until: time.Now().Add(streamDeadline), part: uint32(i % promptGroups)}
			tries[i] = askStream(gateways[i%3], streamPath, plainKey, q)
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Second)
	busiest := workers[0]
	for _, w := range workers[:mixedWorkers] {
		if w.runs() > busiest.runs() {
			busiest = w
		}
	}
	s.note("worker %s, with %d streams, crashes: %t", busiest.name, busiest.runs(), s.trouble)
	if s.trouble {
		busiest.kill()
	}
	wait.Wait()
	return judgeWhole(s, tries, workers)
}

// judgeWhole checks ORDER: no stream ends as complete before its last piece.
func judgeWhole(s *scene, tries []try, workers []*workerProcess) int {
	early, whole := 0, 0
	for _, t := range tries {
		ends := "broken off"
		switch {
		case t.whole:
			ends = "whole"
			whole++
		case t.err == nil && t.status == http.StatusOK:
			ends = "as complete, before its last piece"
			early++
		case t.status != http.StatusOK:
			ends = "refused"
		}
		at := ""
		for _, w := range workers {
			if framing, event := w.ran(t.id); framing != "" {
				at += fmt.Sprintf(" %s to event %d, framing %s;", w.name, event, framing)
			}
		}
		s.note("%s at %s: status %d, events %d to %d of %d, ends %s, %v; ran at%s", t.id, t.gateway, t.status, t.first, t.last, streamEvents, ends, t.err, at)
	}
	s.note("%d of %d streams ended as complete before their last piece; %d are whole", early, len(tries), whole)
	if whole == 0 {
		return cannot
	}
	if early > 0 {
		return broken
	}
	return held
}
