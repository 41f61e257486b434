// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"os/user"

	"madderway/handlers/operator"
	"madderway/models/conf"
	"madderway/modules/ident"
	"madderway/services/config"
)

type applyCommand struct {
	operatorOptions
	File      string  `short:"f" long:"file" required:"true" description:"TOML file, or directory of them"`
	Author    string  `long:"author" description:"who makes the change; the system's user by default"`
	Operation string  `long:"operation" description:"operation ID; the same one makes a repeated submission harmless"`
	Base      *uint64 `long:"base" description:"version that the change was made for; a later one in force is a conflict"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	document, err := conf.LoadFiles(c.File)
	if err != nil {
		return err
	}
	if c.Operation == "" {
		c.Operation = ident.New("op")
	}
	ctx, stop := signalContext()
	defer stop()
	receipt, err := c.client().Apply(ctx, operator.ApplyRequest{
		Document: document, Author: c.author(), Operation: c.Operation, Base: c.Base,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "operation %s\n", c.Operation)
		return err
	}
	fmt.Printf("version %d: %s\n", receipt.Version, receipt.State)
	for _, m := range receipt.Missing {
		fmt.Printf("  missing %s: %s\n", m.Router, m.Reason)
	}
	if receipt.State != config.StateInForce {
		return errExit{exitPending}
	}
	return nil
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
