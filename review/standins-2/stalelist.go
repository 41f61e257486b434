// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"sync"
	"time"
)

const (
	bookingService = "booking-api"
	bookingPath    = "/slots/confirm"
	// cutFor is the length of the partition, of the 5.5 s that the site's list of troubles allows.
	cutFor = 800 * time.Millisecond
	// drainAfter is the time from the read of the list to the worker's statement that it leaves.
	drainAfter = 100 * time.Millisecond
	// lastsFor is how long the leaving worker serves on: drainMs "plus a little longer".
	lastsFor = 4300 * time.Millisecond
	workTime = 600 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

func bookingConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "slot-confirm", "host": host, "pathPrefix": "/slots/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 800, "priority": 2,
			"service": bookingService, "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": bookingService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 300000},
		"tenants":  []any{map[string]any{"name": "clinic", "apiKeys": []string{plainKey}, "priority": 1}},
	}
}

// staleList plays this: a machine is added. Its first read of the list of workers is on its way back when the
// machine is partitioned from the store for less than a second. Meanwhile a worker states that it drains.
// The machine hears that from its peers at once. After the partition the older answer arrives.
func staleList(s *scene) int {
	st := newStore()
	st.put("op", "config", bookingConfig())
	var workers []*worker
	for i, zone := range []string{"abdali-hall", "sweileh-hall", "marka-hall"} {
		w, err := newWorker(st, []string{"i-1a", "i-2b", "i-3c"}[i], bookingService, zone, workTime)
		if err != nil {
			s.note("no worker: %v", err)
			return cannot
		}
		workers = append(workers, w)
	}
	leaver := workers[2]

	var gateways []*gateway
	links := map[string]*link{}
	for i, zone := range []string{"abdali-hall", "sweileh-hall", "marka-hall"} {
		name := []string{"front-abdali-hall-1", "front-sweileh-hall-1", "front-marka-hall-1"}[i]
		address, err := st.listen(name)
		if err != nil {
			s.note("no store: %v", err)
			return cannot
		}
		links[name] = newLink(address)
		store, err := links[name].listen()
		if err != nil {
			s.note("no link: %v", err)
			return cannot
		}
		gateways = append(gateways, newGateway(name, zone, store, s.dir))
	}
	added := gateways[2]
	seeds := []string{gateways[0].peers, gateways[1].peers}
	defer func() {
		for _, g := range gateways {
			g.stop()
		}
	}()
	for _, g := range gateways[:2] {
		if err := g.start(s.program, seeds, true); err != nil {
			s.note("%s does not start: %v", g.name, err)
			return cannot
		}
	}
	for _, g := range gateways[:2] {
		if !g.awaitReady(10 * time.Second) {
			s.note("%s is not ready", g.name)
			return cannot
		}
	}
	s.note("ready: %s, %s; workers i-1a, i-2b, i-3c", gateways[0].name, gateways[1].name)
	time.Sleep(4 * time.Second)

	c := newClients()
	serveAll := func(times int) {
		var wait sync.WaitGroup
		for _, g := range gateways[:2] {
			wait.Go(func() {
				for range times {
					c.post(g, bookingPath, plainKey, deadline)
				}
			})
		}
		wait.Wait()
	}
	serveAll(4)

	read := make(chan time.Time, 1)
	var once sync.Once
	st.onRead = func(gateway, table string) {
		if gateway != added.name || table != "servers" {
			return
		}
		once.Do(func() {
			if s.trouble {
				links[gateway].partition(cutFor)
			}
			read <- time.Now()
		})
	}
	if err := added.start(s.program, seeds, false); err != nil {
		s.note("%s does not start: %v", added.name, err)
		return cannot
	}
	s.note("started: %s", added.name)
	var readAt time.Time
	select {
	case readAt = <-read:
	case <-time.After(10 * time.Second):
		s.note("%s has not read the list of workers", added.name)
		return cannot
	}
	s.note("%s has read the list of workers; cut off from the store for %v: %t", added.name, cutFor, s.trouble)
	time.Sleep(drainAfter)
	acknowledged := leaver.drain()
	s.note("the store has acknowledged that %s is draining", leaver.name)
	serveAll(4)
	if !added.awaitReady(5 * time.Second) {
		s.note("%s is not ready", added.name)
		return cannot
	}

	inTouch := readAt.Add(cutFor + contact)
	time.Sleep(time.Until(inTouch.Add(100 * time.Millisecond)))
	s.note("%s is in touch since %.3f; clients begin to send to it", added.name, s.since(inTouch))
	var late sync.WaitGroup
	late.Go(func() {
		time.Sleep(time.Until(acknowledged.Add(lastsFor)))
		leaver.end()
		s.note("%s has ended", leaver.name)
	})
	for range 4 {
		for range 4 {
			late.Go(func() { c.post(added, bookingPath, plainKey, deadline) })
		}
		time.Sleep(time.Second)
	}
	late.Wait()
	return judgeDrain(s, c, leaver, acknowledged, inTouch)
}

// judgeDrain checks DRAIN: no request that a machine in touch took and sent on reaches the worker later than
// drainMs after the store acknowledged that it drains. The machines but the added one are in touch all the
// time; of the added one only what it took since it is in touch counts.
func judgeDrain(s *scene, c *clients, leaver *worker, acknowledged, inTouch time.Time) int {
	attempts := map[string]sent{}
	for _, a := range c.answers() {
		attempts[a.id] = a
		s.note("sent %s to %s at %.3f: status %d, signed %t, after %v, %v", a.id, a.gateway, s.since(a.at), a.status, a.signed, a.took.Round(time.Millisecond), a.err)
	}
	late, served, lost := 0, 0, 0
	for _, a := range leaver.seen() {
		from := attempts[a.id]
		isLate := a.at.Sub(acknowledged) > drainIn
		if from.gateway == "front-marka-hall-1" && from.at.Before(inTouch) {
			isLate = false
		}
		if isLate {
			late++
			if a.status == 0 {
				lost++
			}
		}
		s.note("%s got %s from %s at %.3f, %.3f s after it was acknowledged as draining; late: %t", leaver.name, a.id, from.gateway, s.since(a.at), a.at.Sub(acknowledged).Seconds(), isLate)
	}
	for _, a := range attempts {
		if a.status == 200 && a.signed {
			served++
		}
	}
	s.note("%d of %d requests served; %d requests reached %s later than drainMs (%v) after the acknowledgement, %d of these were at work when it ended", served, len(attempts), late, leaver.name, drainIn, lost)
	if served == 0 {
		return cannot
	}
	if late > 0 {
		return broken
	}
	return held
}
