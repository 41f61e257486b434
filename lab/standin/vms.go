// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"madderway/models/vm"
)

// VMs is a stand-in for the platform's VM list, which lags behind changes.
type VMs struct {
	faultInjector
	lag     time.Duration
	mu      sync.Mutex
	vms     map[string]vm.VM
	shown   []vm.VM
	shownAt time.Time
}

// NewVMs returns an empty list that shows changes up to lag late.
func NewVMs(lag time.Duration) *VMs { return &VMs{lag: lag, vms: map[string]vm.VM{}} }

// Set adds or replaces a VM.
func (l *VMs) Set(v vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[v.ID] = v
}

// Remove removes a VM from the list.
func (l *VMs) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, id)
}

// Handler returns the list's HTTP API.
func (l *VMs) Handler() http.Handler {
	return l.guard(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.List()) }))
}

// List returns the list as it is shown, sorted by ID.
func (l *VMs) List() []vm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shown != nil && time.Since(l.shownAt) < l.lag {
		return l.shown
	}
	l.shown, l.shownAt = []vm.VM{}, time.Now()
	for _, v := range l.vms {
		l.shown = append(l.shown, v)
	}
	sort.Slice(l.shown, func(i, j int) bool { return l.shown[i].ID < l.shown[j].ID })
	return l.shown
}
