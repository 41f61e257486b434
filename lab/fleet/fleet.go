// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package fleet runs routers and stand-ins for the platform and the targets in one process,
// over loopback sockets. The demo, the load scenarios and the failure tests use it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"madderway/client"
	"madderway/handlers/operator"
	"madderway/lab/loopback"
	"madderway/lab/standin"
	"madderway/models/conf"
	"madderway/models/vm"
	"madderway/modules/setting"
	"madderway/router"
	"madderway/services/config"
)

// Secrets of the lab, for loopback only.
const (
	OperatorToken = "lab-operator-token"
	sharedKey     = "lab-shared-key-of-routers"
	resumeKey     = "lab-resume-key-of-routers"
)

// Options configures a fleet.
type Options struct {
	Routers   int
	Halls     []string
	Region    string
	Dispatch  string
	Tune      func(*setting.Settings) // changes a router's settings before it starts
	VMLag     time.Duration
	FirstPort int // first of consecutive ports on 127.0.0.1; 0 gives each router its own loopback address
}

// Node is one router of the fleet.
type Node struct {
	ID       string
	Hall     string
	Settings *setting.Settings
	Router   *router.Router
	Down     bool // killed by Kill
}

// Fleet is a set of routers with stand-ins for the platform and the targets.
type Fleet struct {
	opts    Options
	number  int // unique in this process, part of the loopback addresses
	Table   *standin.Table
	Objects *standin.Objects
	VMs     *standin.VMs
	Engines map[string]*standin.Engine
	Plains  map[string]*standin.Plain

	mu       sync.Mutex
	nodes    []*Node
	servers  []*standin.Server
	targets  map[string]*standin.Server
	handlers map[string]http.Handler // by target name
	crashed  []string                // targets crashed by a request and not yet restarted
	crashes  int                     // all crashes of targets caused by requests
	urls     [3]string               // table, object store, VM list
}

// New starts the stand-ins for the platform. Targets and routers are added afterwards.
func New(o Options) (*Fleet, error) {
	if len(o.Halls) == 0 {
		o.Halls = []string{"hall-a", "hall-b", "hall-c"}
	}
	if o.Region == "" {
		o.Region = "region-1"
	}
	f := &Fleet{
		opts: o, number: int(fleetCount.Add(1)), Table: standin.NewTable(), Objects: standin.NewObjects(), VMs: standin.NewVMs(o.VMLag),
		Engines: map[string]*standin.Engine{}, Plains: map[string]*standin.Plain{}, targets: map[string]*standin.Server{}, handlers: map[string]http.Handler{},
	}
	for i, h := range []interface{ Handler() http.Handler }{f.Table, f.Objects, f.VMs} {
		s, err := standin.Serve("127.0.0.1:0", h.Handler())
		if err != nil {
			f.Close()
			return nil, err
		}
		f.servers = append(f.servers, s)
		f.urls[i] = "http://" + s.Address
	}
	return f, nil
}

// Hall returns the data hall of the i-th machine.
func (f *Fleet) Hall(i int) string { return f.opts.Halls[i%len(f.opts.Halls)] }

// AddEngine starts a model engine and returns its target.
func (f *Fleet) AddEngine(pool, hall string, cfg standin.EngineConfig) (conf.Target, error) {
	e := standin.NewEngine(cfg)
	f.Engines[cfg.Name] = e
	return f.addTarget(cfg.Name, pool, hall, cfg.Slots, e.Handler())
}

// AddPlain starts a plain service and returns its target.
func (f *Fleet) AddPlain(pool, hall string, cfg standin.PlainConfig) (conf.Target, error) {
	p := standin.NewPlain(cfg)
	f.Plains[cfg.Name] = p
	return f.addTarget(cfg.Name, pool, hall, cfg.Slots, p.Handler())
}

func (f *Fleet) addTarget(name, pool, hall string, slots int, h http.Handler) (conf.Target, error) {
	h = f.crashable(name, h)
	s, err := standin.Serve("127.0.0.1:0", h)
	if err != nil {
		return conf.Target{}, err
	}
	f.mu.Lock()
	f.targets[name], f.handlers[name] = s, h
	f.mu.Unlock()
	t := conf.Target{Name: name, Pool: pool, Address: s.Address, DataHall: hall, Region: f.opts.Region, Slots: slots, ChecksOrders: true}
	f.VMs.Set(vm.VM{ID: name, Role: vm.RoleTarget, Address: s.Address, DataHall: hall, Region: f.opts.Region, State: vm.StateLive})
	return t, nil
}

// KillTarget closes a target's listener and connections for good.
func (f *Fleet) KillTarget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name].Close()
}

