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
	common
	Scenario   string        `long:"scenario" required:"true" description:"name of a scenario; 'list' prints them"`
	Dispatch   string        `long:"dispatch" default:"fleet" choice:"fleet" choice:"naive" description:"how requests are dispatched"`
	Seed       int64         `long:"seed" default:"1" description:"seed of the load"`
	Format     string        `long:"format" default:"text" choice:"text" choice:"json" description:"form of the result"`
	CounterAge time.Duration `long:"counter-age" description:"least interval of the service counters, such as 5s"`
	Budget     float64       `long:"tally-budget" default:"-1" description:"bytes a second for the service counters; the routers' default by default"`
	Reserve    float64       `long:"reserve" description:"share of slots kept from long work while short work arrives"`
	HeadStart  float64       `long:"head-start" default:"-1" description:"head start of interactive work in units; the scenario's by default"`
	Seconds    int           `long:"seconds" description:"seconds of load; the scenario's by default"`
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
	if err := c.setUp(); err != nil {
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
