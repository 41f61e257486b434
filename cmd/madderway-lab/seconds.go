// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"io"
	"os"

	"madderway/lab/seconds"
	"madderway/services/trace"
)

type secondsCommand struct {
	SVG  string `long:"svg" description:"also write a chart to this SVG file"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes" required:"true"`
}

// Execute implements flags.Commander.
func (c *secondsCommand) Execute([]string) error {
	var readers []io.Reader
	for _, name := range c.Args.Logs {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	lines, err := trace.ReadLines(io.MultiReader(readers...))
	if err != nil {
		return err
	}
	all := seconds.Gather(lines)
	if len(all) == 0 {
		return errors.New("the logs contain no per-second lines of a scheduler")
	}
	if err := seconds.WriteTable(os.Stdout, all); err != nil {
		return err
	}
	if c.SVG == "" {
		return nil
	}
	f, err := os.Create(c.SVG)
	if err != nil {
		return err
	}
	return errors.Join(seconds.WriteSVG(f, all), f.Close())
}
