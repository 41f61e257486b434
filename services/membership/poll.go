// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package membership polls the platform's VM list and the load and cache events of targets, and
// passes them to the control loop.
package membership

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/sched"
	"madderway/models/conf"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/control"
	"madderway/services/engine"
	"madderway/services/platform"
)

const (
	pollParallel = 16
	// maxFailures is the number of consecutive failed load polls after which a target gets no
	// new work.
	maxFailures  = 2
	idlePollLoad = 50 * time.Millisecond
)

// Options configure a Poller.
type Options struct {
	Clock    clock.Clock
	VMs      platform.VMs
	Engine   *engine.Client
	Loop     *control.Loop
	PollList time.Duration
	PollLoad time.Duration
	Timeout  time.Duration
	// Targets returns the targets whose load is polled.
	Targets func() []*conf.Target
	// PoolKind returns the kind of a pool.
	PoolKind func(pool string) conf.PoolKind
}

// Poller polls the platform and the targets.
type Poller struct {
	t        *tomb.Tomb
	log      log.Logger
	opts     Options
	mu       sync.Mutex
	failures map[string]int    // consecutive failed load polls, by target
	nextSeq  map[string]uint64 // next cache event, by target
}

// New starts a poller; it ends with the tomb.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Poller {
	p := &Poller{t: t, log: logger, opts: o, failures: map[string]int{}, nextSeq: map[string]uint64{}}
	t.Go(p.pollVMs)
	t.Go(p.pollLoads)
	return p
}

func (p *Poller) pollVMs() error {
	for {
		ctx, cancel := context.WithTimeout(p.t.Context(context.Background()), p.opts.Timeout)
		vms, err := p.opts.VMs.List(ctx)
		cancel()
		if err == nil {
			p.opts.Loop.SetVMs(vms)
		} else {
			p.log.Debug("Could not read the VM list.", "error", err)
		}
		if !p.sleep(p.opts.PollList) {
			return nil
		}
	}
}

func (p *Poller) sleep(d time.Duration) bool {
	select {
	case <-p.t.Dying():
		return false
	case <-p.opts.Clock.After(d):
		return true
	}
}

func (p *Poller) pollLoads() error {
	for {
		targets := p.opts.Targets()
		p.pollAll(targets)
		wait := p.opts.PollLoad
		if len(targets) == 0 {
			wait = min(wait, idlePollLoad)
		}
		if !p.sleep(wait) {
			return nil
		}
	}
}

func (p *Poller) pollAll(targets []*conf.Target) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollParallel)
	for _, t := range targets {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			p.pollOne(t)
		}()
	}
	wg.Wait()
}

func (p *Poller) pollOne(t *conf.Target) {
	ctx, cancel := context.WithTimeout(p.t.Context(context.Background()), p.opts.Timeout)
	defer cancel()
	load, err := p.opts.Engine.Load(ctx, t.Address)
	if err != nil {
		if p.recordFailure(t.Name) {
			p.opts.Loop.SetLoad(t.Name, 0, 0, false, false)
		}
		return
	}
	p.recordSuccess(t.Name)
	p.opts.Loop.SetLoad(t.Name, load.Running+load.Waiting, t.Slots, true, load.Leaving)
	if p.opts.PoolKind(t.Pool) == conf.KindModel {
		p.pollCache(ctx, t)
	}
}

// pollCache fetches new cache events. They are only hints, so errors are ignored.
func (p *Poller) pollCache(ctx context.Context, t *conf.Target) {
	p.mu.Lock()
	from := p.nextSeq[t.Name]
	p.mu.Unlock()
	events, err := p.opts.Engine.CacheEvents(ctx, t.Address, from)
	if err != nil || len(events) == 0 {
		return
	}
	p.mu.Lock()
	p.nextSeq[t.Name] = events[len(events)-1].Seq + 1
	p.mu.Unlock()
	p.opts.Loop.SetCache(sched.CacheSeen{Target: t.Name, Events: events})
}

func (p *Poller) recordFailure(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[target]++
	if p.failures[target] == maxFailures {
		p.log.Warn("Target does not report its load.", "target", target)
	}
	return p.failures[target] >= maxFailures
}

func (p *Poller) recordSuccess(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures[target] >= maxFailures {
		p.log.Info("Target reports its load again.", "target", target)
	}
	p.failures[target] = 0
}
