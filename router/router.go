// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package router assembles routers and gateways from their services.
//
// Start runs a Router, which schedules requests to model engines and plain services by the
// configuration in the platform's table. StartGateway runs a Gateway, which forwards requests
// unchanged to the targets that the platform lists. Other programs can embed both.
package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/admit"
	"madderway/core/fair"
	"madderway/core/lease"
	"madderway/core/member"
	"madderway/core/naive"
	core "madderway/core/quarantine"
	"madderway/core/sched"
	"madderway/handlers/caller"
	"madderway/handlers/operator"
	"madderway/models/conf"
	"madderway/modules/clock"
	"madderway/modules/ident"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/peernet"
	"madderway/modules/retryafter"
	"madderway/modules/setting"
	"madderway/services/answer"
	"madderway/services/claim"
	"madderway/services/config"
	"madderway/services/control"
	"madderway/services/dispatch"
	"madderway/services/engine"
	"madderway/services/membership"
	"madderway/services/notice"
	"madderway/services/order"
	"madderway/services/peer"
	"madderway/services/platform"
	"madderway/services/quarantine"
	"madderway/services/trace"
)

const (
	// Time for the balancer and the peers to learn that this router leaves before it refuses
	// requests.
	leaveDelay = 200 * time.Millisecond
)

// Router is a running router.
type Router struct {
	t        tomb.Tomb
	log      log.Logger
	settings *setting.Settings
	clock    clock.Clock
	self     member.Record

	meter      *peernet.Meter
	server     *peernet.Server
	loop       *control.Loop
	quarantine *quarantine.Service
	notices    *notice.Service
	config     *config.Service
	peers      *peer.Service
	claims     *claim.Service
	answers    *answer.Store
	dispatch   *dispatch.Service
	engine     *engine.Client
	traces     *trace.Recorder
	orders     *order.Service

	caller       *caller.Handler
	callerHTTP   *http.Server
	operatorHTTP *http.Server

	drainOnce sync.Once
	draining  chan struct{}
	stopped   chan struct{}
	assembled chan struct{} // closed once assemble has set the fields that callbacks use
}

// Start builds and starts a router. It fails if it cannot listen or load a key.
func Start(s *setting.Settings) (*Router, error) {
	r := &Router{
		settings: s, clock: clock.System{}, log: log.New("router").With(s.Router.ID),
		meter: &peernet.Meter{}, draining: make(chan struct{}), stopped: make(chan struct{}), assembled: make(chan struct{}),
	}
	auth, err := newAuth(s)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(s.Peer.Listen, s.Caller.Listen, s.Operator.Listen)
	if err != nil {
		return nil, err
	}
	r.self = member.Record{
		ID: s.Router.ID, Incarnation: ident.Incarnation(r.clock.Now().Unix()),
		Address: s.Peer.Address(), DataHall: s.Router.DataHall, Region: s.Router.Region,
	}
	r.assemble(auth, listeners[0])
	r.serve(listeners[1], listeners[2])
	r.log.Info("Router started.", "incarnation", r.self.Incarnation, "hall", s.Router.DataHall,
		"callers", listeners[1].Addr(), "operators", listeners[2].Addr(), "peers", listeners[0].Addr())
	return r, nil
}

func newAuth(s *setting.Settings) (*peernet.Auth, error) {
	if s.Peer.TLS() {
		return peernet.NewTLS(s.Router.ID, s.Peer.TLSCert, s.Peer.TLSKey, s.Peer.TLSCA)
	}
	return peernet.NewSharedKey(s.Router.ID, s.Peer.SharedKey), nil
}

func listen(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := netopt.ListenAny(a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		out = append(out, l)
	}
	return out, nil
}

