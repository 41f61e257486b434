// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"madderway/router"
)

// Trouble puts a gateway out of step with the others.
type Trouble string

// Troubles of a gateway. TroubleStop suspends its process, the others cut its links.
const (
	TroubleStop         Trouble = "stop"
	TroubleCutStore     Trouble = "cut-store"
	TroubleCutPeers     Trouble = "cut-peers"
	TroubleCutAll       Trouble = "cut-all"
	TroubleCutToStore   Trouble = "cut-to-store"
	TroubleCutFromPeers Trouble = "cut-from-peers"
)

// CutTroubles returns the troubles that cut links.
func CutTroubles() []Trouble {
	return []Trouble{TroubleCutStore, TroubleCutPeers, TroubleCutAll, TroubleCutToStore, TroubleCutFromPeers}
}

// CutGateway cuts links of a gateway until HealLinks.
func (s *Site) CutGateway(gateway int, t Trouble) {
	name := s.gateways[gateway].name
	if t == TroubleCutStore || t == TroubleCutAll || t == TroubleCutToStore {
		s.links.Cut(name, storeNode)
	}
	if t == TroubleCutStore || t == TroubleCutAll {
		s.links.Cut(storeNode, name)
	}
	for _, other := range s.gateways {
		if other.name == name {
			continue
		}
		if t == TroubleCutPeers || t == TroubleCutAll || t == TroubleCutFromPeers {
			s.links.Cut(other.name, name)
		}
		if t == TroubleCutPeers || t == TroubleCutAll {
			s.links.Cut(name, other.name)
		}
	}
}

// HealLinks restores the links of all gateways.
func (s *Site) HealLinks() { s.links.Heal() }

// TakeUp is a round in which a gateway is out of step while workers of a new software version join.
// Streams begin at the other gateways, break off and continue at that one.
type TakeUp struct {
	Gateway int // out of step
	Trouble Trouble
	Length  time.Duration
	Seed    uint64
}

const (
	takeUpGateways = 3
	takeUpWorkers  = 9
	takeUpJoining  = 6 // workers of the new version
	takeUpDraining = 5 // workers of the old version
	takeUpStreams  = 40
	inStepStreams  = 8 // streams that continue at a gateway that is in step
	takeUpAccounts = takeUpStreams + inStepStreams

	takeUpListed   = 30 * time.Millisecond  // from the start of the trouble to the new list
	takeUpLead     = 40 * time.Millisecond  // from the first take-ups to the end of a stop
	takeUpSpread   = 20 * time.Millisecond  // within which callers take up at the end of a stop
	takeUpOverrun  = 500 * time.Millisecond // after the trouble, for streams that have not begun
	takeUpPoll     = 2 * time.Millisecond
	takeUpSettle   = time.Second
	takeUpReady    = 20 * time.Second
	takeUpRetry    = 50 * time.Millisecond
	takeUpLogged   = 500 * time.Millisecond // in which a gateway has written its log
	takeUpSoftware = "v2"

	minStop, maxStop = 50 * time.Millisecond, 2500 * time.Millisecond
	minCut, maxCut   = 100 * time.Millisecond, 2900 * time.Millisecond
)

// DrawTakeUp draws a round.
func DrawTakeUp(seed, round uint64) TakeUp {
	rng := rand.New(rand.NewPCG(seed, round))
	t := TakeUp{Gateway: rng.IntN(takeUpGateways), Trouble: TroubleStop}
	shortest, longest := minStop, maxStop
	if cuts := CutTroubles(); rng.IntN(2) == 1 {
		t.Trouble = cuts[rng.IntN(len(cuts))]
		shortest, longest = minCut, maxCut
	}
	scale := math.Pow(float64(longest)/float64(shortest), rng.Float64())
	t.Length = time.Duration(float64(shortest) * scale).Round(time.Millisecond)
	t.Seed = rng.Uint64() >> 1
	return t
}

// Processes starts, stops and signals the gateways' processes.
type Processes interface {
	Start() error // all gateways, with the settings written
	Suspend(gateway int) error
	Resume(gateway int) error
	End() error // all gateways
}

// TakeUpCounts counts streams that callers took up.
type TakeUpCounts struct {
	Joined  int // events of two versions
	GoneOn  int
	Refused map[string]int // by status and name of the result
	Failed  int
	Later   int // of the refused, those that went on at the gateway that began them after the delay they were told
}

