// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import "fmt"

type drainCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	if err := c.client().Drain(ctx); err != nil {
		return err
	}
	fmt.Printf("router %s is draining: it refuses new requests and stops once those in flight have ended\n", c.Router)
	return nil
}
