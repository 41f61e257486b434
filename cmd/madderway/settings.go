// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"madderway/modules/setting"
)

type settingsCommand struct {
	Check settingsCheckCommand `command:"check" description:"Check a settings file without starting"`
}

type settingsCheckCommand struct {
	Config string `long:"config" required:"true" description:"settings file"`
}

// Execute implements flags.Commander.
func (c *settingsCheckCommand) Execute([]string) error {
	if setting.IsGatewayFile(c.Config) {
		return c.checkGateway()
	}
	s, err := setting.Load(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of router %s in %s are valid\n", c.Config, s.Router.ID, s.Router.DataHall)
	return nil
}

func (c *settingsCheckCommand) checkGateway() error {
	g, err := setting.LoadGateway(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of gateway %s in %s are valid\n", c.Config, g.ID, g.DataHall)
	return nil
}
