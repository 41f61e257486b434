// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"strings"

	"madderway/models/vm"
)

const vmFields = 4

// parseVM parses a router of the VM list, written as ID=PEER-ADDRESS=HALL=REGION.
func parseVM(text string) (vm.VM, error) {
	parts := strings.Split(text, "=")
	if len(parts) != vmFields {
		return vm.VM{}, fmt.Errorf("--vm %q is not ID=PEER-ADDRESS=HALL=REGION", text)
	}
	return vm.VM{ID: parts[0], Role: vm.RoleRouter, Address: parts[1], DataHall: parts[2], Region: parts[3], State: vm.StateLive}, nil
}
