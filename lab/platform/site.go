// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"madderway/lab/loopback"
	"madderway/modules/setting"
	"madderway/router"
)

// Options configures a run of a site.
type Options struct {
	Gateways int
	Models   int
	Plains   int
	Accounts int
	Length   time.Duration
	Load     float64 // factor for the request rates of all kinds
	Seed     uint64
	Trouble  string // name of one of Troubles, or empty
	External bool   // the gateways are processes that somebody else starts; see WriteSettings
	// CutLinks puts a Network between the gateways and the store.
	CutLinks bool
	// MaxBody is the configured limit on the bytes of a request's body; 0 is defaultMaxBody.
	MaxBody int
	// HeaderTimeout is the configured limit on the time to read a request's header; 0 is defaultHeaderTimeout.
	HeaderTimeout time.Duration
	// RouteTimeout is the configured timeout of the routes of all kinds; 0 is the deadline of each kind.
	RouteTimeout time.Duration
	Kinds        []Kind        // of requests; Kinds() if empty
	Grace        time.Duration // of the gateways, 0 for the default
	Slots        int           // of each worker, 0 for those of a small site
}

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultMaxBody       = 1 << 20
)

// SmallSite returns the options of a site that runs on a laptop.
func SmallSite(seed uint64, length time.Duration) Options {
	return Options{Gateways: 3, Models: 4, Plains: 2, Accounts: 4, Length: length, Load: 1, Seed: seed}
}

// Site is a running stand-in of the platform behind real gateways.
type Site struct {
	opts   Options
	number int // unique in this process, part of the loopback addresses
	ctx    context.Context
	cancel context.CancelFunc
	store  *Store
	links  *Network // nil if gateways and the store are connected directly
	ledger *Ledger
	rng    *rand.Rand

	restarting sync.Mutex // held while a worker is restarted

	mu          sync.Mutex
	gateways    []*gatewayNode
	workers     []*Worker
	version     int
	config      map[string]any // newest configuration row
	keys        map[string][]string
	extraRoutes int // additional routes that no client uses
	nextID      int
	crashed     []*Worker // workers crashed by a request and not yet restarted
	crashes     int       // all crashes of workers caused by requests
}

// gatewayNode holds the name and settings of a gateway across restarts, and the running instance.
type gatewayNode struct {
	name    string
	setting *setting.Gateway
	running *router.Gateway
	ready   bool
}

const (
	modelService = "model"
	plainService = "plain"
)

// Start starts a store with a configuration, the workers and the gateways. Run starts the
// clients.
func Start(o Options) (*Site, error) {
	o.MaxBody = cmp.Or(o.MaxBody, defaultMaxBody)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		opts: o, number: int(siteCount.Add(1)), ctx: ctx, cancel: cancel, store: NewStore(), ledger: NewLedger(), rng: rand.New(rand.NewPCG(o.Seed, 3)), keys: map[string][]string{},
	}
	if o.CutLinks {
		s.links = newNetwork()
	}
	for i := range o.Accounts {
		name := fmt.Sprint("account-", i)
		s.keys[name] = []string{"key-of-" + name}
	}
	s.PutConfig()
	for range o.Models {
		if err := s.AddWorker(true); err != nil {
			return nil, err
		}
	}
	for range o.Plains {
		if err := s.AddWorker(false); err != nil {
			return nil, err
		}
	}
	return s, s.startGateways()
}

func (s *Site) startGateways() error {
	var seeds []string
	for i := range s.opts.Gateways {
		g, err := s.newNode(i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.setting.PeerAddress())
		}
	}
	for _, g := range s.gateways {
		g.setting.Seeds = seeds
		if s.opts.External {
			g.setting.Scheduling = externalScheduling()
			continue
		}
		again := *g.setting
		g.setting.FirstStart = true
		if err := s.startGateway(g); err != nil {
			return err
		}
		g.setting = &again
	}
	return nil
}

func (s *Site) newNode(i int) (*gatewayNode, error) {
	set := setting.DefaultGateway()
	name := fmt.Sprint("gateway-", i)
	set.ID, set.DataHall, set.Region, set.PeerKey = name, fmt.Sprint("hall-", i%3), "region", "a key of the stand-in"
	store, err := s.store.Listen(name)
	if err != nil {
		return nil, err
	}
	set.Store, set.RetryExtra = store, 20
	if s.opts.Grace > 0 {
		set.Grace.Duration, set.Linger.Duration = s.opts.Grace, s.opts.Grace/lingerShare
	}
	set.Callers, set.Readiness, set.Peers = s.address(i, portCallers), s.address(i, portReadiness), s.address(i, portPeers)
	if s.links != nil {
		set.PeersAdvertise = s.address(i, portAdvertised)
		if set.Store, err = s.links.linkStore(name, store); err == nil {
			err = s.links.linkPeers(name, set.PeersAdvertise, set.Peers)
		}
	}
	return &gatewayNode{name: name, setting: &set}, err
}

// lingerShare is the ratio of the grace to the linger in the settings of a gateway.
const lingerShare = 4

// Ports of a gateway, below the ephemeral ports.
const (
	portCallers = 8001 + iota
	portReadiness
	portPeers
	portAdvertised
	portMetrics
)

