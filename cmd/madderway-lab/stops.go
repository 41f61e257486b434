// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"madderway/lab/platform"
)

type stopsCommand struct {
	commonOptions
	Dir      string `long:"dir" required:"true" description:"folder for the settings of the gateways"`
	Gateways int    `long:"gateways" default:"2" description:"number of gateways"`
	Rounds   int    `long:"rounds" default:"5" description:"number of stops"`
	Requests int    `long:"requests" default:"160" description:"requests in each stop"`
	GraceMS  int    `long:"grace" default:"4000" description:"grace period of the gateways in milliseconds"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the requests"`
}

// startTimeout bounds the time until a gateway serves after its start.
const startTimeout = 30 * time.Second

// Execute implements flags.Commander. It prints "start" and "stop" when the first gateway is to be started and
// to get SIGTERM.
func (c *stopsCommand) Execute([]string) error {
	if err := c.setUpLog(); err != nil {
		return err
	}
	grace := time.Duration(c.GraceMS) * time.Millisecond
	o := platform.SmallSite(c.Seed, time.Hour)
	o.Gateways, o.External, o.Kinds, o.Slots = c.Gateways, true, platform.StopKinds(grace), 4*c.Requests
	o.HeaderTimeout, o.Grace = 4*grace, grace
	s, err := platform.Start(o)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.WriteSettings(c.Dir); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Rounds)*(6*grace+startTimeout))
	defer cancel()
	rounds := &platform.StopRounds{
		Site: s, Grace: grace, Rounds: c.Rounds, Seed: c.Seed, PerStop: c.Requests,
		Start: func() { fmt.Println("start") }, Stop: func() { fmt.Println("stop") },
	}
	table, err := rounds.Run(ctx)
	unanswered := printStops(table)
	switch v := s.Violations(); {
	case err != nil:
		return err
	case len(v) > 0:
		return errors.New("violations: " + strings.Join(v, "; "))
	case unanswered > 0:
		return fmt.Errorf("%d requests ran and got no answer", unanswered)
	}
	return nil
}

// printStops prints the counts of a table by its dimensions, and returns the number of lost requests.
func printStops(table map[platform.StopCell]map[string]int) (lost int) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\t"+strings.Join(platform.StopOutcomes, "\t"))
	row := func(name string, is func(c platform.StopCell) bool) {
		sums := map[string]int{}
		for c, counts := range table {
			if is(c) {
				for o, n := range counts {
					sums[o] += n
				}
			}
		}
		if len(sums) == 0 {
			return
		}
		cells := []string{name}
		for _, o := range platform.StopOutcomes {
			cells = append(cells, fmt.Sprint(sums[o]))
		}
		if name == "all" {
			lost = sums["lost"]
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	works := map[time.Duration]bool{}
	for c := range table {
		works[c.Work] = true
	}
	for _, moment := range append([]string{"before"}, platform.StopMoments...) {
		for _, bytes := range platform.StopArrivals {
			for _, work := range slices.Sorted(maps.Keys(works)) {
				row(fmt.Sprintf("%s, %s, work %v", moment, bytes, work), func(c platform.StopCell) bool { return c.Moment == moment && c.Bytes == bytes && c.Work == work })
			}
		}
	}
	for _, kind := range []string{"unsafe", "keyed", "safe", "stream", "hanging"} {
		row(kind, func(c platform.StopCell) bool { return strings.HasPrefix(c.Kind, kind) })
	}
	row("new connections", func(c platform.StopCell) bool { return !c.Kept })
	row("kept connections", func(c platform.StopCell) bool { return c.Kept })
	row("all", func(platform.StopCell) bool { return true })
	return lost
}
