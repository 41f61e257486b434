// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package measure

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"madderway/lab/fleet"
	"madderway/lab/load"
)

const (
	refusedPause = 200 * time.Millisecond
	resumeLimit  = 8
	resumePause  = 250 * time.Millisecond
	prompts      = 8
)

// outstanding counts the unfinished completions by account.
type outstanding struct {
	mu     sync.Mutex
	counts map[string]int
}

func newOutstanding() *outstanding { return &outstanding{counts: map[string]int{}} }

func (o *outstanding) add(account string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[account] += n
}

func (o *outstanding) byAccount() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int, len(o.counts))
	for k, v := range o.counts {
		out[k] = v
	}
	return out
}

func (r *run) startStream(ctx context.Context, wg *sync.WaitGroup, a Account, st Stream, id int64) {
	if st.Workers == 0 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.openLoop(ctx, wg, a, st, rand.New(rand.NewSource(r.opts.Seed*1_000_003+id)))
		}()
		return
	}
	for w := range st.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.closedLoop(ctx, a, st, rand.New(rand.NewSource(r.opts.Seed*1_000_003+id+int64(w+1)*7919)))
		}()
	}
}

func (r *run) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// closedLoop sends the next request as soon as the last one is finished.
func (r *run) closedLoop(ctx context.Context, a Account, st Stream, rng *rand.Rand) {
	if !r.pause(ctx, st.Start+time.Duration(rng.Int63n(int64(20*time.Millisecond)))) {
		return
	}
	for {
		select {
		case <-r.stop:
			return
		default:
		}
		if refused := r.send(ctx, a, st, rng); refused && !r.pause(ctx, refusedPause) {
			return
		}
	}
}

// openLoop sends requests at random times, independent of earlier ones.
func (r *run) openLoop(ctx context.Context, wg *sync.WaitGroup, a Account, st Stream, rng *rand.Rand) {
	if !r.pause(ctx, st.Start) {
		return
	}
	for {
		gap := time.Duration(rng.ExpFloat64() * float64(st.Interval))
		if !r.pause(ctx, min(gap, 4*st.Interval)) {
			return
		}
		child := rand.New(rand.NewSource(rng.Int63()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.send(ctx, a, st, child)
		}()
	}
}

// node picks a router as a load balancer would: the account's fixed one, else a random live one.
func (r *run) node(a Account, rng *rand.Rand) *fleet.Node {
	live := r.fleet.Live()
	if a.Router >= 0 {
		nodes := r.fleet.Nodes()
		if n := nodes[a.Router%len(nodes)]; !n.Down {
			return n
		}
	}
	return live[rng.Intn(len(live))]
}

func (r *run) send(ctx context.Context, a Account, st Stream, rng *rand.Rand) (refused bool) {
	if st.Kind == KindKeyed {
		return r.sendKeyed(ctx, a, rng)
	}
	return r.sendCompletion(ctx, a, st, rng)
}

func (r *run) sendCompletion(ctx context.Context, a Account, st Stream, rng *rand.Rand) (refused bool) {
	chat := load.Chat{
		Model: r.scenario.names.model, Class: classOf(st.Kind), MaxTokens: r.scenario.MaxTokens, Tokens: st.MinTokens + rng.Intn(st.MaxTokens-st.MinTokens+1),
		Prompt: fmt.Sprintf("%s, brief %d", a.Name, rng.Intn(prompts)),
	}
	r.outstanding.add(a.Name, 1)
	defer r.outstanding.add(a.Name, -1)
	started := time.Now()
	answer := r.client.Chat(ctx, r.node(a, rng).Settings.Caller.Listen, fleet.Key(a.Name), chat)
	resumed := false
	for try := 0; answer.Broken && answer.RequestID != "" && try < resumeLimit && ctx.Err() == nil; try++ {
		// The connection broke: resume at any router.
		resumed = true
		time.Sleep(time.Duration(try) * resumePause / 4)
		answer = r.client.Resume(ctx, r.node(a, rng).Settings.Caller.Listen, fleet.Key(a.Name), answer)
		if answer.Err != nil {
			answer.Broken = true
		}
	}
	switch {
	case answer.Complete():
		r.checkAnswer(answer, chat.Tokens)
		wait := max(answer.FirstEvent-r.scenario.FirstToken, 0)
		r.recorder.Done(a.Name, classOf(st.Kind), wait, answer, resumed)
		r.recordFloodWait(a.Name, st.Kind, time.Since(started), wait)
	case answer.Err != nil:
		r.recorder.Refused(a.Name, answer)
		return true
	case answer.RequestID == "":
		// A router was killed before it accepted the request; the caller may send it again.
		return true
	default:
		r.recorder.Lost(a.Name)
	}
	return false
}

func classOf(k Kind) string {
	if k == KindLong {
		return "long"
	}
	return "interactive"
}

// checkAnswer verifies that an answer is complete and belongs to its request: each event of the
// stand-in holds the request ID and its own number.
func (r *run) checkAnswer(a load.Answer, tokens int) {
	good := len(a.Events) == tokens+2
	for i := 0; good && i < tokens; i++ {
		good = strings.Contains(a.Events[i], fmt.Sprintf("%s-%d ", a.RequestID, i+1))
	}
	if !good {
		r.mu.Lock()
		r.badAnswers++
		r.mu.Unlock()
	}
}

func (r *run) recordFloodWait(account string, k Kind, total, wait time.Duration) {
	if r.scenario.FloodStart == 0 || k != KindShort || account == "flooder" {
		return
	}
	// The time of sending decides, not that of the answer.
	if time.Since(r.start)-total < r.scenario.FloodStart {
		r.waitBeforeFlood.Add(wait)
	} else {
		r.waitDuringFlood.Add(wait)
	}
}

// sendKeyed sends the same sendKeyed call through two routers at once; it must run only once.
func (r *run) sendKeyed(ctx context.Context, a Account, rng *rand.Rand) (refused bool) {
	key := fmt.Sprintf("%s-%d", a.Name, rng.Int63())
	r.mu.Lock()
	r.keys[a.Name+"/"+key] = true
	r.mu.Unlock()
	var wg sync.WaitGroup
	for range 2 {
		address := r.node(a, rng).Settings.Caller.Listen
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.sendKeyedOnce(ctx, a, address, key)
		}()
	}
	wg.Wait()
	return false
}

