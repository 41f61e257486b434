// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package measure

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"madderway/core/fair"
	"madderway/core/sched"
	"madderway/lab/fleet"
	"madderway/lab/load"
	"madderway/lab/standin"
	"madderway/modules/setting"
)

const (
	sampleInterval = 5 * time.Millisecond
	samplesPerGap  = 10 // samples per measurement of the gap
	settleTime     = 500 * time.Millisecond
	overheadCalls  = 300
	startTimeout   = 20 * time.Second
	finishTimeout  = 12 * time.Second
	promptWeight   = 0.25
	milliWeight    = 1
	maxCharge      = 1024 // max_cost of the model pool, the upper bound of estimates
	reportLag      = 100 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Scenario   Scenario
	Dispatch   string
	Seed       int64
	CounterAge time.Duration // interval of the service counters; 0 for the default
	// Overrides the routers' setting if not negative.
	TallyBudget  float64
	ReserveShare float64       // share of slots reserved for interactive requests while some arrive
	HeadStart    float64       // overrides the scenario's if not negative
	Duration     time.Duration // overrides the scenario's if not 0
	Progress     func(format string, args ...any)
}

// run is the state of a running scenario.
type run struct {
	opts            Options
	scenario        Scenario
	fleet           *fleet.Fleet
	client          *load.Client
	recorder        *load.Recorder
	modelService    *serviceCounter // service units of the model pool
	plainService    *serviceCounter // service units of the plain pool
	gap             *gapMeter
	outstanding     *outstanding
	waitBeforeFlood *load.Histogram // waiting times before the flood
	waitDuringFlood *load.Histogram // waiting times during the flood
	start           time.Time
	result          *Result
	busySlots       float64 // sum of busy slots over all samples with a backlog
	totalSlots      float64 // sum of all slots over the same samples
	keys            map[string]bool
	mu              sync.Mutex
	badAnswers      int // incomplete or foreign answers
	stop            chan struct{}
}

// Run runs a scenario against a new fleet and returns its measurements.
func Run(o Options) (*Result, error) {
	s := o.Scenario
	if o.Duration > 0 {
		s.Duration = o.Duration
	}
	if o.HeadStart >= 0 {
		s.HeadStart = o.HeadStart
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	r := &run{
		opts: o, scenario: s, client: load.NewClient(), recorder: load.NewRecorder(), modelService: newServiceCounter(), plainService: newServiceCounter(),
		gap: newGapMeter(s.Accounts), outstanding: newOutstanding(), waitBeforeFlood: load.NewHistogram(), waitDuringFlood: load.NewHistogram(),
		keys: map[string]bool{}, stop: make(chan struct{}),
		result: &Result{Scenario: s.Name, Dispatch: o.Dispatch, Seed: o.Seed, Routers: s.Routers, Targets: s.Engines + s.Plains, Refused: map[string]int{}, Events: []string{}},
	}
	if err := r.setUp(); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	defer r.client.Close()
	o.Progress("%d routers and %d targets are ready", s.Routers, s.Engines+s.Plains)
	r.measureOverhead()
	r.runLoad()
	r.collectResults()
	return r.result, nil
}

func (r *run) setUp() error {
	f, err := fleet.New(fleet.Options{Routers: r.scenario.Routers, Dispatch: r.opts.Dispatch, VMLag: 500 * time.Millisecond, Tune: r.tune})
	if err != nil {
		return err
	}
	r.fleet = f
	if err := r.startFleet(); err != nil {
		f.Close()
		return err
	}
	return nil
}

func (r *run) tune(s *setting.Settings) {
	if r.opts.CounterAge > 0 {
		s.Control.TallyInterval.Duration = r.opts.CounterAge
	}
	if r.opts.TallyBudget >= 0 {
		s.Control.TallyBudget = r.opts.TallyBudget
	}
	s.Control.ReserveShare = r.opts.ReserveShare
}

func (r *run) startFleet() error {
	d, err := r.scenario.document()
	if err != nil {
		return err
	}
	for i := range r.scenario.Engines {
		t, err := r.fleet.AddEngine(r.scenario.names.modelPool, r.fleet.Hall(i), standin.EngineConfig{
			Name: fmt.Sprintf("engine-%02d-%s", i, r.fleet.Hall(i)), Slots: r.scenario.Slots, FirstToken: r.scenario.FirstToken, TokenGap: r.scenario.TokenGap,
			LoadLag: time.Second, CacheSize: 32,
			OnService: func(account string, prompt, output int) {
				r.modelService.add(account, promptWeight*float64(prompt)+float64(output))
			},
		})
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, t)
	}
	for i := range r.scenario.Plains {
		t, err := r.fleet.AddPlain(r.scenario.names.plainPool, r.fleet.Hall(i), standin.PlainConfig{
			Name: fmt.Sprintf("plain-%02d-%s", i, r.fleet.Hall(i)), Slots: r.scenario.PlainSlots, Duration: r.scenario.PlainDuration, LoadLag: time.Second,
			OnRun: func(account string, took time.Duration) {
				r.plainService.add(account, milliWeight*float64(took.Milliseconds()))
			},
		})
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, t)
	}
	if err := r.fleet.StartRouters(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if _, err := r.fleet.Apply(ctx, d, "measure"); err != nil {
		return err
	}
	if err := r.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// targetHall returns the data hall in a target's name.
func targetHall(name string) string {
	parts := strings.SplitN(name, "-", 3)
	return parts[len(parts)-1]
}

// measureOverhead compares calls through a router with direct calls, on an idle fleet.
func (r *run) measureOverhead() {
	node := r.fleet.Live()[0]
	account := r.scenario.Accounts[0].Name
	direct, through := load.NewHistogram(), load.NewHistogram()
	chat := load.Chat{Model: r.scenario.names.model, Prompt: "overhead", MaxTokens: 1, Tokens: 1}
	address := r.engineAddress()
	ctx, cancel := context.WithTimeout(context.Background(), 2*finishTimeout)
	defer cancel()
	for range overheadCalls / 10 {
		direct.Add(r.client.Chat(ctx, address, "", chat).FirstEvent)
	}
	base := direct.Percentiles().P50
	for range overheadCalls / 10 {
		a := r.client.Chat(ctx, node.Settings.Caller.Listen, fleet.Key(account), chat)
		through.Add(a.FirstEvent - time.Duration(base*float64(time.Millisecond)))
	}
	r.result.OverheadMS = through.Percentiles()
}

func (r *run) engineAddress() string {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	reply, err := r.fleet.Client(r.fleet.Live()[0]).Get(ctx)
	if err != nil {
		return ""
	}
	for _, t := range reply.Document.Targets {
		if t.Pool == r.scenario.names.modelPool {
			return t.Address
		}
	}
	return ""
}

// runLoad runs load, faults and sampling for the scenario's duration.
func (r *run) runLoad() {
	bytesBefore, nanosBefore := r.traffic()
	r.start = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var callers, meters sync.WaitGroup
	for i, a := range r.scenario.Accounts {
		for k, st := range a.Streams {
			r.startStream(ctx, &callers, a, st, int64(i*100+k))
		}
	}
	meters.Add(1)
	go func() {
		defer meters.Done()
		r.sampleLoop()
	}()
	r.injectFaults(ctx)
	r.sleepUntil(r.scenario.Duration)
	elapsed := time.Since(r.start)
	bytesAfter, nanosAfter := r.traffic()
	close(r.stop)
	meters.Wait()
	r.result.Seconds = elapsed.Seconds()
	routers := float64(r.scenario.Routers)
	r.result.ControlBytesPerRouter = float64(bytesAfter-bytesBefore) / elapsed.Seconds() / routers
	r.result.ControlCPUFraction = float64(nanosAfter-nanosBefore) / 1e9 / elapsed.Seconds() / routers
	r.opts.Progress("load ended, waiting for the last answers")
	time.AfterFunc(finishTimeout, cancel)
	callers.Wait()
	cancel()
}

// traffic sums the control traffic in bytes and the time spent on it. The counters of a killed
// router are lost, so the sum is a little low under churn.
func (r *run) traffic() (bytes uint64, nanos int64) {
	for _, n := range r.fleet.Nodes() {
		b, t := n.Router.Traffic()
		bytes += b
		nanos += t
	}
	return bytes, nanos
}

func (r *run) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(r.start.Add(at)))
}

