// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"os"

	"madderway/modules/log"
	"madderway/modules/setting"
	"madderway/router"
)

type routerCommand struct {
	Config string `long:"config" required:"true" description:"settings file"`
}

// Execute implements flags.Commander.
func (c *routerCommand) Execute([]string) error {
	s, err := setting.Load(c.Config)
	if err != nil {
		return err
	}
	log.Setup(os.Stderr, s.Log.Verbosity)
	ctx, stop := signalContext()
	defer stop()
	r, err := router.Start(s)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		r.Drain()
	case <-r.Dead():
	}
	return r.Err()
}
