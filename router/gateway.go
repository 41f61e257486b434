// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/drain"
	"madderway/core/member"
	"madderway/core/place"
	core "madderway/core/quarantine"
	"madderway/core/watch"
	"madderway/handlers/gateway"
	"madderway/modules/clock"
	"madderway/modules/ident"
	"madderway/modules/lateness"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/peernet"
	"madderway/modules/setting"
	"madderway/platform"
	"madderway/services/discover"
	"madderway/services/follow"
	"madderway/services/forward"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/quarantine"
	"madderway/services/relay"
	"madderway/services/upstream"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	dialTimeout   = 400 * time.Millisecond
	idlePerTarget = 8
	// callerShare is the part of the descriptors that callers' connections may take. Each may
	// need another one to a target, and each takes some 25 KB: with 0.6, that is 2,460 of them
	// on a machine of 184 MB, the collector took the processor's time.
	callerShare = 0.45
	drainPoll   = 20 * time.Millisecond
	probeEvery  = 25 * time.Millisecond
	// maxRumors bounds the records of a heartbeat, some 80 bytes each: the loss of half
	// of 300 machines is told on within a second or two.
	maxRumors = 128
	// memoryShare is the part of the memory that the runtime aims to stay under,
	// bodyShare the part that bodies may take.
	memoryShare = 0.6
	// garbagePercent is how much garbage, in percent of what is in use, the collector waits
	// for: its runs under a flood make a process of a fifth of a core late by 100 to 300 ms.
	garbagePercent = 300
	bodyShare      = 0.25
)

// Gateway is one running gateway: a router in front of targets that the
// platform lists.
type Gateway struct {
	t        tomb.Tomb
	log      log.Logger
	settings atomic.Pointer[setting.Gateway]
	clock    clock.Clock
	self     member.Record

	meter   *peernet.Meter
	carried *peernet.Meter  // carried counts what is carried for other gateways, or by them.
	traffic *netopt.Traffic // traffic is that with callers and targets.
	loop    *mesh.Loop
	follow  *follow.Service
	relay   *relay.Service
	// requests are those under which targets ended.
	requests *quarantine.Service
	// notices are what targets have said of themselves.
	notices *notice.Service
	pool    *upstream.Pool
	guard   *forward.Guard
	probe   atomic.Pointer[lateness.Probe]
	// standstill is the last time at which the process had not run for long.
	standstill standstill
	forward    *forward.Service
	handler    *gateway.Handler

	callers   *gateway.Server
	readiness *http.Server
	operators *http.Server // operators is nil where no address for metrics is set.
	drainOnce sync.Once
	draining  chan struct{}
}

