// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"madderway/lab/platform"
)

type platformCommand struct {
	commonOptions
	Site    string  `long:"site" default:"small" choice:"small" choice:"medium" description:"size of the simulated site"`
	Seconds int     `long:"seconds" default:"20" description:"duration of load in seconds"`
	Seed    uint64  `long:"seed" default:"1" description:"random seed"`
	Load    float64 `long:"load" default:"1" description:"factor applied to all request rates"`
	Trouble string  `long:"trouble" description:"fault to inject after a third of the run, none by default; 'list' prints the available ones"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	if c.Trouble == "list" {
		fmt.Println(strings.Join(troubleNames(), "\n"))
		return nil
	}
	if c.Trouble != "" && platform.Troubles()[c.Trouble] == nil {
		return fmt.Errorf("unknown trouble %q; known: %s", c.Trouble, strings.Join(troubleNames(), ", "))
	}
	if err := c.setUpLog(); err != nil {
		return err
	}
	o := platform.SmallSite(c.Seed, time.Duration(c.Seconds)*time.Second)
	o.Load, o.Trouble = c.Load, c.Trouble
	if c.Site == "medium" {
		o.Gateways, o.Models, o.Plains, o.Accounts = 6, 9, 3, 16
	}
	s, err := platform.Start(o)
	if err != nil {
		return err
	}
	defer s.Close()
	r, err := s.Run()
	if err != nil {
		return err
	}
	printResult(r)
	if len(r.Violations) > 0 {
		return errors.New("violations: " + strings.Join(r.Violations, "; "))
	}
	return nil
}

func troubleNames() []string {
	var names []string
	for name := range platform.Troubles() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func printResult(r platform.Result) {
	fmt.Printf("sent %d, served %d (late %d), refused %d, failed %d, duplicates %d\n", r.Sent, r.Served, r.Late, r.Refused, r.Failed, r.Duplicates)
	fmt.Printf("prompt tokens prefilled %d, %d of them again\n", r.Prefilled, r.Reprefilled)
	fmt.Printf("cache transfers between workers %d, %d tokens\n", r.Copies, r.Copied)
	fmt.Printf("fairness %.2f (lowest served share of an account / highest)\n", r.Fairness)
	fmt.Printf("control per gateway and second: %.0f bytes sent, %v busy\n", r.ControlBytes, r.ControlTime.Round(time.Microsecond))
	fmt.Printf("store calls %d\n", r.StoreCalls)
}
