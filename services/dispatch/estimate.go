// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

const (
	estimateWeight = 0.2 // weight of the newest sample in the moving average
	maxEstimates   = 65536
	// maxFirstEstimate limits the estimate while no request of the class has finished.
	maxFirstEstimate = 256
)

type estimateKey struct{ account, pool, class string }

// estimates are the average costs in service units. Fairness does not depend on their accuracy.
type estimates map[estimateKey]float64

// estimate returns the average of the account, or that of all accounts, or the fallback.
func (e estimates) estimate(key estimateKey, fallback float64) float64 {
	if v, ok := e[key]; ok {
		return v
	}
	key.account = ""
	if v, ok := e[key]; ok {
		return v
	}
	return min(fallback, maxFirstEstimate)
}

func (e estimates) learn(key estimateKey, cost float64) {
	old, ok := e[key]
	if !ok {
		if len(e) >= maxEstimates {
			clear(e)
		}
		e[key] = cost
		return
	}
	e[key] = estimateWeight*cost + (1-estimateWeight)*old
}

func (s *Service) estimate(j *job, fallback float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.estimates.estimate(estimateKey{j.account.Name, j.pool.Name, j.order.Class}, fallback), j.pool.MaxCost)
}

func (s *Service) learn(j *job, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, account := range []string{j.account.Name, ""} {
		s.estimates.learn(estimateKey{account, j.pool.Name, j.order.Class}, cost)
	}
}