// AllRefused returns the number of refusals.
func (c *TakeUpCounts) AllRefused() int {
	n := 0
	for _, count := range c.Refused {
		n += count
	}
	return n
}

// All returns the number of streams.
func (c *TakeUpCounts) All() int { return c.Joined + c.GoneOn + c.AllRefused() + c.Failed }

// Add adds other counts.
func (c *TakeUpCounts) Add(other TakeUpCounts) {
	if c.Refused == nil {
		c.Refused = map[string]int{}
	}
	c.Joined, c.GoneOn, c.Failed, c.Later = c.Joined+other.Joined, c.GoneOn+other.GoneOn, c.Failed+other.Failed, c.Later+other.Later
	for reason, n := range other.Refused {
		c.Refused[reason] += n
	}
}

// TakeUpResult is the result of a round.
type TakeUpResult struct {
	OutOfStep, InStep TakeUpCounts
	NotBegun          int      // streams that had not begun, or were whole, at the end of the trouble
	Late              int      // streams taken up after the end of the trouble
	JoinedStreams     []string // descriptions
	Violations        []string
}

// takeUpRun is a running round.
type takeUpRun struct {
	TakeUp
	site *Site
	kind Kind
	rng  *rand.Rand

	mu     sync.Mutex
	result TakeUpResult
}

// RunTakeUp runs a round with processes whose settings it writes into a folder.
func RunTakeUp(ctx context.Context, t TakeUp, dir string, p Processes) (TakeUpResult, error) {
	s, err := Start(Options{Gateways: takeUpGateways, Models: takeUpWorkers, Accounts: takeUpAccounts, External: true, CutLinks: true, Seed: t.Seed, Length: time.Minute})
	if err != nil {
		return TakeUpResult{}, err
	}
	defer s.Close()
	for i, g := range s.gateways {
		g.setting.FirstStart, g.setting.Metrics = true, s.address(i, portMetrics)
	}
	if err := s.WriteSettings(dir); err != nil {
		return TakeUpResult{}, err
	}
	if err := p.Start(); err != nil {
		return TakeUpResult{}, err
	}
	r := &takeUpRun{TakeUp: t, site: s, kind: Kinds()[1], rng: rand.New(rand.NewPCG(t.Seed, 0))}
	r.kind.Prefixes, r.kind.SharedTokens, r.kind.OwnTokens = 1<<20, 50, 50
	err = s.awaitProcesses(ctx)
	if err == nil {
		err = r.run(ctx, p)
	}
	r.result.Violations = slices.DeleteFunc(s.Violations(), isJoin)
	return r.result, errors.Join(err, p.End())
}

// awaitProcesses waits until all gateways are ready and know each other and the workers.
func (s *Site) awaitProcesses(ctx context.Context) error {
	for end := time.Now().Add(takeUpReady); time.Now().Before(end); sleep(ctx, takeUpRetry) {
		ready := 0
		for _, g := range s.gateways {
			d, err := readDump(ctx, g.setting.Metrics)
			if err == nil && d.Ready && d.Targets == len(s.workers) && len(d.Mesh.Members) == len(s.gateways)-1 {
				ready++
			}
		}
		if ready == len(s.gateways) {
			sleep(ctx, takeUpSettle)
			return ctx.Err()
		}
	}
	return errors.New("timed out: not all gateways are ready")
}

func readDump(ctx context.Context, address string) (*router.GatewayDump, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	d := &router.GatewayDump{}
	return d, json.NewDecoder(resp.Body).Decode(d)
}

// run runs the round once the gateways are ready.
func (r *takeUpRun) run(ctx context.Context, p Processes) error {
	for _, w := range r.site.Workers(r.kind) {
		w.SetFault(FaultStallNew)
	}
	if r.Trouble != TroubleStop {
		r.site.CutGateway(r.Gateway, r.Trouble)
	} else if err := p.Suspend(r.Gateway); err != nil {
		return err
	}
	start := time.Now()
	sleep(ctx, takeUpListed)
	if err := r.release(); err != nil {
		return err
	}
	var streams sync.WaitGroup
	for i := range takeUpStreams + inStepStreams {
		streams.Go(r.stream(ctx, i, start))
	}
	sleep(ctx, time.Until(start.Add(r.Length)))
	var err error
	if r.Trouble != TroubleStop {
		r.site.HealLinks()
	} else {
		err = p.Resume(r.Gateway)
	}
	streams.Wait()
	sleep(ctx, takeUpLogged)
	return err
}

