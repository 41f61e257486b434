// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"slices"
	"time"
)

const (
	outage = 1200 * time.Millisecond // duration of most faults
	// Requests sent before a gateway knew of an evacuation reach their worker within this time.
	inFlightTime   = time.Second
	evacuationPoll = 10 * time.Millisecond
	uploadInterval = 20 * time.Millisecond
	uploadKinds    = 3 // the first ones of Kinds are POSTs
)

// Troubles returns the faults that Run can inject, by name.
func Troubles() map[string]func(*Site) {
	return map[string]func(*Site){
		"worker-crash":  func(s *Site) { s.worker(0).Crash() },
		"worker-reborn": func(s *Site) { s.restartWorkers() },
		"worker-reborn-no-store": func(s *Site) {
			s.store.SetMode("", StoreBusy)
			s.restartWorkers()
			time.Sleep(outage)
			s.store.SetMode("", StoreServes)
		},
		"worker-dark":              func(s *Site) { s.injectFault(FaultSilent) },
		"worker-error":             func(s *Site) { s.injectFault(FaultErrors) },
		"answer-lost":              func(s *Site) { s.injectFault(FaultLost) },
		"answer-cut":               func(s *Site) { s.injectFault(FaultCut) },
		"answer-extra":             func(s *Site) { s.injectFault(FaultExtra) },
		"answer-unframed":          func(s *Site) { s.answerUnframed() },
		"answer-malformed":         func(s *Site) { s.answerMalformed(BadStatus); s.answerMalformed(BadField) },
		"upload-reset":             func(s *Site) { s.resetUploads() },
		"worker-shed":              func(s *Site) { s.injectFault(FaultRefuse) },
		"worker-drain":             func(s *Site) { s.replaceWorker() },
		"software-rollout":         func(s *Site) { s.upgradeWorkers() },
		"software-versions":        func(s *Site) { s.runVersions() },
		"request-ends-workers":     func(s *Site) { s.sendPoison() },
		"prompt-part-ends-workers": func(s *Site) { s.sendPoisonPart() },
		"soak":                     func(s *Site) { s.soak() },
		"gateway-kill":             func(s *Site) { s.killAndRestart(0) },
		"gateways-kill": func(s *Site) {
			for i := range s.gateways {
				s.killAndRestart(i)
			}
		},
		"gateway-stop": func(s *Site) { s.drainAndRestart(0) },
		"hall-evacuate": func(s *Site) {
			s.evacuate("hall-1", false)
		},
		"hall-evacuate-no-store": func(s *Site) { s.evacuate("hall-1", true) },
		"store-busy":             func(s *Site) { s.injectStoreMode("", StoreBusy) },
		"store-silent":           func(s *Site) { s.injectStoreMode("", StoreSilent) },
		"store-slow":             func(s *Site) { s.injectStoreMode("", StoreSlow) },
		"store-refuses":          func(s *Site) { s.injectStoreMode("gateway-0", StoreBusy) },
		"store-older":            func(s *Site) { s.restoreOlderStore() },
		"store-forgets": func(s *Site) {
			s.PutConfig()
			s.store.Compact()
			s.replaceWorker()
		},
		"config-storm": func(s *Site) {
			for range 6 {
				s.mu.Lock()
				s.extraRoutes += 50
				s.mu.Unlock()
				s.PutConfig()
				time.Sleep(outage / 6)
			}
		},
	}
}

// answerUnframed makes all workers answer with neither a length nor chunks for a while. Meanwhile
// one model worker breaks its streams off inside an event, and another one crashes under one.
func (s *Site) answerUnframed() {
	const insideEvent = 9 // bytes
	unframed := Answers{Framing: CloseFraming}
	s.setAnswers(unframed)
	time.Sleep(outage / 2)
	broken := Answers{Framing: CloseFraming, BreakOff: BreakByClose, After: insideEvent}
	s.worker(0).SetAnswers(broken)
	broken.BreakOff = BreakByCrash
	s.worker(1).SetAnswers(broken)
	time.Sleep(outage / 2)
	if err := s.RestartCrashed(); err != nil {
		s.ledger.AddViolation("worker: %v", err)
	}
	s.setAnswers(Answers{})
}

