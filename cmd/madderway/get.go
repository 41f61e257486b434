// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import "fmt"

type getCommand struct {
	operatorOptions
	Args struct {
		Part string `positional-arg-name:"PART" description:"part to show: accounts, pools, targets, policies or version; all by default"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	reply, err := c.client().Get(ctx)
	if err != nil {
		return err
	}
	switch c.Args.Part {
	case "":
		return printJSON(reply)
	case "accounts":
		return printJSON(reply.Document.Accounts)
	case "pools":
		return printJSON(reply.Document.Pools)
	case "targets":
		return printJSON(reply.Document.Targets)
	case "policies":
		return printJSON(reply.Document.Policies)
	case "version":
		_, err := fmt.Println(reply.Version)
		return err
	default:
		return fmt.Errorf("unknown part %q of the configuration", c.Args.Part)
	}
}
