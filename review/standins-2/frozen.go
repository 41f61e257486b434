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
	engineService = "assistant-llm"
	streamPath    = "/rota/"
	// Figures of rota-rebuild, and of a run at a stand-in.
	streamDeadline = 6 * time.Second
	streamGap      = 3200 * time.Millisecond // the longest of 2 s, four objectives and eight pauses
	streamEvents   = 40
	firstEvent     = 60 * time.Millisecond
	eventGap       = 100 * time.Millisecond
	// frozenFor is the length of the freeze, the most that the site's list of troubles allows.
	frozenFor = 4 * time.Second
	// releaseAfter is the time from the freeze to the start of the release.
	releaseAfter = time.Second
	streamsThere = 24 // streams of the machine that freezes
	minTakenUp   = 12 // the rule holds from this number of streams on
)

func rotaConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "rota-rebuild", "host": host, "pathPrefix": streamPath, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800, "priority": 1,
			"service": engineService, "maxAttempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 400,
		}},
		"services": []any{map[string]any{
			"name": engineService, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvTokens": 646546, "kvTokenBytes": 163840, "bandwidthMbps": 550000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
				"pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 300000},
		"tenants": []any{map[string]any{"name": "clinic", "apiKeys": []string{plainKey}, "priority": 1}},
	}
}

// frozen plays this: a machine freezes with streams under way that may be resumed. While it stands still,
// a release to another software version begins. Its clients give up and take their streams up again at the
// other machines.
func frozen(s *scene) int {
	st := newStore()
	st.put("op", "config", rotaConfig())
	zones := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	var engines []*engine
	for i := range 9 {
		e, err := newEngine(st, fmt.Sprintf("i-%da", i+1), engineService, zones[i%3], "v1", firstEvent, eventGap, streamEvents)
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
	s.note("ready: 3 machines, 9 workers at v1")
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var begun, first, takenUp []try
	var wait sync.WaitGroup
	ask := func(into *[]try, g *gateway, q streamRequest) try {
		t := askStream(g, streamPath, plainKey, q)
		mu.Lock()
		defer mu.Unlock()
		*into = append(*into, t)
		return t
	}
	stands := gateways[0]
	for i := range streamsThere {
		wait.Go(func() {
			q := streamRequest{id: fmt.Sprintf("there-%d", i), events: streamEvents, gap: streamGap, until: time.Now().Add(streamDeadline)}
			t := ask(&first, stands, q)
			if t.whole || t.last == 0 {
				return
			}
			q.resumes, q.after, q.id = q.id, t.last, q.id+"-again"
			ask(&takenUp, gateways[1+i%2], q)
		})
		time.Sleep(20 * time.Millisecond) // all at once would be a flood, which the gateway thins
	}
	time.Sleep(500 * time.Millisecond)
	frozenAt := time.Now()
	if s.trouble {
		process := stands.cmd.Process
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			s.note("no freeze: %v", err)
			return cannot
		}
		time.AfterFunc(frozenFor, func() { _ = process.Signal(syscall.SIGCONT) })
	}
	s.note("%s freezes for %v: %t", stands.name, frozenFor, s.trouble)
	time.Sleep(time.Until(frozenAt.Add(releaseAfter)))
	e, err := newEngine(st, "i-1b", engineService, zones[0], "v2", firstEvent, eventGap, streamEvents)
	if err != nil {
		s.note("no worker: %v", err)
		return cannot
	}
	engines = append(engines, e)
	s.note("release: worker i-1b at v2 is ready; 9 workers at v1 serve on")
	// New streams at the other machines, while the others are taken up again.
	for i := range 24 {
		wait.Go(func() {
			time.Sleep(time.Until(frozenAt.Add(2*time.Second + time.Duration(i)*100*time.Millisecond)))
			ask(&begun, gateways[1+i%2], streamRequest{id: fmt.Sprintf("new-%d", i), events: streamEvents, gap: streamGap, until: time.Now().Add(streamDeadline)})
		})
	}
	time.Sleep(500 * time.Millisecond)
	engines[0].drain()
	s.note("release: worker i-1a at v1 is draining; 8 workers at v1 serve on")
	wait.Wait()
	return judgeTakenUp(s, first, takenUp, begun, engines)
}

// judgeTakenUp checks LOST: of 12 or more streams that clients take up again at machines in touch, while two
// workers of their software version serve, the share that goes on is not under half of the share of new
// streams that begin. A stream goes on if its next event comes.
func judgeTakenUp(s *scene, first, takenUp, begun []try, engines []*engine) int {
	log := func(kind string, tries []try) (came int) {
		for _, t := range tries {
			if t.first > 0 {
				came++
			}
			s.note("%s: %s at %s at %.3f: status %d, Retry-After %q, events %d to %d, whole %t, after %v, %v", kind, t.id, t.gateway, s.since(t.at), t.status, t.retryAfter, t.first, t.last, t.whole, t.took.Round(time.Millisecond), t.err)
		}
		return came
	}
	log("first", first)
	goOn, begin := log("taken up again", takenUp), log("new", begun)
	for _, e := range engines {
		for _, r := range e.seen() {
			s.note("%s (%s) ran %s at %.3f after event %d: %d events, whole %t", e.name, r.software, r.id, s.since(r.at), r.after, r.events, r.whole)
		}
	}
	s.note("%d of %d streams that were taken up again went on; %d of %d new streams began", goOn, len(takenUp), begin, len(begun))
	if begin == 0 {
		return cannot
	}
	if len(takenUp) >= minTakenUp && 2*goOn*len(begun) < begin*len(takenUp) {
		return broken
	}
	return held
}
