// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"madderway/lab/platform"
)

type outagesCommand struct {
	commonOptions
	Dir      string  `long:"dir" required:"true" description:"folder for the settings of the gateways"`
	Gateways int     `long:"gateways" default:"3" description:"number of gateways"`
	Seconds  int     `long:"seconds" default:"60" description:"duration of the run in seconds"`
	Store    string  `long:"store" default:"serves" choice:"serves" choice:"slow" choice:"slow-workers" description:"behaviour of the store; slow-workers delays the lists of workers at random"`
	Longest  float64 `long:"longest" default:"12" description:"longest allowed outage in seconds, restarts included"`
}

// Execute implements flags.Commander.
func (c *outagesCommand) Execute([]string) error {
	if err := c.setUpLog(); err != nil {
		return err
	}
	o := platform.SmallSite(1, time.Duration(c.Seconds)*time.Second)
	o.Gateways, o.External = c.Gateways, true
	s, err := platform.Start(o)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.WriteSettings(c.Dir); err != nil {
		return err
	}
	s.SetStoreMode(map[string]platform.StoreMode{"slow": platform.StoreSlow, "slow-workers": platform.StoreSlowWorkers}[c.Store])
	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	defer cancel()
	start, worst, count := time.Now(), time.Duration(0), 0
	var mu sync.Mutex
	s.WatchOutages(ctx, func(out platform.Outage) {
		mu.Lock()
		defer mu.Unlock()
		worst, count = max(worst, out.Length), count+1
		fmt.Printf("%8.3f s %-8s not served for %v, %d probes refused, %d unanswered\n", out.From.Sub(start).Seconds(), out.Kind, out.Length.Round(time.Millisecond), out.Refused, out.Unanswered)
	})
	fmt.Printf("%d outages, the longest %v\n", count, worst.Round(time.Millisecond))
	if v := s.Violations(); len(v) > 0 {
		return errors.New("violations: " + strings.Join(v, "; "))
	}
	if limit := time.Duration(c.Longest * float64(time.Second)); worst > limit {
		return fmt.Errorf("an outage of %v, at most %v allowed", worst, limit)
	}
	return nil
}
