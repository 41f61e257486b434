// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"madderway/examples"
	"madderway/lab/measure"
	"madderway/modules/setting"
)

const demoRouters = 4

type demoCommand struct {
	commonOptions
	Seconds int `long:"seconds" default:"30" description:"total duration of load in seconds, split evenly between the two example firms"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if err := c.setUpLog(); err != nil {
		return err
	}
	var violations []string
	for _, firm := range []string{examples.CoreLogging, examples.Haddad} {
		v, err := c.run(firm)
		if err != nil {
			return err
		}
		violations = append(violations, v...)
	}
	if len(violations) > 0 {
		return errors.New("violated guarantees: " + strings.Join(violations, "; "))
	}
	fmt.Println("\nno guarantee was violated")
	return nil
}

func (c *demoCommand) run(firm string) ([]string, error) {
	fmt.Printf("\n== %s: %d routers in three data halls, twelve targets, over loopback ==\n", firm, demoRouters)
	s, err := measure.Example(firm, demoRouters, time.Duration(c.Seconds)*time.Second/2)
	if err != nil {
		return nil, err
	}
	r, err := measure.Run(measure.Options{
		Scenario: s, Dispatch: setting.DispatchFleet, Seed: 1, HeadStart: -1, TallyBudget: -1,
		Progress: func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
	})
	if err != nil {
		return nil, err
	}
	r.Text(os.Stdout)
	return r.Violations(), nil
}
