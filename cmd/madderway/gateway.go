// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"os/signal"
	"syscall"

	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/setting"
	"madderway/router"
)

type gatewayCommand struct {
	Config string `long:"config" required:"true" description:"settings file" env:"MADDERWAY_NODE_FILE"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	s, err := setting.LoadGateway(c.Config)
	if err != nil {
		return err
	}
	out := log.NewAsync(os.Stdout, clock.System{}, log.DefaultBudget())
	defer out.Close()
	log.Setup(out, s.Verbosity)
	clock.OnReadError(func(err error) { log.New("clock").Error(err, "Time in suspension is not counted.") })
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	g, err := router.StartGateway(s)
	if err != nil {
		return err
	}
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				go g.Drain()
				continue
			}
			// An invalid file changes nothing.
			if s, err = setting.LoadGateway(c.Config); err != nil {
				log.New("gateway").Error(err, "Settings not reloaded.")
				continue
			}
			g.Reload(s)
		case <-g.Dead():
			return g.Err()
		}
	}
}
