// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"madderway/lab/measure"
)

type measureCommand struct {
	commonOptions
	Scenario   string        `long:"scenario" required:"true" description:"scenario to run; 'list' prints the available ones"`
	Dispatch   string        `long:"dispatch" default:"fleet" choice:"fleet" choice:"naive" description:"dispatch mode; naive is a baseline without coordination"`
	Seed       int64         `long:"seed" default:"1" description:"random seed of the load"`
	Format     string        `long:"format" default:"text" choice:"text" choice:"json" description:"output format"`
	CounterAge time.Duration `long:"counter-age" description:"minimum interval between exchanges of the service counters, such as 5s; the routers' default if 0"`
	Budget     float64       `long:"tally-budget" default:"-1" description:"budget for the service counters in bytes per second; the routers' default if negative"`
	Reserve    float64       `long:"reserve" description:"fraction of slots reserved for interactive requests while some arrive, from 0 to 0.9"`
	HeadStart  float64       `long:"head-start" default:"-1" description:"head start of interactive requests in cost units; the scenario's if negative"`
	Seconds    int           `long:"seconds" description:"duration of load in seconds; the scenario's by default"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.Scenario == "list" {
		for _, name := range measure.Names() {
			fmt.Printf("%-14s %s\n", name, measure.Scenarios()[name].Description)
		}
		return nil
	}
	s, ok := measure.Scenarios()[c.Scenario]
	if !ok {
		return fmt.Errorf("unknown scenario %q; known: %s", c.Scenario, strings.Join(measure.Names(), ", "))
	}
	if err := c.setUpLog(); err != nil {
		return err
	}
	r, err := measure.Run(measure.Options{
		Scenario: s, Dispatch: c.Dispatch, Seed: c.Seed, CounterAge: c.CounterAge, TallyBudget: c.Budget, ReserveShare: c.Reserve,
		HeadStart: c.HeadStart, Duration: time.Duration(c.Seconds) * time.Second, Progress: c.progress,
	})
	if err != nil {
		return err
	}
	if c.Format == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return err
		}
	} else {
		r.Text(os.Stdout)
	}
	if violations := r.Violations(); len(violations) > 0 {
		return errors.New("violated guarantees: " + strings.Join(violations, "; "))
	}
	return nil
}

func (c *measureCommand) progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
