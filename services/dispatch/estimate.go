// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

const (
	estimateWeight = 0.2 // weight of the newest sample
	maxEstimates   = 65536
	// maxFirstEstimate bounds the estimate while nothing of the class has ended yet.
	maxFirstEstimate = 256
)

type estimateKey struct{ account, pool, class string }

// estimates are the average costs by account, pool and class, in service
// units. They are a guess: fairness holds whatever they say.
type estimates map[estimateKey]float64

// estimate returns the average of the account, else that of all accounts of the
// class, else the fallback.
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