func (r *run) sendKeyedOnce(ctx context.Context, a Account, address, key string) {
	answer := r.client.Plain(ctx, address, fleet.Key(a.Name), r.scenario.names.submitPath(), key, []byte("interval of "+key))
	switch {
	case answer.Err != nil:
		r.recorder.Refused(a.Name, answer)
	case answer.Broken:
		// The router was killed; a retry with the same key returns the recorded
		// outcome, or that it is unknown.
		again := r.client.Plain(ctx, r.fleet.Live()[0].Settings.Caller.Listen, fleet.Key(a.Name), r.scenario.names.submitPath(), key, []byte("interval of "+key))
		if again.Err != nil {
			r.recorder.Refused(a.Name, again)
		} else if !again.Broken {
			r.recorder.Done(a.Name, "keyed", again.Total-r.scenario.PlainDuration, again, false)
		} else {
			r.recorder.Lost(a.Name)
		}
	default:
		if !strings.Contains(string(answer.Body), key) {
			r.mu.Lock()
			r.badAnswers++
			r.mu.Unlock()
		}
		r.recorder.Done(a.Name, "keyed", max(answer.Total-r.scenario.PlainDuration, 0), answer, false)
	}
}

// collectResults checks the answers that callers got against the runs that the targets counted.
func (r *run) collectResults() {
	res := r.result
	res.FairnessGap, res.FairnessGapPair = r.gap.gap, r.gap.worst
	res.FairnessGapAt = r.gap.at.Seconds()
	res.FairnessBound = r.bound()
	if r.totalSlots > 0 {
		res.Utilisation = r.busySlots / r.totalSlots
	}
	for _, p := range r.fleet.Plains {
		for _, n := range p.RunsByKey() {
			res.Duplicates += max(n-1, 0)
		}
	}
	for _, id := range r.recorder.NotRun() {
		ran := 0
		for _, e := range r.fleet.Engines {
			ran += e.Runs(id)
		}
		for _, p := range r.fleet.Plains {
			ran += p.Runs(id)
		}
		if ran > 0 {
			res.NotRunButRan++
		}
	}
	for _, e := range r.fleet.Engines {
		_, _, peak := e.Load()
		res.OverLimit = max(res.OverLimit, peak-r.scenario.Slots)
	}
	res.Incomplete = r.badAnswers
	r.collectAccounts()
	r.collectRouters()
	if r.scenario.FloodStart > 0 {
		before, during := r.waitBeforeFlood.Percentiles(), r.waitDuringFlood.Percentiles()
		res.OthersWaitBeforeFlood, res.OthersWaitDuringFlood = &before, &during
	}
}

func (r *run) collectAccounts() {
	res := r.result
	res.WaitMS = r.recorder.Classes()
	units, desk := r.modelService.snapshot(), r.plainService.snapshot()
	records := r.recorder.Accounts()
	tokens := 0.0
	for _, a := range r.scenario.Accounts {
		tokens += units[a.Name]
		rec := records[a.Name]
		if rec == nil {
			continue
		}
		refused := 0
		for code, n := range rec.Refused {
			refused += n
			res.Refused[codeName(code)] += n
		}
		res.Requests += rec.Requests
		res.Lost += rec.Lost
		res.Resumed += rec.Resumed
		res.Restarted += rec.Restarted
		res.Accounts = append(res.Accounts, AccountResult{a.Name, rec.Requests, rec.Done, refused, units[a.Name] + desk[a.Name], rec.Wait.Percentiles()})
	}
	perRouter := res.Seconds * float64(res.Routers)
	res.RequestsPerRouterSecond, res.TokensPerRouterSecond = float64(res.Requests)/perRouter, tokens/perRouter
}

func (r *run) collectRouters() {
	for _, n := range r.fleet.Live() {
		d := n.Router.Dump()
		r.result.UnusedGrants += d.Control.Admission.Unused
		r.result.ExpiredGrants += d.Control.Scheduler.Expired
	}
}
