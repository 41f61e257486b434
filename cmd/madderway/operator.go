// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"os"

	"madderway/client"
)

// operatorOptions are the flags of commands that call a router.
type operatorOptions struct {
	Router string `long:"router" env:"MADDERWAY_ROUTER" default:"127.0.0.1:8081" description:"address of a router's operator API"`
	Token  string `long:"token" env:"MADDERWAY_TOKEN" required:"true" description:"operator token"`
}

func (o operatorOptions) client() *client.Client { return client.New(o.Router, o.Token) }

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