// assemble builds the services, from those towards the peers to those towards the callers.
func (r *Router) assemble(auth *peernet.Auth, peerListener net.Listener) {
	s, id := r.settings, r.settings.Router.ID
	table := platform.NewHTTPTable(s.Platform.TableURL, s.Platform.Timeout.Duration)
	objects := platform.NewHTTPObjects(s.Platform.ObjectURL, s.Platform.Timeout.Duration)
	r.engine = engine.NewClient(s.Platform.Timeout.Duration)
	r.traces = trace.NewRecorder(id, r.clock, s.Control.TraceSize)
	r.peers = peer.New()
	// The tomb would die if all its goroutines ended before the next one is added.
	r.t.Go(r.closeAtEnd)
	r.config = config.New(&r.t, log.New("config").With(id), config.Options{
		Clock: r.clock, Table: table, Objects: objects, Peers: r.peers, Isolation: s.Platform.Isolation.Duration,
		PollHead: s.Platform.PollHead.Duration, Timeout: s.Platform.Timeout.Duration, OnAdopt: r.adopt,
	})
	r.quarantine = quarantine.New(log.New("quarantine").With(id), quarantine.Options{
		Clock: r.clock, MetricsPrefix: "madderway", Share: func(record core.Record) { r.loop.ShareRecord(record) },
		SharePart: func(n core.PartNews) { r.loop.SharePartNews(n) },
	})
	r.notices = notice.New(log.New("notice").With(id), notice.Options{Clock: r.clock, MetricsPrefix: "madderway"})
	r.engine.OnRetryAfter = func(target string, retryAfter retryafter.Result) { r.notices.PauseTarget(target, "", retryAfter) }
	r.loop = control.NewLoop(&r.t, log.New("control").With(id), r.controlOptions(auth))
	close(r.assembled)
	r.peers.Attach(r.loop, r.config, r.traces)
	r.server = peernet.NewServer(&r.t, log.New("peer").With(id), auth, r.meter, peerListener, r.peers)
	r.claims = claim.New(&r.t, log.New("claim").With(id), claim.Options{
		Clock: r.clock, Table: table, Timeout: s.Platform.Timeout.Duration, Retention: s.Platform.ClaimKept.Duration, IsDead: r.memberIsDead,
	})
	r.claims.Sweep(r.isSweeper)
	r.answers = answer.NewStore(&r.t, log.New("answer").With(id), answer.Options{
		Clock: r.clock, Objects: objects, Retention: s.Answer.Kept.Duration, MaxBytes: s.Answer.MaxBytes, Timeout: s.Platform.Timeout.Duration,
	})
	r.dispatch = dispatch.New(&r.t, log.New("dispatch").With(id), dispatch.Options{
		RouterID: id, Incarnation: r.self.Incarnation, DataHall: s.Router.DataHall, Clock: r.clock, Loop: r.loop,
		Config: r.config, Engine: r.engine, Claims: r.claims, Answers: r.answers, Signer: answer.NewSigner(s.Answer.ResumeKey),
		Trace: r.traces, RetryRatio: s.Control.RetryRatio, RetryBurst: s.Control.RetryBurst, ClaimRetention: s.Platform.ClaimKept.Duration, Quarantine: r.quarantine,
		Notices: r.notices, MaxHeld: s.Answer.MaxHeld,
	})
	r.orders = order.New(log.New("order").With(id), order.Options{
		RouterID: id, Incarnation: r.self.Incarnation, Clock: r.clock, Table: table, Sender: r.engine,
		Lease: lease.DefaultConfig(), Timeout: s.Platform.Timeout.Duration,
	})
	membership.New(&r.t, log.New("member").With(id), membership.Options{
		Clock: r.clock, VMs: platform.NewHTTPVMs(s.Platform.VMListURL, s.Platform.Timeout.Duration), Engine: r.engine, Loop: r.loop,
		PollList: s.Platform.PollVMs.Duration, PollLoad: s.Platform.PollLoad.Duration, Timeout: s.Platform.Timeout.Duration,
		Targets: r.polledTargets, PoolKind: r.poolKind,
	})
}

func (r *Router) controlOptions(auth *peernet.Auth) control.Options {
	c := r.settings.Control
	reporter := fair.Reporter{ID: r.self.ID, Incarnation: r.self.Incarnation}
	var disp admit.Dispatcher = admit.New(reporter)
	if c.Dispatch == setting.DispatchNaive {
		disp = naive.New()
	}
	m := member.DefaultConfig()
	m.Interval, m.SuspectAfter, m.DeadAfter = c.Heartbeat.Duration, c.SuspectAfter.Duration, c.DeadAfter.Duration
	return control.Options{
		Self: r.self, Clock: r.clock, Auth: auth, Meter: r.meter, Dispatcher: disp, Member: m,
		Scheduler: sched.Options{
			Self: reporter, TallyInterval: c.TallyInterval.Duration, TallyBudget: c.TallyBudget,
		},
		ReserveShare: c.ReserveShare, Versions: r.config, DialTimeout: r.settings.Peer.DialTimeout.Duration, LinkQueueSize: r.settings.Peer.Ring,
		Quarantine: r.quarantine,
	}
}

func (r *Router) adopt(s *config.Snapshot) {
	<-r.assembled
	r.loop.SetIndex(s.Index)
}

