// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"madderway/modules/setting"
)

const (
	// minOutage is the shortest time without a served request that is reported.
	minOutage = 500 * time.Millisecond
	// outageProbeInterval is the time between two probes of a kind of request at a gateway.
	outageProbeInterval = 100 * time.Millisecond
)

// Outage is a time in which no request of a kind was served.
type Outage struct {
	Kind       string
	From       time.Time
	Length     time.Duration
	Unanswered int // probes that were not answered, as the gateways were down or too busy
	Refused    int // probes that were refused
}

// WriteSettings writes the settings of the gateways into a folder, a file each, for processes that
// somebody else starts and stops.
func (s *Site) WriteSettings(dir string) error {
	for _, g := range s.gateways {
		g.ready = true
		f, err := os.Create(filepath.Join(dir, g.name+".toml"))
		if err != nil {
			return err
		}
		err = toml.NewEncoder(f).Encode(map[string]*setting.Gateway{"gateway": g.setting})
		if err == nil {
			err = f.Close()
		}
		if err != nil {
			return fmt.Errorf("settings of %s: %w", g.name, err)
		}
	}
	return nil
}

// SetStoreMode changes the store's behaviour towards all gateways.
func (s *Site) SetStoreMode(m StoreMode) { s.store.SetMode("", m) }

// externalScheduling returns settings that switch all of the scheduling on, for the model workers.
func externalScheduling() setting.Scheduling {
	const largestTokenKB = 200 // above tokenBytes
	return setting.Scheduling{CompactTokenKB: largestTokenKB, Forecast: true, Returns: true, Room: true, Handover: true, Pace: true}
}

// WatchOutages sends requests of each kind to all gateways until the context ends, and reports each
// outage as it ends, or at the end.
func (s *Site) WatchOutages(ctx context.Context, report func(Outage)) {
	var done sync.WaitGroup
	var watches []*outageWatch
	for i, kind := range Kinds() {
		w := &outageWatch{site: s, kind: kind, report: report, served: time.Now()}
		watches = append(watches, w)
		for g := range s.gateways {
			done.Add(1)
			go func() {
				defer done.Done()
				w.probe(ctx, g, uint64(i*len(s.gateways)+g)<<32)
			}()
		}
	}
	done.Wait()
	for _, w := range watches {
		w.endOutage(time.Now())
	}
}

// outageWatch tracks when a kind of request was served last.
type outageWatch struct {
	site   *Site
	kind   Kind
	report func(Outage)

	mu      sync.Mutex
	served  time.Time
	current Outage
}

func (w *outageWatch) probe(ctx context.Context, gateway int, seed uint64) {
	tick := time.NewTicker(outageProbeInterval)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		open.Add(1)
		go func() {
			defer open.Done()
			w.observe(w.site.Ask(w.site.ctx, gateway, w.kind, "account-0", seed+n))
		}()
	}
}

func (w *outageWatch) observe(a Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !a.Served {
		if a.Refused {
			w.current.Refused++
		} else {
			w.current.Unanswered++
		}
		return
	}
	w.endOutage(time.Now())
}

// endOutage reports the current outage if it was long enough, and starts a new one.
func (w *outageWatch) endOutage(now time.Time) {
	if length := now.Sub(w.served); length >= minOutage {
		w.current.Kind, w.current.From, w.current.Length = w.kind.Name, w.served, length
		w.report(w.current)
	}
	w.served, w.current = now, Outage{}
}
