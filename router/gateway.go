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

	"madderway/core/cell"
	"madderway/core/member"
	coreorigin "madderway/core/origin"
	"madderway/core/place"
	core "madderway/core/quarantine"
	"madderway/handlers/gateway"
	"madderway/modules/clock"
	"madderway/modules/collector"
	"madderway/modules/ident"
	"madderway/modules/lateness"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/peernet"
	"madderway/modules/saturate"
	"madderway/modules/setting"
	"madderway/platform"
	"madderway/services/discover"
	"madderway/services/follow"
	"madderway/services/forward"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/origin"
	"madderway/services/quarantine"
	"madderway/services/relay"
	"madderway/services/upstream"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	dialTimeout   = 400 * time.Millisecond
	idlePerTarget = 8
	// Share of the file descriptors for callers' connections. Each may need another one to a
	// target, and takes about 25 KB of memory. With 0.6, 2,460 of them on a machine of 184 MB,
	// garbage collection took up the processor.
	callerConnShare = 0.45
	probeInterval   = 25 * time.Millisecond
	// Limit on the records of a heartbeat, about 80 bytes each: enough to spread the loss of 150
	// machines within two seconds.
	maxRumors = 128
	// Limit on the records of full syncs, 1.6 MB a second: hundreds of gateways join within a few
	// seconds, and each passes on what it has learned.
	maxSyncRecordsPerSecond = 20_000
)

// Gateway is a running gateway: a router in front of the targets that the platform lists.
type Gateway struct {
	t        tomb.Tomb
	log      log.Logger
	settings atomic.Pointer[setting.Gateway]
	clock    clock.Clock
	self     member.Record

	meter      *peernet.Meter
	relayMeter *peernet.Meter  // traffic of requests handed over, both ways
	traffic    *netopt.Traffic // with callers and targets
	loop       *mesh.Loop
	follow     *follow.Service
	relay      *relay.Service
	relayed    *relay.Server // of requests that other gateways hand over
	quarantine *quarantine.Service
	notices    *notice.Service
	origins    *origin.Service
	pool       *upstream.Pool
	guard      *forward.Guard
	probe      atomic.Pointer[lateness.Probe]
	collector  *collector.Collector // adjusted by the lateness probe
	standstill standstill
	forward    *forward.Service
	handler    *gateway.Handler

	peers     *peernet.Server
	callers   *gateway.Server
	readiness *http.Server
	operators *http.Server // nil without an address for metrics
	drainOnce sync.Once
	draining  chan struct{}
}

