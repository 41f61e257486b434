// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"madderway/lab/standin"
	"madderway/models/conf"
	"madderway/models/vm"
)

type standinsCommand struct {
	commonOptions
	File    string        `short:"f" long:"file" required:"true" description:"TOML file, or directory of TOML files, with the targets to serve at their addresses"`
	Table   string        `long:"table" default:"127.0.0.1:9001" description:"listen address of the table"`
	Objects string        `long:"objects" default:"127.0.0.1:9002" description:"listen address of the object store"`
	VMs     string        `long:"vms" default:"127.0.0.1:9003" description:"listen address of the VM list"`
	Routers []string      `long:"vm" description:"router to add to the VM list, as ID=PEER-ADDRESS=HALL=REGION; may be repeated"`
	Gap     time.Duration `long:"token-gap" default:"20ms" description:"time per token of an engine, and per call of a plain target"`
}

// Execute implements flags.Commander.
func (c *standinsCommand) Execute([]string) error {
	d, err := conf.LoadFiles(c.File)
	if err != nil {
		return err
	}
	if err := d.Check(); err != nil {
		return err
	}
	vms := standin.NewVMs(time.Second)
	if err := c.addRouters(vms); err != nil {
		return err
	}
	if err := c.serve(d, vms); err != nil {
		return err
	}
	fmt.Printf("table %s, object store %s, VM list %s, %d targets; POST /fault to any of them injects faults\n",
		c.Table, c.Objects, c.VMs, len(d.Targets))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func (c *standinsCommand) addRouters(vms *standin.VMs) error {
	for _, text := range c.Routers {
		v, err := parseVM(text)
		if err != nil {
			return err
		}
		vms.Set(v)
	}
	return nil
}

func (c *standinsCommand) serve(d *conf.Document, vms *standin.VMs) error {
	kinds := map[string]conf.PoolKind{}
	for _, p := range d.Pools {
		kinds[p.Name] = p.Kind
	}
	if _, err := standin.Serve(c.Table, standin.NewTable().Handler()); err != nil {
		return err
	}
	if _, err := standin.Serve(c.Objects, standin.NewObjects().Handler()); err != nil {
		return err
	}
	if _, err := standin.Serve(c.VMs, vms.Handler()); err != nil {
		return err
	}
	for _, t := range d.Targets {
		handler := standin.NewPlain(standin.PlainConfig{Name: t.Name, Slots: t.Slots, Duration: c.Gap}).Handler()
		if kinds[t.Pool] == conf.KindModel {
			handler = standin.NewEngine(standin.EngineConfig{
				Name: t.Name, Slots: t.Slots, FirstToken: c.Gap, TokenGap: c.Gap, LoadLag: time.Second, CacheSize: 32,
			}).Handler()
		}
		if _, err := standin.Serve(t.Address, handler); err != nil {
			return err
		}
		vms.Set(vm.VM{ID: t.Name, Role: vm.RoleTarget, Address: t.Address, DataHall: t.DataHall, Region: t.Region, State: vm.StateLive})
	}
	return nil
}
