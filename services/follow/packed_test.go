// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"madderway/models/routing"
)

// largeConfiguration is one with so many routes.
func largeConfiguration(routes int) *routing.Configuration {
	c := &routing.Configuration{Version: 49}
	for i := range routes {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("r-%06x", i*7919%(1<<24)), Host: fmt.Sprintf("host%d.example", i%40), PathPrefix: fmt.Sprintf("/%x/", i*104729),
			Repeat: routing.RepeatNever, Timeout: 6 * time.Second, Objective: 800 * time.Millisecond, MaxAttempts: 2,
			Split: []routing.Share{{Service: fmt.Sprint("service-", i%3), Weight: 1}},
		})
	}
	return c
}

// A configuration grew to 1,450 routes, and the fleet's links carried 10 Mbit/s. Each gateway
// fetched it whole from a peer, up to four at once from the same one; no fetch was over within
// its second, and what had come was thrown away: 135 times
//
//	front-12: Peer gave no state. peer="front-3" targets=false reason="i/o deadline reached"
//
// The last gateway had the version 3.3 s after the store had taken it, and answered 404 for a
// route that it added; two seconds are allowed. Four neighbors that fetch at once from one
// gateway of that link have 1,500 routes within 0.4 s.
func TestLargeConfigurationIsPacked(t *testing.T) {
	const linkBits, neighbors, within = 10_000_000, 4, 0.4
	source := newFakeSource()
	source.version, source.config, source.targets = 5, largeConfiguration(1500), []routing.Target{{ID: "a"}}
	h := start(t, source, nil)
	h.await()
	for h.Index() == nil {
		h.await()
	}
	content, err := h.State(StateRequest{Packed: true})
	if err != nil {
		t.Fatal(err)
	}
	if seconds := float64(neighbors*8*len(content)) / linkBits; seconds > within {
		t.Errorf("%d neighbors fetch %d bytes each within %.2f s, want %.1f s", neighbors, len(content), seconds, within)
	}
	plain, err := h.State(StateRequest{})
	if err != nil {
		t.Fatal(err)
	}
	back, err := unpack(content)
	if err != nil || !bytes.Equal(back, plain) {
		t.Errorf("unpacked to something else: %v", err)
	}
}

// What is no packed state is an error, and one that never ends is cut.
func TestUnpackRejectsBadState(t *testing.T) {
	whole, err := pack(bytes.Repeat([]byte("state "), 1000))
	if err != nil {
		t.Fatal(err)
	}
	endless, err := pack(make([]byte, maxStateSize+2))
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{"empty": nil, "cut": whole[:len(whole)/2], "text": []byte("{}"), "too large": endless} {
		if _, err := unpack(content); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func BenchmarkPackLargeConfiguration(b *testing.B) {
	content := bytes.Repeat([]byte(`{"name":"r-00ff12","host":"host3.example","prefix":"/2ab31/","service":"service-1","timeout":6000000000},`), 1500)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		if _, err := pack(content); err != nil {
			b.Fatal(err)
		}
	}
}
