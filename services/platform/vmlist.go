// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"net/http"
	"time"

	"madderway/models/vm"
)

// VMs lists the platform's VMs. The list may lag behind their actual state.
type VMs interface {
	// List returns the VMs that are live or leaving.
	List(ctx context.Context) ([]vm.VM, error)
}

// HTTPVMs is a client of the VM list over HTTP and JSON.
type HTTPVMs struct {
	base   string
	client *http.Client
}

// NewHTTPVMs returns a client of the list at a base URL. The timeout bounds each call.
func NewHTTPVMs(base string, timeout time.Duration) *HTTPVMs {
	return &HTTPVMs{base, newClient(timeout)}
}

// List implements VMs.
func (l *HTTPVMs) List(ctx context.Context) ([]vm.VM, error) {
	var vms []vm.VM
	err := getJSON(ctx, l.client, "VM list", l.base+"/v1/vms", &vms)
	return vms, err
}
