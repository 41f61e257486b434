// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// Figures of a run at a stand-in: the time until its first event, and of its events.
	ghostFirst  = 500 * time.Millisecond
	ghostGap    = 50 * time.Millisecond
	ghostEvents = 10
	// stoppedFor is the length of the freeze, of the 4 s that the site's list of troubles allows.
	stoppedFor = 2 * time.Second
	// recoverIn is recoverS of the site.
	recoverIn = 12 * time.Second
	afterward = 6 * time.Second // for which requests are counted
	askEach   = 250 * time.Millisecond
)

// ghosts plays this for each of three machines in turn: a machine freezes while another one has requests
// under way. The other one gets a few more requests in the freeze and none after it; the clients go on at
// the two others, the one that froze among them. Nothing else is disturbed.
func ghosts(s *scene) int {
	st := newStore()
	st.put("op", "config", rotaConfig())
	zones := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	var engines []*engine
	for i, zone := range zones {
		e, err := newEngine(st, fmt.Sprintf("i-%da", i+1), engineService, zone, "v1", ghostFirst, ghostGap, ghostEvents)
		if err != nil {
			s.note("no worker: %v", err)
			return cannot
		}
		engines = append(engines, e)
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
	s.note("ready: 3 machines, 3 workers")
	time.Sleep(4 * time.Second)
	status := held
	for i := range gateways {
		result := s.ghostRound(gateways[i], gateways[(i+1)%3], gateways[(i+2)%3], engines)
		if result == cannot {
			return cannot
		}
		status = max(status, result)
	}
	return status
}

// ghostRound freezes one machine while another has requests under way.
func (s *scene) ghostRound(frozen, other, third *gateway, engines []*engine) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	last := 0
	ask := func(into *[]try, g *gateway, what string) {
		mu.Lock()
		last++
		id := fmt.Sprintf("%s-%s-%d", frozen.name, what, last)
		mu.Unlock()
		wait.Go(func() {
			t := askStream(g, streamPath, plainKey, streamRequest{id: id, events: ghostEvents, gap: streamGap, alone: true, until: time.Now().Add(streamDeadline)})
			mu.Lock()
			defer mu.Unlock()
			*into = append(*into, t)
		})
	}
	var before, under, after []try
	for i := range 12 { // each machine in turn, before the trouble
		ask(&before, []*gateway{frozen, other, third}[i%3], "before")
		time.Sleep(askEach)
	}
	wait.Wait()
	for range 9 {
		ask(&under, other, "under-way")
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if s.trouble {
		process := frozen.cmd.Process
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			s.note("no freeze: %v", err)
			return cannot
		}
		time.AfterFunc(stoppedFor, func() { _ = process.Signal(syscall.SIGCONT) })
	}
	stoppedAt := time.Now()
	s.note("%s freezes for %v: %t; %s has requests under way", frozen.name, stoppedFor, s.trouble, other.name)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		ask(&under, other, "in-freeze")
	}
	back := stoppedAt.Add(stoppedFor)
	time.Sleep(time.Until(back.Add(recoverIn)))
	for i := range int(afterward / askEach) {
		ask(&after, []*gateway{frozen, third}[i%2], "after")
		time.Sleep(askEach)
	}
	wait.Wait()
	for _, tries := range [][]try{before, under, after} {
		for _, t := range tries {
			s.note("%s at %s at %.3f: status %d, Retry-After %q, events %d to %d, whole %t, after %v, %v", t.id, t.gateway, s.since(t.at), t.status, t.retryAfter, t.first, t.last, t.whole, t.took.Round(time.Millisecond), t.err)
		}
	}
	wereServed, areServed := served(before), served(after)
	s.note("%s: %d of %d requests served before, %d of %d more than %v after its return", frozen.name, wereServed, len(before), areServed, len(after), recoverIn)
	if 4*wereServed < len(before) {
		return cannot
	}
	if 4*areServed < len(after) {
		return broken
	}
	return held
}

func served(tries []try) (n int) {
	for _, t := range tries {
		if t.whole {
			n++
		}
	}
	return n
}
