// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Command madderway-lab runs routers against stand-ins for the platform and the targets, for
// demonstrations and measurements. It is not part of the madderway binary.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"madderway/modules/log"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// common holds the flags shared by commands that run routers.
type commonOptions struct {
	Verbosity int    `long:"verbosity" default:"0" description:"log verbosity, from 0 to 4"`
	LogFile   string `long:"log" description:"file to write logs to; discarded by default"`
}

func (c commonOptions) setUpLog() error {
	if c.LogFile == "" {
		null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		log.Setup(null, c.Verbosity)
		return nil
	}
	f, err := os.Create(c.LogFile)
	if err != nil {
		return err
	}
	log.Setup(f, c.Verbosity)
	return nil
}

func main() {
	parser := flags.NewNamedParser("madderway-lab", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Demonstrates and measures madderway against stand-ins"
	commands := []struct {
		name, short string
		data        any
	}{
		{"demo", "Run stand-ins, four routers and 30 s of mixed load", &demoCommand{}},
		{"measure", "Run a load scenario and print its measurements", &measureCommand{}},
		{"platform", "Run gateways against a simulated platform", &platformCommand{}},
		{"outages", "Measure outages of gateways that others start and stop", &outagesCommand{}},
		{"stops", "Stop a gateway that others start, with requests all through its grace", &stopsCommand{}},
		{"takeups", "Take up streams at a gateway out of step; others start and signal the gateways", &takeUpsCommand{}},
		{"seconds", "Show the activity of gateways second by second, from their logs", &secondsCommand{}},
		{"standins", "Serve the stand-ins of a configuration for routers in other processes", &standinsCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			fmt.Fprintln(os.Stderr, "madderway-lab:", err)
			os.Exit(exitUsage)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "madderway-lab:", err)
		os.Exit(exitFailed)
	}
}