// siteCount is the number of sites started in this process.
var siteCount atomic.Int64

// address returns a listen address of a gateway. Each site of each process uses its own loopback
// addresses, so that concurrent runs do not conflict.
func (s *Site) address(gateway, port int) string { return s.hostAddress(1+gateway, port) }

// workerHost is the last byte of the workers' loopback address.
const workerHost = 254

func (s *Site) hostAddress(host, port int) string {
	return loopback.Address(s.number, host, port)
}

func (s *Site) startGateway(g *gatewayNode) error {
	running, err := router.StartGateway(g.setting)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.running, g.ready = running, true
	return nil
}

// Model workers copy cached tokens ten times faster than they prefill.
const (
	copyRate   = 400_000.0 // tokens a second
	tokenBytes = 100_000.0 // cache bytes of a token
	modelSlots = 16
)

// workerAt returns the worker that listens at an address, or nil.
func (s *Site) workerAt(address string) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.listener.Addr().String() == address {
			return w
		}
	}
	return nil
}

// gateway picks a gateway as a load balancer would, a random ready one or any if none is ready,
// and returns its address.
func (s *Site) gateway(rng *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*gatewayNode
	for _, g := range s.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = s.gateways
	}
	return ready[rng.IntN(len(ready))].setting.Callers
}

// AwaitReady waits until all gateways are ready and know each other.
func (s *Site) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if s.allReady() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.New("timed out: not all gateways are ready")
}

func (s *Site) allReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		if g.running == nil || !g.running.Ready() || g.running.Members() < len(s.gateways) {
			return false
		}
	}
	return true
}

// Run sends requests for the length of the run, injects the fault of Options.Trouble after a third of it, and
// returns the result.
func (s *Site) Run() (Result, error) {
	defer s.cancel()
	if err := s.AwaitReady(10 * time.Second); err != nil {
		return Result{}, err
	}
	var clients sync.WaitGroup
	sending, stop := context.WithTimeout(s.ctx, s.opts.Length)
	defer stop()
	seed := s.opts.Seed * 1000
	for account, keys := range s.keys {
		for _, k := range s.kinds() {
			seed++
			k.PerSecond *= s.opts.Load / float64(s.opts.Accounts)
			c := newClient(s, k, account, keys[0], seed+hash(account))
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.sendLoop(sending, s.ctx)
			}()
		}
	}
	if trouble := Troubles()[s.opts.Trouble]; trouble != nil {
		select {
		case <-time.After(s.opts.Length / 3):
			trouble(s)
		case <-sending.Done():
		}
	}
	clients.Wait()
	return s.result(), nil
}

// sendLoop sends requests at random times until sending is done, and waits for their answers.
func (c *client) sendLoop(sending, answering context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		gap := time.Duration(c.rng.ExpFloat64() / c.kind.PerSecond * float64(time.Second))
		select {
		case <-time.After(gap):
		case <-sending.Done():
			return
		}
		one := *c
		one.rng = rand.New(rand.NewPCG(c.rng.Uint64(), 4))
		c.sent++
		open.Add(1)
		go func() {
			defer open.Done()
			one.sendWithRetry(answering)
		}()
	}
}

// Close stops the gateways, the workers and the store.
func (s *Site) Close() {
	s.cancel()
	s.mu.Lock()
	gateways, workers := s.gateways, s.workers
	s.mu.Unlock()
	for _, g := range gateways {
		if g.running != nil {
			g.running.Stop()
		}
	}
	for _, w := range workers {
		w.Crash()
	}
	s.store.Close()
	if s.links != nil {
		s.links.close()
	}
}

// Result holds the measurements of a run.
type Result struct {
	Counts
	Accounts               map[string]Counts
	Violations             []string
	StoreCalls             int
	Reprefilled, Prefilled int           // prompt tokens: shared ones that were prefilled again, and all
	Copies                 int           // transfers of cached parts between workers
	Copied                 int           // tokens of these transfers
	ControlBytes           float64       // bytes a second that a gateway sent to peers, on average
	ControlTime            time.Duration // time a gateway spent on control in a second, on average
	Fairness               float64       // ratio of the lowest to the highest served share of an account
}

func (s *Site) measureControl(r *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := s.opts.Length.Seconds() * float64(len(s.gateways))
	for _, g := range s.gateways {
		bytes, busy := g.running.Traffic()
		r.ControlBytes += float64(bytes) / seconds
		r.ControlTime += time.Duration(float64(busy) / seconds)
	}
}

func (s *Site) result() Result {
	for _, g := range s.gateways {
		s.checkStalls(g)
	}
	r := Result{Violations: s.ledger.Violations(), StoreCalls: s.store.Calls()}
	r.Counts, r.Accounts = s.ledger.Totals()
	for _, w := range s.workers {
		again, all := w.Prefilled()
		r.Reprefilled += again
		r.Prefilled += all
		copies, tokens := w.Copied()
		r.Copies += copies
		r.Copied += tokens
	}
	s.measureControl(&r)
	low, high := 1.0, 0.0
	for _, c := range r.Accounts {
		share := float64(c.Served) / float64(max(c.Sent, 1))
		low, high = min(low, share), max(high, share)
	}
	if high > 0 {
		r.Fairness = low / high
	}
	return r
}
