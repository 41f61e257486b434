// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"madderway/modules/log"
	"madderway/services/trace"
)

type explainCommand struct {
	Router string   `long:"router" env:"MADDERWAY_ROUTER" default:"127.0.0.1:8081" description:"address of a router's operator API"`
	Token  string   `long:"token" env:"MADDERWAY_TOKEN" description:"operator token; not needed with --log"`
	Logs   []string `long:"log" description:"gateway log file to read instead of asking a router, '-' for standard input; may be repeated"`
	Args   struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"true"`
	} `positional-args:"yes" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	if c.Token == "" {
		return errors.New("--token is required without --log")
	}
	ctx, stop := signalContext()
	defer stop()
	records, err := operatorOptions{c.Router, c.Token}.client().Explain(ctx, c.Args.RequestID)
	if err != nil {
		return err
	}
	var events []trace.Event
	for _, r := range records {
		events = append(events, r.Events...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	fmt.Printf("request %s of account %s\n", records[0].RequestID, records[0].Account)
	for _, ev := range events {
		fmt.Printf("  %s  %-12s %-12s %s\n", ev.At.Format("15:04:05.000"), ev.Router, ev.Kind, ev.Detail)
	}
	return nil
}

// fromLogs prints the lines about the request from all logs, in order.
func (c *explainCommand) fromLogs() error {
	var lines []log.Line
	for _, name := range c.Logs {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	story := trace.LinesOfRequest(lines, c.Args.RequestID)
	if len(story) == 0 {
		return errors.New("no log line about request " + c.Args.RequestID + "; only a sample of ordinary requests is logged")
	}
	for _, l := range story {
		fmt.Println(l.Text)
	}
	return nil
}

func readLog(name string) ([]log.Line, error) {
	if name == "-" {
		return trace.ReadLines(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return trace.ReadLines(f)
}