// StartGateway builds a gateway and starts it.
func StartGateway(s *setting.Gateway) (*Gateway, error) {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	g := &Gateway{
		clock: clock.System{}, log: log.New("gateway").With(s.ID), meter: &peernet.Meter{}, carried: &peernet.Meter{}, traffic: &netopt.Traffic{},
		draining: make(chan struct{}),
	}
	g.settings.Store(s)
	g.self = member.Record{
		ID: s.ID, Incarnation: ident.Incarnation(g.clock.Now().Unix()), Address: s.Peers, DataHall: s.DataHall, Region: s.Region,
		Strength: strengthOf(s, true),
	}
	addresses := []string{s.Peers, s.Callers, s.Readiness}
	if s.Metrics != "" {
		addresses = append(addresses, s.Metrics)
	}
	listeners, err := listenAll(addresses...)
	if err != nil {
		return nil, err
	}
	g.assemble()
	g.serve(listeners[1:])
	peernet.NewRelayServer(&g.t, log.New("peer").With(s.ID), peernet.NewSharedKey(s.ID, s.PeerKey), g.meter, listeners[0], g.loop, relay.NewServer(log.New("relay").With(s.ID), g.handler))
	probe, err := lateness.Start(&g.t, probeEvery, g.late)
	if err != nil {
		g.log.Error(err, "No probe of lateness; overload is not noticed.")
	}
	g.probe.Store(probe)
	g.t.Go(g.closeAtEnd)
	g.t.Go(func() error {
		g.forward.TellSeconds(g.t.Dying())
		return nil
	})
	g.follow.Start()
	g.log.Info("Gateway started.", "id", s.ID, "incarnation", g.self.Incarnation, "hall", s.DataHall, "seeds", len(s.Seeds))
	return g, nil
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := netopt.Listen(a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

func (g *Gateway) assemble() {
	s := g.settings.Load()
	auth := peernet.NewSharedKey(s.ID, s.PeerKey)
	store := platform.NewStore(s.Store, s.StoreCall.Duration)
	g.notices = notice.New(log.New("notice").With(s.ID), notice.Options{Clock: g.clock, Figures: "madderway_gateway", OnLeaving: func() { g.follow.LeavingChanged() }})
	g.follow = follow.New(&g.t, log.New("follow").With(s.ID), follow.Options{
		Source: store, Peers: fetcher{g}, Clock: g.clock, Leavers: g.notices, OnChange: g.changed, OnEra: g.storeCameBack,
		Fleet: func() (bool, int) { return g.loop.Watches(), g.loop.Members() },
		Start: watch.Start{Seed: len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Peers), FleetStart: s.FirstStart},
	})
	store.OnBadRow(g.follow.NoteBadRow)
	store.OnEra(g.follow.NoteEra)
	g.pool = upstream.NewPool(dialTimeout, idlePerTarget, g.traffic)
	members := member.DefaultConfig()
	members.Interval, members.SuspectAfter, members.DeadAfter = 400*time.Millisecond, 1200*time.Millisecond, 1500*time.Millisecond
	members.EnableFullSync, members.MaxRumors = true, maxRumors
	g.requests = quarantine.New(log.New("quarantine").With(s.ID), quarantine.Options{
		Clock: g.clock, Figures: "madderway_gateway", Tell: func(r core.Record) { g.loop.ShareRecord(r) },
	})
	client := upstream.NewClient(g.pool, platform.Dialect{}, g.notices.Answered)
	g.relay = relay.New(&g.t, log.New("relay").With(s.ID), relay.Options{Auth: auth, Meter: g.carried, Clock: g.clock})
	g.loop = mesh.NewLoop(&g.t, log.New("mesh").With(s.ID), mesh.Options{
		Self: g.self, Seeds: s.Seeds, Clock: g.clock, Auth: auth, Meter: g.meter, Member: members, Follow: g.follow, Quarantine: g.requests, Notices: g.notices,
		FetchCachedParts: client.Kept, FairWindow: s.FairWindow.Duration, OnMembers: g.setRelief, OnIncarnationEnd: g.relay.Disconnect,
	})
	g.requests.Keep(&g.t, quarantine.Keeping{Archive: platform.NewQuarantine(store), Looks: g.loop.Watches, Empty: s.FirstStart})
	discover.Start(&g.t, log.New("discover").With(s.ID), discover.Options{
		Self: discover.Entry{ID: s.ID, Address: s.Peers}, Register: platform.NewGateways(store), Peers: g.loop, Clock: g.clock, Era: g.follow.Era,
		Empty: s.FirstStart,
	})
	guard := forward.NewGuard(log.New("guard").With(s.ID), g.clock, forward.GuardOptions{
		Bytes: g.crossed, LinkMbps: s.LinkMbps, Relief: g.relay.Available, Queued: g.relay.Waiting, Overdue: g.overdue,
		OnDuties: func(keepsUp, linkFull bool) { g.loop.SetStrength(strengthOf(s, keepsUp), !keepsUp && linkFull) },
	})
	g.guard = guard
	g.forward = forward.New(log.New("forward").With(s.ID), forward.Options{
		DataHall: s.DataHall, Clock: g.clock, Follow: g.follow, Mesh: g.loop, Client: client,
		Guard: guard, Retry: retryBudget(s), Requests: g.requests, Notices: g.notices,
		Connections: func() (int, uint64) { return g.callers.Open(), g.callers.TurnedAway() },
	})
	g.handler = gateway.New(gateway.Options{
		Clock: g.clock, Dialect: platform.Dialect{}, Follow: g.follow, Forward: g.forward,
		MaxBodies: int64(bodyShare * float64(s.MemoryMB<<20)), Unsettled: g.unsettled,
	})
}

// crossed returns the bytes that have crossed the machine's link.
func (g *Gateway) crossed() (sent, received uint64) {
	sent, received = g.traffic.Bytes()
	return sent + g.meter.Bytes() + g.carried.Bytes(), received + g.meter.Received.Load() + g.carried.Received.Load()
}

// reliefs is how many gateways take requests of one over: the fewer they are, the more
// answers come in one read. Where a hall's gateways differ the strong ones come first, and
// one of them could take all.
const reliefs = 6

// setRelief tells who may take requests over: gateways of this data hall that keep up with
// their own callers.
func (g *Gateway) setRelief(others []member.Record) {
	const percent = 100
	var nodes []place.Node
	able := map[string]member.Record{}
	for _, r := range others {
		if r.DataHall == g.self.DataHall && r.State == member.StateAlive && r.Strength > spent {
			nodes = append(nodes, place.Node{ID: r.ID, Strength: r.Strength})
			able[r.ID] = r
		}
	}
	var peers []relay.Peer
	for _, id := range place.TopByStrength(nodes, g.self.ID, reliefs) {
		r := able[id]
		peers = append(peers, relay.Peer{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Strength: float64(r.Strength) / percent})
	}
	g.relay.SetPeers(peers)
}

// spent is the strength, in percent of a core, of a gateway that cannot keep up with its
// own callers.
const spent = 1

// overdue returns how late the probe of lateness already is.
func (g *Gateway) overdue(now time.Time) time.Duration {
	probe := g.probe.Load()
	if probe == nil {
		return 0
	}
	return probe.Overdue(now)
}

// strengthOf returns what the machine has to give to scheduling, in percent of a core.
// One that cannot keep up with its callers leaves it to others.
func strengthOf(s *setting.Gateway, keepsUp bool) uint32 {
	const percent = 100
	if !keepsUp {
		return spent
	}
	return uint32(max(s.Processor*percent, spent+1))
}

func retryBudget(s *setting.Gateway) forward.RetryBudget {
	return forward.RetryBudget{Window: s.RetryWindow.Duration, Ratio: s.RetryRatio, Extra: s.RetryExtra}
}

// Reload puts changed settings in force: the retry budget, the seeds, the times
// of a planned stop and the verbosity. Addresses and the ID hold for the life of
// the process.
func (g *Gateway) Reload(s *setting.Gateway) {
	old := g.settings.Swap(s)
	g.forward.SetRetry(retryBudget(s))
	g.loop.SetSeeds(s.Seeds)
	log.SetVerbosity(s.Verbosity)
	fixed := old.ID != s.ID || old.Callers != s.Callers || old.Readiness != s.Readiness || old.Peers != s.Peers || old.Store != s.Store ||
		old.FairWindow != s.FairWindow
	g.log.Info("Settings reloaded.", "seeds", len(s.Seeds), "retry_ratio", s.RetryRatio, "grace", s.Grace.Duration, "needs_restart", fixed)
}

// storeCameBack writes again what may be lost with a store that has come back from an older
// copy. Few gateways do, as few do at the start.
func (g *Gateway) storeCameBack() {
	if g.loop.Watches() {
		g.requests.KeepAgain()
	}
}

// fetcher lets follow reach the loop, which is built after it.
type fetcher struct{ g *Gateway }

// FetchState implements follow.Peers.
func (f fetcher) FetchState(ctx context.Context, peer string, want follow.StateWanted) ([]byte, error) {
	return f.g.loop.FetchState(ctx, peer, want)
}

// changed passes a new configuration or list of targets on.
func (g *Gateway) changed() {
	targets := g.follow.Targets()
	g.pool.Keep(targets)
	g.forward.SetTargets(targets)
	g.loop.SetRouting(g.follow.Index(), targets)
	if x := g.follow.Index(); x != nil {
		g.callers.SetLimits(x.Configuration.Limits)
	}
}

func (g *Gateway) serve(listeners []net.Listener) {
	g.callers = gateway.NewServer(log.New("callers").With(g.settings.Load().ID), listeners[0], g.handler, int(callerShare*float64(g.settings.Load().Descriptors)), g.traffic)
	g.callers.JudgeEarly(g.handler)
	g.callers.SetRelay(g.relay)
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, g.answerReadiness)
	g.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g.t.Go(g.callers.Serve)
	g.t.Go(func() error { return serveHTTP(g.readiness, listeners[1]) })
	if len(listeners) > 2 {
		g.operators = &http.Server{Handler: g.figures(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		g.t.Go(func() error { return serveHTTP(g.operators, listeners[2]) })
	}
}

func (g *Gateway) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready tells whether the gateway takes requests.
func (g *Gateway) Ready() bool {
	return !g.isDraining() && !g.unsettled() && g.follow.Index() != nil && len(g.follow.Targets().Targets) > 0
}

func (g *Gateway) isDraining() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

func (g *Gateway) closeAtEnd() error {
	<-g.t.Dying()
	if g.callers != nil {
		g.callers.Close()
		_ = g.readiness.Close()
	}
	if g.operators != nil {
		_ = g.operators.Close()
	}
	return nil
}

// Drain makes a planned stop: the balancer and the peers are told, requests
// that still arrive are served while there is time, what is in flight ends. The
// listener stays open to the end, since the balancer may still use it.
func (g *Gateway) Drain() {
	g.drainOnce.Do(func() {
		s := g.settings.Load()
		plan := drain.Plan{Started: g.clock.Now(), Linger: s.Linger.Duration, Grace: s.Grace.Duration}
		g.log.Info("Drain started.", "open", g.open())
		close(g.draining)
		g.handler.Drain(gateway.ServeClosing)
		g.loop.Leave()
		for {
			phase := plan.Phase(g.clock.Now(), g.open())
			if phase == drain.Exit {
				break
			}
			if phase == drain.Refuse {
				g.handler.Drain(gateway.RefuseAll)
			}
			<-g.clock.After(drainPoll)
		}
		g.log.Info("Drain ended.", "cut", g.open(), "after", g.clock.Now().Sub(plan.Started))
		g.Stop()
	})
}

// open returns how many requests are under way here, or elsewhere for this gateway.
func (g *Gateway) open() int { return g.handler.Open() + g.callers.Relaying() }

// Stop ends the gateway at once.
func (g *Gateway) Stop() {
	g.t.Kill(nil)
	_ = g.t.Wait()
}

// Dead returns a channel that is closed when the gateway has ended.
func (g *Gateway) Dead() <-chan struct{} { return g.t.Dead() }

// Err returns why the gateway ended.
func (g *Gateway) Err() error { return g.t.Err() }

// Members returns how many gateways this one knows, itself included.
func (g *Gateway) Members() int { return g.loop.Members() }
