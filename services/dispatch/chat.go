// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"madderway/core/admit"
	"madderway/core/policy"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/answer"
	"madderway/services/engine"
)

// Chat is a request for a chat completion.
type Chat struct {
	RequestID string
	Account   *conf.ClientAccount
	Model     string
	Class     string
	MaxTokens int
	Stream    bool
	Prefix    string // identifies the start of the prompt, for cache affinity
	Body      []byte // sent to the engine unchanged, with streaming switched on
}

// Sink receives the events of a response. It returns an error if the caller has disconnected.
type Sink interface {
	// Begin is called before the first event of each attempt.
	Begin(token string, attempt int) error
	// Event is called with each event.
	Event(ev engine.Event) error
}

const chatPath = "/v1/chat/completions"

// Chat serves a completion. The returned error is an ErrResult.
func (s *Service) Chat(ctx context.Context, c Chat, sink Sink) error {
	j, err := s.chatJob(c)
	if err != nil {
		return err
	}
	s.prepare(j)
	s.countFirstAttempt(j)
	s.startQuarantineAttempt(j, c.Body)
	defer j.quarantineAttempt.End()
	st := &stream{s: s, j: j, chat: c, sink: sink, caller: ctx, kept: s.Hold(c.RequestID + "/kept")}
	defer st.kept.Release()
	err = st.run()
	s.counters.done(outcomeLabel(err))
	s.opts.Trace.Add(c.RequestID, c.Account.Name, "outcome", "%s", outcomeText(err))
	return err
}

func outcomeLabel(err error) string {
	if err == nil {
		return "done"
	}
	switch result.Convert(err).Execution() {
	case result.RanNo:
		return outcomeNotRun
	case result.RanYes:
		return outcomeFailed
	default:
		return outcomeUnknown
	}
}

func outcomeText(err error) string {
	if err == nil {
		return "done"
	}
	return outcomeLabel(err) + ": " + result.Convert(err).Error()
}

func (s *Service) chatJob(c Chat) (*job, error) {
	if err := s.Admit(); err != nil {
		return nil, err
	}
	snapshot := s.opts.Config.Snapshot()
	pool, ok := snapshot.Index.PoolOfModel(c.Model)
	if !ok {
		return nil, result.New(result.UnknownModel, "model %q", c.Model)
	}
	j := &job{
		requestID: c.RequestID, account: c.Account, pool: pool, snapshot: snapshot, prefix: c.Prefix,
		uri: chatPath,
		request: policy.Request{
			Account: c.Account.Name, Pool: pool.Name, Model: c.Model, Method: http.MethodPost, Path: chatPath,
			Class: c.Class, Bytes: len(c.Body), MaxTokens: c.MaxTokens, Stream: c.Stream,
		},
	}
	j.order = policy.DefaultOrder(j.request)
	j.cost = s.promptCost(j) + s.estimate(j, float64(c.MaxTokens)*pool.OutputWeight/2)
	return j, nil
}

func (s *Service) promptCost(j *job) float64 {
	return float64(j.request.Bytes/bytesPerToken) * j.pool.PromptWeight
}

// stream is the state of a completion over all its attempts.
type stream struct {
	s      *Service
	j      *job
	chat   Chat
	sink   Sink
	caller context.Context

	attempt            int
	events             []string // data of the current attempt's events
	bytes              int64    // of them
	tooLong            bool     // they are over the limit of kept responses
	kept               *Held    // of the events, until they are stored
	reserved           int64    // bytes of kept
	callerDisconnected bool
	outputs            int
	prompt             float64
	usage              *usage
}

// run makes attempts until one succeeds or no retry is permitted.
func (st *stream) run() error {
	ran := result.RanNo
	for {
		st.attempt++
		outcome, status, err := st.try()
		if err == nil {
			st.complete()
			st.j.quarantineAttempt.Succeeded()
			return nil
		}
		err = withHistory(err, ran)
		ran = result.Convert(err).Execution()
		if st.callerDisconnected && !st.j.order.Keep {
			return err
		}
		if outcome == "" || !st.s.mayRetry(st.j, st.attempt, outcome, status) {
			return st.j.finalError(err)
		}
		if outcome != outcomeNotRun {
			st.s.counters.restarted.Inc()
		}
	}
}

// withHistory corrects an error that says "not run" if an earlier attempt ran or may have run.
func withHistory(err error, ran result.Ran) error {
	e := result.Convert(err)
	if ran == result.RanNo || e.Execution() != result.RanNo {
		return err
	}
	corrected := *e
	corrected.Ran = ran
	return &corrected
}

