// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"madderway/router"
)

// Gateway returns a running gateway of the site.
func (s *Site) Gateway(i int) *router.Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[i].running
}

// AskOld is like Ask for a caller that speaks HTTP/1.0, which has no chunks.
func (s *Site) AskOld(ctx context.Context, gateway int, kind Kind, account string, seed uint64) Answer {
	c := s.newSingleClient(gateway, kind, account, distinctURI(kind, seed), seed)
	c.http.Transport = oldTransport{}
	return c.answer(c.sendOnce(ctx))
}

// AskStream sends one request for a long stream to a gateway, on a new connection, and reports
// whether the answer was complete. The ledger records violations.
func (s *Site) AskStream(ctx context.Context, gateway int, account string, seed uint64) bool {
	kind := Kinds()[0]
	c := s.newSingleClient(gateway, kind, account, kind.Path+"item", seed)
	result, _ := c.sendOnce(ctx)
	return result == outcomeServed || result == outcomeLate
}

// Answer is the outcome of a request for its caller.
type Answer struct {
	Served, Refused bool
	After           time.Duration // Retry-After
	Worker          string        // worker that signed the answer, or empty
	Refusal         string        // body of a refusal
	Status          int           // 0 if there was no answer
}

// Ask sends one request of a kind to a gateway, on a new connection.
func (s *Site) Ask(ctx context.Context, gateway int, kind Kind, account string, seed uint64) Answer {
	c := s.newSingleClient(gateway, kind, account, distinctURI(kind, seed), seed)
	return c.answer(c.sendOnce(ctx))
}

func (c *client) answer(result outcome, after time.Duration) Answer {
	worker, _, _ := strings.Cut(c.answerHeader.Get("Response-Signature"), ".")
	return Answer{Served: result == outcomeServed || result == outcomeLate, Refused: result == outcomeRefused, After: after, Worker: worker, Refusal: c.refusal, Status: c.status}
}

// Workers returns the workers that serve a kind of request.
func (s *Site) Workers(kind Kind) []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Worker
	for _, w := range s.workers {
		if w.cfg.Model == kind.Stream {
			out = append(out, w)
		}
	}
	return out
}

// RestartGateway kills a gateway and starts it again.
func (s *Site) RestartGateway(gateway int) { s.killAndRestart(gateway) }

// RestartWorker restarts a worker under the same ID and returns its new incarnation.
func (s *Site) RestartWorker(old *Worker) (*Worker, error) {
	return s.UpgradeWorker(old, old.cfg.Software)
}

// UpgradeWorker restarts a worker under the same ID with another version of its software, and
// returns its new incarnation. If another fault has restarted it meanwhile, it returns that one.
func (s *Site) UpgradeWorker(old *Worker, software string) (*Worker, error) {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	if current := s.incarnationOf(old); current != old {
		return current, nil
	}
	w, err := old.Upgrade(software)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.workers {
		if s.workers[i] == old {
			s.workers[i] = w
		}
	}
	return w, nil
}

// incarnationOf returns the listed worker with the ID of another one, or that one.
func (s *Site) incarnationOf(w *Worker) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.workers {
		if current.ID == w.ID {
			return current
		}
	}
	return w
}

// AskPoison sends a request that crashes every worker that starts it. Requests of the same kind
// and account differ in their headers only. It returns whether the request was refused, and the
// Retry-After.
func (s *Site) AskPoison(ctx context.Context, gateway int, kind Kind, account string, seed uint64) (refused bool, after time.Duration) {
	c := s.newSingleClient(gateway, kind, account, kind.Path+PoisonMarker, seed)
	c.body = func(*client) string { return "the same each time" }
	result, after := c.sendOnce(ctx)
	return result == outcomeRefused, after
}

// AskPrompt sends a request for a stream whose prompt has the given shared parts. No two such
// requests have the same path, body or last part.
func (s *Site) AskPrompt(ctx context.Context, gateway int, kind Kind, account string, seed uint64, parts ...string) Answer {
	c := s.newSingleClient(gateway, kind, account, distinctURI(kind, seed), seed)
	c.parts = parts
	return c.answer(c.sendOnce(ctx))
}

// distinctURI returns a path that no request with another seed has. A request without a body would
// otherwise be the same each time, and is refused after three crashes.
func distinctURI(kind Kind, seed uint64) string { return fmt.Sprintf("%sitem/%d", kind.Path, seed) }

// newSingleClient returns a client for one request to a given gateway.
func (s *Site) newSingleClient(gateway int, kind Kind, account, uri string, seed uint64) *client {
	c := newClient(s, kind, account, s.keys[account][0], seed)
	c.stream = &readStream{}
	c.address = func(*client) string { return s.gateways[gateway].setting.Callers }
	c.uri = func(*client) string { return uri }
	return c
}

// sendOnce sends one request without retry, on a new connection.
func (c *client) sendOnce(ctx context.Context) (outcome, time.Duration) {
	defer c.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, c.kind.Deadline)
	defer cancel()
	return c.attempt(ctx, time.Now())
}

// recordCrash records that a request has crashed a worker.
func (s *Site) recordCrash(w *Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = append(s.crashed, w)
	s.crashes++
}

// Crashes returns how often a request has crashed a worker.
func (s *Site) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetStoreDown makes the store answer every call with 503, or serve again.
func (s *Site) SetStoreDown(down bool) {
	mode := StoreServes
	if down {
		mode = StoreBusy
	}
	s.store.SetMode("", mode)
}

// SnapshotStore takes a snapshot of the store, for RestoreStore.
func (s *Site) SnapshotStore() { s.store.Snapshot() }

// RestoreStore restores the store from the snapshot of SnapshotStore.
func (s *Site) RestoreStore() { s.store.Restore() }

// RewriteRows writes the configuration and the workers' entries again, which a restored store may
// have lost.
func (s *Site) RewriteRows() {
	s.mu.Lock()
	config, workers := s.config, slices.Clone(s.workers)
	s.mu.Unlock()
	s.store.Put("op", "config", config)
	for _, w := range workers {
		w.rewriteEntry()
	}
}

// KillGateways kills all gateways, then starts them again.
func (s *Site) KillGateways() {
	for _, g := range s.gateways {
		s.checkStalls(g)
		g.running.Stop()
	}
	for _, g := range s.gateways {
		if err := s.startGateway(g); err != nil {
			s.ledger.AddViolation("gateway: %v", err)
		}
	}
}

// RestartCrashed restarts the workers that requests have crashed.
func (s *Site) RestartCrashed() error {
	s.mu.Lock()
	crashed := s.crashed
	s.crashed = nil
	s.mu.Unlock()
	for _, old := range crashed {
		if _, err := s.RestartWorker(old); err != nil {
			return err
		}
	}
	return nil
}

// Violations returns the violations that the ledger found.
func (s *Site) Violations() []string { return s.ledger.Violations() }

// GatewayCount returns the number of gateways, including killed ones.
func (s *Site) GatewayCount() int { return len(s.gateways) }