func (r *run) injectFaults(ctx context.Context) {
	if r.scenario.Faults == nil {
		return
	}
	for _, f := range r.scenario.Faults(r.scenario) {
		r.sleepUntil(f.At)
		if ctx.Err() != nil {
			return
		}
		f.Do(r.fleet)
		r.result.Events = append(r.result.Events, fmt.Sprintf("%.1f s: %s", f.At.Seconds(), f.Name))
		r.opts.Progress("%.1f s: %s", f.At.Seconds(), f.Name)
	}
}

// sampleLoop samples utilisation and the fairness gap until the run stops.
func (r *run) sampleLoop() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case now := <-ticker.C:
			r.sample(now, n)
		}
	}
}

func (r *run) sample(now time.Time, n int) {
	busy, slots, runningBy := 0, 0, map[string]int{}
	for _, e := range r.fleet.Engines {
		if e.Aborted() {
			continue
		}
		running, _, _ := e.Load()
		busy += min(running, r.scenario.Slots)
		slots += r.scenario.Slots
		e.RunningByAccount(runningBy)
	}
	outstanding := r.outstanding.byAccount()
	total := 0
	for _, a := range outstanding {
		total += a
	}
	if total > busy && total-busy >= r.scenario.Routers {
		r.busySlots += float64(busy)
		r.totalSlots += float64(slots)
	}
	if n%samplesPerGap == 0 {
		r.gap.sample(now, now.Sub(r.start), r.modelService.snapshot(), func(account string) bool { return outstanding[account] > runningBy[account] })
	}
	if n%int(3*time.Second/sampleInterval) == 0 {
		r.opts.Progress("%4.1f s: %d of %d slots busy, %d requests outstanding", now.Sub(r.start).Seconds(), busy, slots, total)
	}
}

// bound returns the fairness bound of docs/design/fairness.md for this run.
func (r *run) bound() float64 {
	control := setting.Default().Control
	least := control.TallyInterval.Duration
	if r.opts.CounterAge > 0 {
		least = r.opts.CounterAge
	}
	if r.opts.TallyBudget >= 0 {
		control.TallyBudget = r.opts.TallyBudget
	}
	age := sched.TallyInterval(r.scenario.Routers-1, len(r.scenario.Accounts), least, control.TallyBudget)
	r.result.CounterAgeSeconds = age.Seconds()
	slots := r.scenario.Engines * r.scenario.Slots
	return fair.Bound(fair.BoundParams{
		Slots: slots, MaxCost: r.maxCost(), MaxCharge: min(float64(r.scenario.MaxTokens)/2, maxCharge),
		Rate: float64(slots) / r.scenario.TokenGap.Seconds(), CounterAge: age, Lag: reportLag, HeadStart: r.scenario.HeadStart,
	})
}

func (r *run) maxCost() float64 {
	maxTokens := 0
	for _, a := range r.scenario.Accounts {
		for _, st := range a.Streams {
			maxTokens = max(maxTokens, st.MaxTokens)
		}
	}
	return float64(maxTokens) + 32
}
