// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"madderway/models/routing"
)

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

// Guards against state so large that fetches by several peers over a 10 Mbit/s link time out.
func TestLargeConfigurationIsPacked(t *testing.T) {
	const linkBits, peers, maxSeconds = 10_000_000, 4, 0.4
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
	if seconds := float64(peers*8*len(content)) / linkBits; seconds > maxSeconds {
		t.Errorf("%d peers fetch %d bytes each in %.2f s, want at most %.1f s", peers, len(content), seconds, maxSeconds)
	}
	plain, err := h.State(StateRequest{})
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := io.ReadAll(unpack(content))
	if err != nil || !bytes.Equal(unpacked, plain) {
		t.Errorf("unpacked state differs from the plain one: %v", err)
	}
}

// Each of hundreds of gateways that start makes its giver compress the whole list again, or gets one
// that lacks a change.
func TestWholeListIsPackedOncePerChange(t *testing.T) {
	source := newFakeSource()
	source.version = 5
	for i := range 300 {
		source.targets = append(source.targets, routing.Target{ID: fmt.Sprintf("w%04d", i), Service: "s", Address: "10.0.0.1:80"})
	}
	h := start(t, source, nil)
	h.await()
	h.nextWatch()
	fetch := func() []byte {
		content, err := h.State(StateRequest{Targets: true, Packed: true})
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	first := fetch()
	h.clock.Advance(time.Hour)
	if again := fetch(); &again[0] != &first[0] {
		t.Error("the list was packed again without a change")
	}
	const coldFor = 100 * time.Hour // longer than await may advance the clock
	source.changes <- watchAnswer{revision: 6, changes: []TargetChange{{ID: "w0000", Revision: 6, Target: routing.Target{ID: "w0000", ColdFor: coldFor}}}}
	h.await()
	cold := fetch()
	if &cold[0] == &first[0] {
		t.Error("the list lacks a change")
	}
	h.clock.Advance(maxTimedStateAge)
	if later := fetch(); &later[0] == &cold[0] {
		t.Error("the remaining time of a cold target is not updated")
	}
}

// Guards against malformed or oversized state of a peer.
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
		if _, err := io.ReadAll(unpack(content)); err == nil {
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
