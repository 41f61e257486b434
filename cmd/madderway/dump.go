// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

type dumpCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	state, err := c.client().Dump(ctx)
	if err != nil {
		return err
	}
	return printJSON(state)
}