// StartGateway builds a gateway and starts it.
func StartGateway(s *setting.Gateway) (*Gateway, error) {
	debug.SetMemoryLimit(memoryPart(s, memoryShare))
	g := &Gateway{
		collector: collector.Start(int64(s.MemoryMB) << 20),
		clock:     clock.System{}, log: log.New("gateway").With(s.ID), meter: &peernet.Meter{}, relayMeter: &peernet.Meter{}, traffic: &netopt.Traffic{},
		draining: make(chan struct{}),
	}
	g.settings.Store(s)
	g.self = member.Record{
		ID: s.ID, Incarnation: ident.Incarnation(g.clock.Now().Unix()), Address: s.PeerAddress(), DataHall: s.DataHall, Region: s.Region,
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
	g.relayed = relay.NewServer(log.New("relay").With(s.ID), g.handler, memoryPart(s, receivingShare), g.configurationVersion)
	g.peers = peernet.NewRelayServer(&g.t, log.New("peer").With(s.ID), peernet.NewSharedKey(s.ID, s.PeerKey), g.meter, listeners[0], g.loop, g.relayed)
	g.serve(listeners[1:])
	probe, err := lateness.Start(&g.t, probeInterval, g.noteLateness)
	if err != nil {
		g.log.Error(err, "No lateness probe; overload is not detected.")
	}
	g.probe.Store(probe)
	g.t.Go(g.closeAtEnd)
	g.t.Go(func() error {
		g.forward.LogStats(g.t.Dying())
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
	g.origins = origin.New(log.New("origin").With(s.ID), origin.Options{
		Clock: g.clock, MetricsPrefix: "madderway_gateway", Sender: uint32(place.Score(s.ID, g.self.Incarnation)), FirstStart: s.FirstStart, InContact: g.inContact, CutOff: g.cutOff,
		ListFreshAt: func() time.Time {
			at, _ := g.follow.TargetsFreshAt()
			return at
		},
		Backup:     func(messages []origin.Backup) { g.loop.BackUpOrigins(messages) },
		Share:      func(records []coreorigin.Record, store bool) { g.loop.ShareOrigins(records, store) },
		ShareEarly: func(r coreorigin.Record) { g.loop.ShareEarlyOrigin(r) },
		Ask:        func(k coreorigin.Key, wide bool) []string { return g.loop.AskOrigin(k, wide) },
		Confirm:    func(ctx context.Context) error { return g.follow.Confirm(ctx) },
	})
	g.notices = notice.New(log.New("notice").With(s.ID), notice.Options{Clock: g.clock, MetricsPrefix: "madderway_gateway", OnLeaving: func() { g.follow.LeavingChanged() }})
	g.follow = follow.New(&g.t, log.New("follow").With(s.ID), follow.Options{
		Source: store, Peers: fetcher{g}, Clock: g.clock, LeavingTargets: g.notices, OnChange: g.applyUpdate, OnGap: g.origins.NoteGap, OnNewEra: g.storeRestored,
		Fleet: func() (bool, int) { return g.loop.Watches(), g.loop.Members() },
		Seed:  len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.PeerAddress()),
	})
	store.OnBadRow(g.follow.ReportBadRow)
	store.OnEra(g.follow.ObserveEra)
	g.pool = upstream.NewPool(dialTimeout, idlePerTarget, g.traffic)
	members := member.DefaultConfig()
	members.Interval, members.SuspectAfter, members.DeadAfter = 400*time.Millisecond, 1200*time.Millisecond, 1500*time.Millisecond
	members.EnableFullSync, members.MaxRumors, members.SyncRecordsPerSecond = true, maxRumors, maxSyncRecordsPerSecond
	g.quarantine = quarantine.New(log.New("quarantine").With(s.ID), quarantine.Options{
		Clock: g.clock, MetricsPrefix: "madderway_gateway", Share: func(r core.Record) { g.loop.ShareRecord(r) },
		SharePart: func(n core.PartNews) { g.loop.SharePartNews(n) },
	})
	client := upstream.NewClient(g.pool, platform.Dialect{}, g.notices.Answered)
	g.relay = relay.New(&g.t, log.New("relay").With(s.ID), relay.Options{
		Auth: auth, Meter: g.relayMeter, Clock: g.clock, Version: g.configurationVersion, OnNewerVersion: g.follow.ObservePeerConfiguration, MaxBuffered: memoryPart(s, slowCallerShare),
	})
	g.loop = mesh.NewLoop(&g.t, log.New("mesh").With(s.ID), mesh.Options{
		Self: g.self, Seeds: s.Seeds, Clock: g.clock, Auth: auth, Meter: g.meter, Member: members, Follow: g.follow, Quarantine: g.quarantine, Notices: g.notices, Origins: g.origins,
		FetchCachedParts: client.CachedParts, FairWindow: s.FairWindow.Duration, Scheduling: schedulingOf(s), OnMembers: g.setRelayPeers, OnIncarnationEnd: g.relay.Disconnect,
	})
	g.quarantine.RunArchive(&g.t, quarantine.ArchiveOptions{Archive: platform.NewQuarantineArchive(store), IsReader: g.loop.Watches, FirstStart: s.FirstStart})
	g.origins.RunBackups(&g.t)
	fleet := func() (bool, int) { return g.loop.Watches(), g.loop.Members() }
	g.origins.RunArchive(&g.t, origin.ArchiveOptions{Archive: platform.NewSoftwareArchive(store), Fleet: fleet})
	g.origins.RunRecordStore(&g.t, origin.RecordStoreOptions{Store: platform.NewStreamStore(store, g.follow.StoreTime), Keeps: g.loop.KeepsOrigins, Fleet: fleet})
	discover.Start(&g.t, log.New("discover").With(s.ID), discover.Options{
		Self: discover.Entry{ID: s.ID, Address: s.PeerAddress()}, Registry: platform.NewGatewayRegistry(store), Peers: g.loop, Clock: g.clock, Era: g.follow.Era,
		EmptyRegistry: s.FirstStart,
	})
	guard := forward.NewGuard(log.New("guard").With(s.ID), g.clock, forward.GuardOptions{
		Bytes: g.linkBytes, LinkMbps: s.LinkMbps, HandOverAvailable: g.relay.Available, HandOverDelay: g.relay.Waiting, EntryWait: func(now time.Time) time.Duration { return g.callers.EntryWait(now) }, Overdue: g.overdue,
		OnDutiesChanged: func(keepsUp, linkFull bool) { g.loop.SetStrength(strengthOf(s, keepsUp), !keepsUp && linkFull) },
	})
	g.guard = guard
	g.forward = forward.New(log.New("forward").With(s.ID), forward.Options{
		DataHall: s.DataHall, Clock: g.clock, Targets: g.follow, Mesh: g.loop, Client: client,
		Guard: guard, Retry: retryBudget(s), Quarantine: g.quarantine, Notices: g.notices, Origins: g.origins, MaxHeldAnswerBytes: memoryPart(s, answerShare),
		Scheduling: schedulingOf(s), PlainByRecent: s.Scheduling.PlainByRecent,
		Connections:       func() (int, uint64) { return g.callers.Open(), g.callers.TurnedAway() },
		TargetConnections: g.pool.LogValues,
	})
	g.handler = gateway.New(gateway.Options{
		Clock: g.clock, Dialect: platform.Dialect{}, Follow: g.follow, Forward: g.forward,
		MaxTotalBodyBytes: memoryPart(s, bodyShare), Resyncing: g.resyncing,
	})
}

// linkBytes returns the bytes that have crossed the machine's network link.
func (g *Gateway) linkBytes() (sent, received uint64) {
	sent, received = g.traffic.Bytes()
	return sent + g.meter.Bytes() + g.relayMeter.Bytes(), received + g.meter.Received.Load() + g.relayMeter.Received.Load()
}

// maxRelayPeers is the number of gateways that requests are handed over to. Few peers batch more
// answers into one read; more than one spreads the load where gateways differ in strength.
const maxRelayPeers = 6

// setRelayPeers selects the gateways that requests are handed over to: those of this data hall
// that keep up with their own callers.
func (g *Gateway) setRelayPeers(others []member.Record) {
	const percent = 100
	var nodes []place.Node
	eligible := map[string]member.Record{}
	for _, r := range others {
		if r.DataHall == g.self.DataHall && r.State == member.StateAlive && r.Strength > overloadedStrength {
			nodes = append(nodes, place.Node{ID: r.ID, Strength: r.Strength})
			eligible[r.ID] = r
		}
	}
	var peers []relay.Peer
	for _, id := range place.TopByStrength(nodes, g.self.ID, maxRelayPeers) {
		r := eligible[id]
		peers = append(peers, relay.Peer{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Strength: float64(r.Strength) / percent})
	}
	g.relay.SetPeers(peers)
}

// overloadedStrength is the strength, in percent of a core, of a gateway that cannot keep up with
// its own callers.
const overloadedStrength = 1

// overdue returns the current lateness of the process.
func (g *Gateway) overdue(now time.Time) time.Duration {
	probe := g.probe.Load()
	if probe == nil {
		return 0
	}
	return probe.Overdue(now)
}

// strengthOf returns the processor time available for scheduling, in percent of a core. A
// gateway that cannot keep up with its callers leaves scheduling to others.
func strengthOf(s *setting.Gateway, keepsUp bool) uint32 {
	const percent = 100
	if !keepsUp {
		return overloadedStrength
	}
	return saturate.Uint32(max(s.Processor*percent, overloadedStrength+1))
}

// schedulingOf returns the rules of scheduling under hard load.
func schedulingOf(s *setting.Gateway) cell.Scheduling {
	const kib = 1024
	h := s.Scheduling
	return cell.Scheduling{
		Rules:             cell.Rules{Forecast: h.Forecast, Returns: h.Returns, Room: h.Room, Handover: h.Handover, Pace: h.Pace, CrossingCost: h.CrossingCost.Duration},
		CompactTokenBytes: float64(h.CompactTokenKB) * kib,
	}
}

func retryBudget(s *setting.Gateway) forward.RetryBudget {
	return forward.RetryBudget{Window: s.RetryWindow.Duration, Ratio: s.RetryRatio, Extra: s.RetryExtra}
}

// Reload applies changed settings: the retry budget, the seeds, the times of a drain and the
// verbosity. Other settings need a restart.
func (g *Gateway) Reload(s *setting.Gateway) {
	old := g.settings.Swap(s)
	g.forward.SetRetryBudget(retryBudget(s))
	g.loop.SetSeeds(s.Seeds)
	log.SetVerbosity(s.Verbosity)
	fixed := old.ID != s.ID || old.Callers != s.Callers || old.Readiness != s.Readiness || old.Peers != s.Peers || old.PeersAdvertise != s.PeersAdvertise || old.Store != s.Store ||
		old.FairWindow != s.FairWindow || old.Scheduling != s.Scheduling
	g.log.Info("Settings reloaded.", "seeds", len(s.Seeds), "retry_ratio", s.RetryRatio, "grace", s.Grace.Duration, "needs_restart", fixed)
}

// storeRestored writes records again that a store restored from an older copy may lack. Only
// the few gateways that watch the store do so.
func (g *Gateway) storeRestored() {
	g.origins.EraChanged()
	if g.loop.Watches() {
		g.quarantine.RewriteArchive()
	}
}

// fetcher gives follow access to the loop, which is built after it.
type fetcher struct{ g *Gateway }

// FetchState implements follow.Peers.
func (f fetcher) FetchState(ctx context.Context, peer string, want follow.StateRequest) ([]byte, error) {
	return f.g.loop.FetchState(ctx, peer, want)
}

// applyUpdate applies a new configuration or list of targets.
func (g *Gateway) applyUpdate() {
	targets := g.follow.Targets()
	g.origins.SetTargets(targets)
	g.pool.Prune(targets)
	g.forward.SetRouting(g.follow.Index(), targets)
	g.loop.SetRouting(g.follow.Index(), targets)
	g.relayed.AnnounceVersion()
	if index := g.follow.Index(); index != nil {
		g.origins.SetConfiguration(index.Configuration)
		g.callers.SetLimits(index.Configuration.Limits)
	}
}

func (g *Gateway) serve(listeners []net.Listener) {
	g.callers = gateway.NewServer(log.New("callers").With(g.settings.Load().ID), listeners[0], g.handler, saturate.Int(callerConnShare*float64(g.settings.Load().Descriptors)), g.traffic)
	g.callers.SetEarlyAdmission(g.handler)
	g.callers.SetRelay(g.relay)
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, g.answerReadiness)
	g.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g.t.Go(g.callers.Serve)
	g.t.Go(func() error { return serveHTTP(g.readiness, listeners[1]) })
	if len(listeners) > 2 {
		g.operators = &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
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

// Ready reports whether the gateway accepts requests.
func (g *Gateway) Ready() bool {
	return !g.isDraining() && !g.resyncing() && g.follow.Index() != nil && g.follow.Targets().Len() > 0
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
	// An error here is that of the first duty that failed; a drain or Stop leaves none.
	g.log.Info("Gateway stops.", "error", g.t.Err(), "draining", g.isDraining(), "in_flight", g.inFlight())
	if g.callers != nil {
		g.callers.Close()
		_ = g.readiness.Close()
	}
	if g.operators != nil {
		_ = g.operators.Close()
	}
	return nil
}

// Stop stops the gateway at once.
func (g *Gateway) Stop() {
	g.t.Kill(nil)
	_ = g.t.Wait()
}

// Dead returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Dead() <-chan struct{} { return g.t.Dead() }

// Err returns the reason why the gateway stopped.
func (g *Gateway) Err() error { return g.t.Err() }

// Members returns the number of known gateways, including this one.
func (g *Gateway) Members() int { return g.loop.Members() }