// answerMalformed makes a model worker and a plain worker send malformed answers for a while.
func (s *Site) answerMalformed(way BreakOff) {
	for _, i := range []int{0, s.opts.Models} {
		w := s.worker(i)
		w.SetAnswers(Answers{Framing: CloseFraming, BreakOff: way})
		defer w.SetAnswers(Answers{})
	}
	time.Sleep(outage)
}

// resetUploads makes all workers reset long uploads for a while, and sends some of each kind to all gateways.
func (s *Site) resetUploads() {
	s.setAnswers(Answers{BreakOff: BreakInUpload})
	for end, n := time.Now().Add(outage), 0; time.Now().Before(end); n++ {
		kind := Kinds()[n%uploadKinds]
		kind.Upload = s.opts.MaxBody - 1
		s.Ask(s.ctx, n%len(s.gateways), kind, "account-0", uint64(n))
		time.Sleep(uploadInterval)
	}
	s.setAnswers(Answers{})
}

func (s *Site) setAnswers(a Answers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.SetAnswers(a)
	}
}

// sendPoisonPart sends prompts with a part that crashes workers to all gateways, no two of them alike,
// beside the sound prompts of the same accounts.
func (s *Site) sendPoisonPart() {
	before := s.Crashes()
	for end, n := time.Now().Add(outage), 0; time.Now().Before(end); n++ {
		kind := Kinds()[n%2]
		s.AskPrompt(s.ctx, n%len(s.gateways), kind, "account-0", uint64(n), fmt.Sprint(kind.Name, n%kind.Prefixes), PoisonPart)
		if err := s.RestartCrashed(); err != nil {
			s.ledger.AddViolation("worker: %v", err)
		}
		time.Sleep(poisonInterval)
	}
	if n := s.Crashes() - before; n > maxCrashes {
		s.ledger.AddViolation("%d workers crashed under one part of prompts", n)
	}
}

// evacuate evacuates a data hall for a while. Once every gateway knows and requests in flight have
// arrived, its workers must get no request. The store may be down meanwhile.
func (s *Site) evacuate(hall string, storeDown bool) {
	row := "evacuate/" + hall
	s.store.Put("op", row, map[string]any{})
	for !s.allKnowEvacuated(hall) {
		time.Sleep(evacuationPoll)
	}
	if storeDown {
		s.store.SetMode("", StoreBusy)
	}
	time.Sleep(inFlightTime)
	s.setEvacuated(hall, true)
	time.Sleep(outage)
	s.setEvacuated(hall, false)
	s.store.SetMode("", StoreServes)
	s.store.Delete("op", row)
}

// allKnowEvacuated reports whether every gateway knows that a hall is evacuated.
func (s *Site) allKnowEvacuated(hall string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		if !slices.Contains(g.running.Dump().Evacuated, hall) {
			return false
		}
	}
	return true
}

func (s *Site) setEvacuated(hall string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.cfg.Hall == hall {
			w.SetEvacuated(on)
		}
	}
}

func (s *Site) worker(i int) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[i]
}

// restartWorkers restarts a model worker and a plain worker under the same IDs.
func (s *Site) restartWorkers() {
	for _, i := range []int{0, s.opts.Models} {
		if _, err := s.RestartWorker(s.worker(i)); err != nil {
			s.ledger.AddViolation("worker: %v", err)
			return
		}
	}
}

// upgradeWorkers restarts the model workers one by one with other software under the same IDs, and
// kills a gateway meanwhile.
func (s *Site) upgradeWorkers() {
	for i := range s.opts.Models {
		if _, err := s.UpgradeWorker(s.worker(i), "v2"); err != nil {
			s.ledger.AddViolation("worker: %v", err)
			return
		}
		if i == s.opts.Models/2 {
			s.killAndRestart(0)
		}
		time.Sleep(outage / 4)
	}
}