// try makes one attempt. An empty outcome means that a retry is useless.
func (st *stream) try() (outcome string, status int, err error) {
	j, s := st.j, st.s
	waitCtx, cancelWait := s.untilGiveUp(st.caller)
	if st.callerDisconnected {
		cancelWait()
		waitCtx, cancelWait = s.detached(j)
	}
	defer cancelWait()
	id, target, err := s.submit(waitCtx, j)
	if err != nil {
		if !result.IsErrResult(err) {
			err = result.Wrap(result.QueueTimeout, err)
		}
		return "", 0, err
	}
	ctx, cancel := s.detached(j)
	defer cancel()
	fin := admit.Finished{ID: id}
	defer func() {
		fin.Cost = st.cost()
		s.opts.Loop.Finish(fin)
	}()
	st.outputs, st.usage = 0, nil
	st.dropKept(false)
	streamID := fmt.Sprintf("%s.%d", j.requestID, st.attempt)
	started := st.s.opts.Clock.Now()
	resp, err := s.opts.Engine.StartStream(ctx, target.Address, target.Name, st.header(streamID), st.chat.Body)
	j.permit.End(accepted(err))
	if err != nil {
		return st.startFailed(ctx, target, err, &fin)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		fin.Failed = resp.StatusCode >= http.StatusInternalServerError
		return outcomeFailed, resp.StatusCode, result.New(result.TargetFailed, "target %s answered %d", target.Name, resp.StatusCode)
	}
	s.notePrefix(target.Name, j.prefix)
	st.prompt = s.promptCost(j)
	p := &pump{st: st, id: id, target: target, streamID: streamID, started: started, ctx: ctx, cancel: cancel}
	err = p.run(resp)
	fin.FirstToken, fin.TokenGap = p.firstToken, p.tokenGap()
	if err == nil {
		return "", 0, nil
	}
	fin.Failed = !st.callerDisconnected
	j.deny = append(j.deny, target.Name)
	s.checkTargetDeath(ctx, j, target, p.outlivesRequest())
	return outcomeUnknown, 0, err
}

func (st *stream) startFailed(ctx context.Context, target *conf.Target, err error, fin *admit.Finished) (string, int, error) {
	fin.Failed = true
	st.j.deny = append(st.j.deny, target.Name)
	a, _ := engine.AsErrAttempt(err)
	st.s.opts.Trace.Add(st.j.requestID, st.j.account.Name, "attempt", "%d at %s did not start: %v", st.attempt, target.Name, err)
	if !a.MayHaveRun {
		return outcomeNotRun, a.Status, result.Wrap(result.TargetRefused, err).WithRetryAfter(time.Second)
	}
	st.s.checkTargetDeath(ctx, st.j, target, false)
	return outcomeUnknown, 0, result.Wrap(result.OutcomeUnknown, err)
}

func (st *stream) header(streamID string) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(engine.HeaderStreamID, streamID)
	h.Set(engine.HeaderRequest, st.j.requestID)
	h.Set(engine.HeaderAccount, st.j.account.Name)
	if st.j.prefix != "" {
		h.Set(engine.HeaderPrefix, st.j.prefix)
	}
	priority := 0
	if st.j.order.Interactive {
		priority = 1
	}
	h.Set(engine.HeaderPriority, strconv.Itoa(priority))
	return h
}

// cost returns the cost of the attempt so far, in service units.
func (st *stream) cost() float64 {
	pool := st.j.pool
	if st.usage != nil {
		fresh := max(st.usage.PromptTokens-st.usage.CachedTokens, 0)
		return float64(fresh)*pool.PromptWeight + float64(st.usage.CompletionTokens)*pool.OutputWeight
	}
	if st.outputs == 0 {
		return 0
	}
	return st.prompt + float64(st.outputs)*pool.OutputWeight
}

// complete updates the cost estimates, and keeps the response if the caller has disconnected.
func (st *stream) complete() {
	st.s.learn(st.j, float64(st.outputs)*st.j.pool.OutputWeight)
	if !st.callerDisconnected {
		return
	}
	st.kept.retain()
	kept := !st.tooLong && st.s.opts.Answers.Enqueue(*st.j.account, st.j.requestID, "text/event-stream", st.events, st.kept.Release)
	if !kept {
		st.kept.Release()
	}
	st.s.opts.Trace.Add(st.j.requestID, st.j.account.Name, "keep", "caller gone, answer of %d events kept: %t, too long: %t", len(st.events), kept, st.tooLong)
}

func (st *stream) token(target *conf.Target, streamID string) string {
	return st.s.opts.Signer.Sign(answer.Token{
		Account: st.j.account.Name, RequestID: st.j.requestID, Attempt: st.attempt,
		Target: target.Name, Address: target.Address, StreamID: streamID,
	})
}
