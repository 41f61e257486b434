// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"madderway/handlers/operator"
)

type orderCommand struct {
	operatorOptions
	Target string `long:"target" required:"true" description:"target to send the order to"`
	Action string `long:"action" required:"true" choice:"load" choice:"unload" choice:"role" description:"action to perform"`
	Model  string `long:"model" description:"model to load or unload"`
	Role   string `long:"role" description:"role to assign with action role"`
}

// Execute implements flags.Commander.
func (c *orderCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	reply, err := c.client().Order(ctx, operator.OrderRequest{Target: c.Target, Action: c.Action, Model: c.Model, Role: c.Role})
	if err != nil {
		return err
	}
	fmt.Printf("target %s accepted the order under epoch %d\n", reply.Target, reply.Epoch)
	return nil
}