// runVersions adds workers of two other versions, and kills gateways and a worker of each version
// meanwhile.
func (s *Site) runVersions() {
	for _, software := range []string{"v1.1", "v1.2"} {
		for range 2 {
			if err := s.AddWorkerOf(true, software); err != nil {
				s.ledger.AddViolation("worker: %v", err)
				return
			}
		}
		time.Sleep(outage / 4)
		for i := range len(s.gateways) / 2 {
			s.killAndRestart(i)
		}
		time.Sleep(outage / 4)
	}
	for _, i := range []int{0, s.opts.Models + s.opts.Plains, s.opts.Models + s.opts.Plains + 2} {
		s.worker(i).Crash()
		time.Sleep(outage / 8)
	}
}

const (
	poisonInterval = 50 * time.Millisecond // interval of requests that crash workers
	// Crashes that one such request may cause: three until it is quarantined, and one for each
	// attempt in flight at the time.
	maxCrashes = 3 + 3
)

// sendPoison sends requests that crash their workers to all gateways for a while, and restarts
// crashed workers after each.
func (s *Site) sendPoison() {
	before := s.Crashes()
	for end, n := time.Now().Add(outage), 0; time.Now().Before(end); n++ {
		s.AskPoison(s.ctx, n%len(s.gateways), Kinds()[n%len(Kinds())], "account-0", uint64(n))
		if err := s.RestartCrashed(); err != nil {
			s.ledger.AddViolation("worker: %v", err)
		}
		time.Sleep(poisonInterval)
	}
	if n := s.Crashes() - before; n > maxCrashes*len(Kinds()) {
		s.ledger.AddViolation("%d workers crashed under %d requests", n, len(Kinds()))
	}
}

// injectFault applies a fault to a model worker and a plain worker for a while.
func (s *Site) injectFault(f Fault) {
	model, plain := s.worker(0), s.worker(s.opts.Models)
	model.SetFault(f)
	plain.SetFault(f)
	time.Sleep(outage)
	model.SetFault(FaultNone)
	plain.SetFault(FaultNone)
}

func (s *Site) injectStoreMode(gateway string, m StoreMode) {
	s.store.SetMode(gateway, m)
	s.PutConfig()
	time.Sleep(outage)
	s.store.SetMode(gateway, StoreServes)
}

// restoreOlderStore changes the configuration and replaces a worker, then restores the store from
// an older snapshot. The operator and the workers write their rows again a while later.
func (s *Site) restoreOlderStore() {
	s.SnapshotStore()
	s.PutConfig()
	s.replaceWorker()
	s.store.SetMode("", StoreBusy)
	time.Sleep(outage / 4)
	s.RestoreStore()
	s.store.SetMode("", StoreServes)
	time.Sleep(outage / 2)
	s.RewriteRows()
}

// replaceWorker starts a model worker and drains an old one.
func (s *Site) replaceWorker() {
	if err := s.AddWorker(true); err != nil {
		s.ledger.AddViolation("worker: %v", err)
		return
	}
	old := s.worker(0)
	old.Drain()
	time.Sleep(2 * outage)
	old.Stop()
}

// killAndRestart stops a gateway without draining it, and starts it again.
func (s *Site) killAndRestart(i int) {
	s.mu.Lock()
	g := s.gateways[i]
	g.ready = false
	s.mu.Unlock()
	s.checkStalls(g)
	g.running.Stop()
	if err := s.startGateway(g); err != nil {
		s.ledger.AddViolation("gateway: %v", err)
	}
}

// checkStalls records a violation if a gateway has left idle targets without requests.
func (s *Site) checkStalls(g *gatewayNode) {
	if n := g.running.StalledSeconds(); n > 0 {
		s.ledger.AddViolation("%s placed nothing beside idle workers for %d seconds", g.name, n)
	}
}

// drainAndRestart drains a gateway and starts it again.
func (s *Site) drainAndRestart(i int) {
	s.mu.Lock()
	g := s.gateways[i]
	g.ready = false
	s.mu.Unlock()
	s.checkStalls(g)
	g.running.Drain()
	if err := s.startGateway(g); err != nil {
		s.ledger.AddViolation("gateway: %v", err)
	}
}
