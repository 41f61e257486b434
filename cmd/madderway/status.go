// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import "fmt"

type statusCommand struct {
	operatorOptions
	JSON bool `long:"json" description:"print the status as JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf("router %s: configuration %d %s, queued %d, running %d, schedules %d targets\n",
		s.Router, s.Version, s.State, s.Queued, s.Running, s.Targets)
	for _, m := range s.Missing {
		fmt.Printf("  missing %s: %s\n", m.Router, m.Reason)
	}
	for _, m := range s.Members {
		fmt.Printf("  %-16s %-10s %s\n", m.ID, m.State, m.DataHall)
	}
	return nil
}
