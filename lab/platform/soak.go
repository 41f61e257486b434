// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// soak injects faults in series for half of the run, drawn from the site's seed: four series of
// gateways, workers, the store and answers that overlap.
func (s *Site) soak() {
	end := time.Now().Add(s.opts.Length / 2)
	var series sync.WaitGroup
	for i, faults := range [][]func(rng *rand.Rand){s.gatewayFaults(), s.workerFaults(), s.storeFaults(), s.answerFaults()} {
		rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(100+i)))
		series.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rng.Int64N(int64(outage))))
				faults[rng.IntN(len(faults))](rng)
			}
		})
	}
	series.Wait()
}

func (s *Site) gatewayFaults() []func(*rand.Rand) {
	return []func(*rand.Rand){
		func(rng *rand.Rand) { s.killAndRestart(rng.IntN(len(s.gateways))) },
		func(rng *rand.Rand) { s.drainAndRestart(rng.IntN(len(s.gateways))) },
	}
}

func (s *Site) workerFaults() []func(*rand.Rand) {
	single := []Fault{FaultSilent, FaultErrors, FaultLost, FaultCut, FaultExtra, FaultRefuse, FaultStall}
	return []func(*rand.Rand){
		func(rng *rand.Rand) { s.injectFault(single[rng.IntN(len(single))]) },
		func(*rand.Rand) { s.restartWorkers() },
		func(*rand.Rand) { s.answerUnframed() },
		func(*rand.Rand) { s.sendPoisonPart() },
	}
}

func (s *Site) storeFaults() []func(*rand.Rand) {
	modes := []StoreMode{StoreBusy, StoreSilent, StoreSlow}
	return []func(*rand.Rand){
		func(rng *rand.Rand) { s.injectStoreMode("", modes[rng.IntN(len(modes))]) },
		func(*rand.Rand) { s.injectStoreMode("gateway-0", StoreBusy) },
		func(*rand.Rand) { s.PutConfig() },
		func(*rand.Rand) { s.store.Compact() },
	}
}

func (s *Site) answerFaults() []func(*rand.Rand) {
	return []func(*rand.Rand){
		func(*rand.Rand) { s.answerMalformed(BadStatus) },
		func(*rand.Rand) { s.answerMalformed(BadField) },
		func(*rand.Rand) { s.resetUploads() },
	}
}