// release lists workers of the new version and drains some of the old one.
func (r *takeUpRun) release() error {
	old := r.site.Workers(r.kind)
	for range takeUpJoining {
		if err := r.site.addWorker(true, takeUpSoftware, FaultStallNew); err != nil {
			return err
		}
	}
	for _, w := range old[:takeUpDraining] {
		w.Drain()
	}
	return nil
}

// stream returns a function that begins a stream at a gateway in step, breaks it off and takes it up.
func (r *takeUpRun) stream(ctx context.Context, i int, start time.Time) func() {
	in := []int{(r.Gateway + 1) % takeUpGateways, (r.Gateway + 2) % takeUpGateways}
	from, to, counts := in[i%2], r.Gateway, &r.result.OutOfStep
	if i >= takeUpStreams {
		to, counts = in[(i+1)%2], &r.result.InStep
	}
	end := start.Add(r.Length)
	takeUpAt := start.Add(time.Duration(float64(r.Length) * (0.4 + 0.6*r.rng.Float64())))
	if r.Trouble == TroubleStop {
		takeUpAt = end.Add(time.Duration(r.rng.Int64N(int64(takeUpSpread))) - takeUpLead)
	}
	caller := r.site.NewStreamCaller(r.kind, fmt.Sprint("account-", i), r.rng.Uint64())
	return func() {
		if !r.begin(ctx, caller, from, takeUpAt, end.Add(takeUpOverrun)) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.result.NotBegun++
			return
		}
		at := time.Now()
		a := caller.Try(ctx, to)
		if a.Refused {
			sleep(ctx, a.After)
			caller.Try(ctx, from)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if at.After(end) {
			r.result.Late++
		}
		r.count(counts, caller, a, at.Sub(start))
	}
}

// begin begins a stream at a gateway and breaks it off at a time, or as soon as it has begun. It returns
// false if it has not begun before the end.
func (r *takeUpRun) begin(ctx context.Context, caller *StreamCaller, from int, breakAt, end time.Time) bool {
	beginning, breakOff := context.WithCancel(ctx)
	defer breakOff()
	var attempts sync.WaitGroup
	attempts.Go(func() {
		for n := 0; n == 0 && beginning.Err() == nil; n, _ = caller.Events() {
			if a := caller.Try(beginning, from); !a.Served {
				sleep(beginning, takeUpRetry)
			}
		}
	})
	for {
		now := time.Now()
		n, _ := caller.Events()
		if n > 0 && now.After(breakAt) || now.After(end) || ctx.Err() != nil {
			break
		}
		sleep(ctx, takeUpPoll)
	}
	breakOff()
	attempts.Wait()
	n, whole := caller.Events()
	return n > 0 && !whole
}

// count counts a stream by the answer to its take-up; the caller holds mu.
func (r *takeUpRun) count(counts *TakeUpCounts, caller *StreamCaller, a Answer, at time.Duration) {
	attempt, software := caller.Versions()
	_, whole := caller.Events()
	if counts.Refused == nil {
		counts.Refused = map[string]int{}
	}
	switch {
	case len(software) > 1:
		counts.Joined++
		r.result.JoinedStreams = append(r.result.JoinedStreams, fmt.Sprintf("stream %s, taken up %v after the start of the trouble, has events of %v", attempt, at.Round(time.Millisecond), software))
	case a.Refused:
		counts.Refused[a.reason()]++
		if whole {
			counts.Later++
		}
	case whole:
		counts.GoneOn++
	default:
		counts.Failed++
	}
}

// reason returns the status of a refusal and the name of its result.
func (a Answer) reason() string {
	var body struct {
		Error struct {
			Name string `json:"name"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(a.Refusal), &body) != nil || body.Error.Name == "" {
		return strconv.Itoa(a.Status)
	}
	return fmt.Sprint(a.Status, " ", body.Error.Name)
}

// sleep waits for a duration, or less if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
