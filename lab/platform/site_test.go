// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"io"
	"sort"
	"testing"
	"time"

	"madderway/modules/log"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	m.Run()
}

// runSite runs a small site with a fault. It fails the test on a violated guarantee, or if less
// than half of the requests are served.
func runSite(t *testing.T, trouble string, length time.Duration) Result {
	t.Helper()
	o := SmallSite(11, length)
	o.Trouble = trouble
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Error(b)
	}
	t.Logf("%+v", r.Counts)
	if r.Sent == 0 || r.Served < r.Sent/2 {
		t.Errorf("%d of %d requests were served, want at least half", r.Served, r.Sent)
	}
	return r
}

func TestSiteWithoutFaults(t *testing.T) {
	t.Parallel()
	runSite(t, "", 3*time.Second)
}

func TestSiteWithFaults(t *testing.T) {
	t.Parallel()
	var names []string
	for name := range Troubles() {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSite(t, name, 4*time.Second)
		})
	}
}

// Guarantees must hold under series of faults of gateways, workers and the store that overlap.
func TestSiteSoak(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			o := SmallSite(seed, 12*time.Second)
			o.Trouble = "soak"
			s, err := Start(o)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			r, err := s.Run()
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
			t.Logf("%+v", r.Counts)
		})
	}
}