// StartRouters starts all routers, one after the other.
func (f *Fleet) StartRouters() error {
	for i := range f.opts.Routers {
		if _, err := f.StartRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts the i-th router, or restarts it with its old settings and empty state.
func (f *Fleet) StartRouter(i int) (*Node, error) {
	s, err := f.settings(i)
	if err != nil {
		return nil, err
	}
	r, err := router.Start(s)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &Node{ID: s.Router.ID, Hall: s.Router.DataHall, Settings: s, Router: r}
	for len(f.nodes) <= i {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[i] = n
	f.VMs.Set(f.vmOf(n, vm.StateLive))
	return n, nil
}

func (f *Fleet) vmOf(n *Node, state vm.State) vm.VM {
	return vm.VM{ID: n.ID, Role: vm.RoleRouter, Address: n.Settings.Peer.Listen, DataHall: n.Hall, Region: f.opts.Region, State: state}
}

func (f *Fleet) settings(i int) (*setting.Settings, error) {
	f.mu.Lock()
	var old *Node
	if i < len(f.nodes) {
		old = f.nodes[i]
	}
	f.mu.Unlock()
	if old != nil {
		return old.Settings, nil
	}
	s := setting.Default()
	s.Router = setting.Router{ID: fmt.Sprintf("router-%d", i+1), DataHall: f.Hall(i), Region: f.opts.Region}
	ports := f.ports(i)
	s.Caller.Listen, s.Operator.Listen, s.Peer.Listen = ports[0], ports[1], ports[2]
	sum := sha256.Sum256([]byte(OperatorToken))
	s.Operator.TokenSHA256 = []string{hex.EncodeToString(sum[:])}
	s.Peer.SharedKey, s.Answer.ResumeKey = sharedKey, resumeKey
	s.Platform.TableURL, s.Platform.ObjectURL, s.Platform.VMListURL = f.urls[0], f.urls[1], f.urls[2]
	if f.opts.Dispatch != "" {
		s.Control.Dispatch = f.opts.Dispatch
	}
	if f.opts.Tune != nil {
		f.opts.Tune(s)
	}
	return s, s.Check()
}

const (
	portsPerRouter = 3
	// below the ephemeral ports
	firstPort = 8101
)

// fleetCount is the number of fleets started in this process.
var fleetCount atomic.Int64

// ports returns the addresses of a router's listeners. Each fleet of each process uses its own
// loopback addresses: probing for a free port would race with other processes.
func (f *Fleet) ports(i int) []string {
	out := make([]string, portsPerRouter)
	for p := range out {
		if f.opts.FirstPort > 0 {
			out[p] = fmt.Sprintf("127.0.0.1:%d", f.opts.FirstPort+portsPerRouter*i+p)
			continue
		}
		out[p] = loopback.Address(f.number, 1+i, firstPort+p)
	}
	return out
}

// Nodes returns the routers.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.nodes...)
}

// Live returns the routers that are not killed.
func (f *Fleet) Live() []*Node {
	var live []*Node
	for _, n := range f.Nodes() {
		if n != nil && !n.Down {
			live = append(live, n)
		}
	}
	return live
}

// Kill stops a router without draining; it stays in the platform's VM list.
func (f *Fleet) Kill(n *Node) {
	f.mu.Lock()
	n.Down = true
	f.mu.Unlock()
	n.Router.Stop()
}

// Partition blocks the peer connections between a router and all others, or restores them.
func (f *Fleet) Partition(n *Node, cut bool) {
	for _, other := range f.Live() {
		if other == n {
			continue
		}
		n.Router.Block(other.ID, cut)
		other.Router.Block(n.ID, cut)
	}
}

// Client returns a client for a router's operator API.
func (f *Fleet) Client(n *Node) *client.Client {
	return client.New(n.Settings.Operator.Listen, OperatorToken)
}

// Apply submits a configuration through the first live router.
func (f *Fleet) Apply(ctx context.Context, d *conf.Document, operation string) (config.Receipt, error) {
	return f.Client(f.Live()[0]).Apply(ctx, operator.ApplyRequest{Document: d, Author: "lab", Operation: operation})
}

// AwaitReady waits until all live routers admit requests.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, n := range f.Live() {
		for n.Router.Ready() != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("router %s is not ready: %w", n.ID, n.Router.Ready())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops the routers, then the stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, n := range f.Live() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.Router.Stop()
		}()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		s.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// Account returns a client account whose API key is Key(name).
func Account(name string) conf.ClientAccount {
	sum := sha256.Sum256([]byte(Key(name)))
	return conf.ClientAccount{Name: name, KeySHA256: []string{hex.EncodeToString(sum[:])}}
}

// Key returns the API key of a lab account.
func Key(name string) string { return "key-of-" + name }