// polledTargets returns the targets whose load is polled: those that this router schedules, or
// all with the naive dispatcher.
func (r *Router) polledTargets() []*conf.Target {
	if r.settings.Control.Dispatch != setting.DispatchNaive {
		return r.loop.Owned()
	}
	s := r.config.Snapshot()
	if s == nil {
		return nil
	}
	var all []*conf.Target
	for i := range s.Index.Document.Targets {
		all = append(all, &s.Index.Document.Targets[i])
	}
	return all
}

func (r *Router) poolKind(pool string) conf.PoolKind {
	s := r.config.Snapshot()
	if s == nil {
		return ""
	}
	p, ok := s.Index.Pool(pool)
	if !ok {
		return ""
	}
	return p.Kind
}

// memberIsDead reports whether an incarnation of a router is known to be dead.
func (r *Router) memberIsDead(id string, incarnation uint64) bool {
	if id == r.self.ID {
		return incarnation != r.self.Incarnation
	}
	for _, m := range r.loop.Members() {
		if m.ID == id {
			return m.State == member.StateDead || m.Incarnation > incarnation
		}
	}
	return false
}

// isSweeper reports whether this router deletes expired rows: the live router with the lowest ID
// does.
func (r *Router) isSweeper() bool {
	for _, m := range r.loop.Members() {
		if m.State == member.StateAlive && m.ID < r.self.ID {
			return false
		}
	}
	return true
}

func (r *Router) serve(callers, operators net.Listener) {
	s := r.settings
	r.caller = caller.New(s.Router.ID, s.Caller.MaxBodyBytes, r.config, r.dispatch, r.t.Dying())
	r.callerHTTP = &http.Server{
		Handler: r.caller.Routes(), MaxHeaderBytes: s.Caller.MaxHeaderBytes, ReadTimeout: s.Caller.ReadTimeout.Duration,
		IdleTimeout: s.Caller.IdleTimeout.Duration, ErrorLog: nil,
	}
	oper := operator.New(operator.Options{
		RouterID: s.Router.ID, TokenSHA256: s.Operator.TokenSHA256, Config: r.config, Peers: r.peers, Orders: r.orders,
		Ready: r.Ready, Dump: func() any { return r.Dump() }, Metrics: r.writeMetrics, Drain: func() { go r.Drain() }, Status: r.fillStatus,
	})
	r.operatorHTTP = &http.Server{Handler: oper.Routes(), MaxHeaderBytes: s.Caller.MaxHeaderBytes, ReadTimeout: time.Minute}
	r.t.Go(func() error { return serveHTTP(r.callerHTTP, callers) })
	r.t.Go(func() error { return serveHTTP(r.operatorHTTP, operators) })
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (r *Router) closeAtEnd() error {
	<-r.t.Dying()
	_ = r.callerHTTP.Close()
	_ = r.operatorHTTP.Close()
	r.engine.Close()
	return nil
}

// Ready returns nil, or the reason why the router accepts no requests.
func (r *Router) Ready() error {
	select {
	case <-r.draining:
		return errDraining(r.self.ID)
	default:
		return r.dispatch.Admit()
	}
}

// answerTimeout bounds the time in which the requests are answered that a drain does not wait for any longer.
const answerTimeout = time.Second

// Drain stops the router gracefully: it tells the peers, refuses new requests as not run and
// waits for those in flight. At the end of that time it answers them with what is known.
func (r *Router) Drain() {
	r.drainOnce.Do(func() {
		r.log.Info("Drain started.")
		close(r.draining)
		r.loop.Leave()
		<-r.clock.After(leaveDelay)
		ctx, cancel := context.WithTimeout(context.Background(), r.settings.Caller.DrainTimeout.Duration)
		defer cancel()
		ended := r.caller.Drain(ctx)
		if !ended {
			r.log.Info("Drain goes on without waiting for targets.")
			r.dispatch.GiveUp()
			answering, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			ctx = answering
			r.caller.Drain(ctx)
		}
		closed := r.claims.Wait(ctx)
		// Refusals that are being written must arrive.
		if err := r.callerHTTP.Shutdown(ctx); err != nil {
			r.log.Warn("Connections of callers were cut.", "error", err)
		}
		r.log.Info("Drain ended.", "requests_ended", ended, "claims_closed", closed)
		r.Stop()
	})
	<-r.stopped
}

// Stop stops the router at once.
func (r *Router) Stop() {
	r.t.Kill(nil)
	_ = r.t.Wait()
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// Dead returns a channel that is closed when the router has stopped.
func (r *Router) Dead() <-chan struct{} { return r.t.Dead() }

// Err returns the reason why the router stopped.
func (r *Router) Err() error { return r.t.Err() }
