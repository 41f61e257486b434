// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package dispatch serves the requests of callers: it runs the policy, waits for a grant of a
// target, sends the request, retries where the policy and the retry budget permit it, and
// accounts for the cost. Completions are streamed and can be resumed; calls of plain services
// can be protected against repetition by an idempotency key.
package dispatch

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/admit"
	"madderway/core/budget"
	"madderway/core/place"
	"madderway/core/policy"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/services/answer"
	"madderway/services/claim"
	"madderway/services/config"
	"madderway/services/control"
	"madderway/services/engine"
	"madderway/services/heldbytes"
	"madderway/services/notice"
	"madderway/services/quarantine"
	"madderway/services/trace"
)

const (
	maxAttempts   = 4
	bytesPerToken = 4
	// callerGracePeriod is the time that an attempt continues without its caller if the response
	// is not kept, so that the caller can resume.
	callerGracePeriod  = 5 * time.Second
	prefixTTL          = 5 * time.Minute
	maxPrefixes        = 256
	policyWarnInterval = time.Second
)

// Options are the settings and dependencies of a Service.
type Options struct {
	RouterID       string
	Incarnation    uint64
	DataHall       string
	Clock          clock.Clock
	Loop           *control.Loop
	Config         *config.Service
	Engine         *engine.Client
	Claims         *claim.Service
	Answers        *answer.Store
	Signer         *answer.Signer
	Trace          *trace.Recorder
	RetryRatio     float64
	RetryBurst     float64
	ClaimRetention time.Duration
	// Quarantine keeps requests under which targets died from being sent again.
	Quarantine *quarantine.Service
	// Notices holds what targets announced in their responses: that they leave, or a pause.
	Notices *notice.Service
	// MaxHeld bounds the bytes of all answers that are held before they are sent on.
	MaxHeld int64
}

// Service serves requests.
type Service struct {
	t            *tomb.Tomb
	log          log.Logger
	opts         Options
	counters     *counters
	exitDetector *netopt.ExitDetector
	held         *heldbytes.Quota   // of answers, shared between requests
	working      context.Context    // ends when no request waits for a target any more
	giveUp       context.CancelFunc // ends working

	mu             sync.Mutex // guards the fields below
	budgets        *budget.Set
	estimates      estimates
	prefixes       map[string]*place.PrefixMap // prefixes sent by this router, by target
	lastPolicyWarn time.Time
}

// New returns a service whose background work ends with the tomb.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	working, giveUp := context.WithCancel(t.Context(context.Background()))
	return &Service{
		t: t, log: logger, opts: o, counters: newCounters(), exitDetector: netopt.NewExitDetector(), held: heldbytes.New(o.MaxHeld),
		working: working, giveUp: giveUp,
		budgets:   budget.NewSet(o.RetryRatio, o.RetryBurst),
		estimates: estimates{},
		prefixes:  map[string]*place.PrefixMap{},
	}
}

// GiveUp ends all requests. Their callers are told that they did not run, or that this is unknown.
func (s *Service) GiveUp() { s.giveUp() }

// GaveUp reports whether all requests were ended.
func (s *Service) GaveUp() bool { return s.working.Err() != nil }

// untilGiveUp returns a context that also ends when all requests are ended.
func (s *Service) untilGiveUp(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(s.working, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// job is the state of a request.
type job struct {
	requestID         string
	account           *conf.ClientAccount
	pool              *conf.Pool
	snapshot          *config.Snapshot
	program           *policy.Program
	request           policy.Request
	order             policy.Order
	prefix            string
	cost              float64 // estimate in service units
	deadline          time.Time
	deny              []string
	prefer            map[string]float64
	budgetSpent       bool // the policy permitted a retry, but the budget did not
	uri               string
	quarantineAttempt quarantine.Attempt // the request as known to the quarantine
	permit            notice.Permit      // to send to the target of the attempt
	sentAt            time.Time          // start of the last attempt
}

// Admit returns an error if requests cannot be admitted now.
func (s *Service) Admit() error {
	if s.opts.Config.Snapshot() == nil || !s.opts.Config.Admits() {
		return result.New(result.NotReady, "no configuration is known to be in force").WithRetryAfter(time.Second)
	}
	return nil
}

// prepare runs the order and place functions of the policy for a request.
func (s *Service) prepare(j *job) {
	now := s.opts.Clock.Now()
	j.deadline = now.Add(time.Duration(j.pool.TimeoutMS) * time.Millisecond)
	j.program = j.snapshot.Program(j.account)
	j.request.DataHall = s.opts.DataHall
	order, err := j.program.Order(j.request, policy.Account{Name: j.account.Name, Weight: j.account.Weight})
	s.policyFailed(j, "order", err)
	j.order = order
	s.place(j)
	s.opts.Trace.Add(j.requestID, j.account.Name, "order", "class %s, rank %d, interactive %t, pool %s, estimate %.0f units, configuration %d",
		order.Class, order.Rank, order.Interactive, j.pool.Name, j.cost, j.snapshot.Index.Version)
}

// place asks the policy which targets may get the request, and prefers targets that recently got
// the same prompt prefix.
func (s *Service) place(j *job) {
	j.prefer = map[string]float64{}
	now := s.opts.Clock.Now()
	for _, t := range j.snapshot.Index.TargetsOf(j.pool.Name) {
		p, err := j.program.Place(j.request, policy.Target{
			Name: t.Name, Pool: t.Pool, DataHall: t.DataHall, Region: t.Region, SameHall: t.DataHall == s.opts.DataHall,
		})
		s.policyFailed(j, "place", err)
		if !p.Allowed {
			j.deny = append(j.deny, t.Name)
			continue
		}
		score := p.Score
		if j.prefix != "" && s.sentPrefix(now, t.Name, j.prefix) {
			score++
		}
		if score != 0 {
			j.prefer[t.Name] = score
		}
	}
}

func (s *Service) sentPrefix(now time.Time, target, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.prefixes[target]
	return m != nil && m.Holds(now, prefix)
}

func (s *Service) notePrefix(target, prefix string) {
	if prefix == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.prefixes[target]
	if m == nil {
		m = place.NewPrefixMap(prefixTTL, maxPrefixes)
		s.prefixes[target] = m
	}
	m.Note(s.opts.Clock.Now(), prefix)
}

// policyFailed counts and logs a failure of a policy, whose safe default is used.
func (s *Service) policyFailed(j *job, function string, err error) {
	if err == nil {
		return
	}
	s.counters.policyErrors.Inc()
	s.opts.Trace.Add(j.requestID, j.account.Name, "policy", "%s failed, safe default used: %v", function, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.opts.Clock.Now(); now.Sub(s.lastPolicyWarn) > policyWarnInterval {
		s.lastPolicyWarn = now
		s.log.Warn("Policy failed, safe default used.", "function", function, "error", err)
	}
}

// submit queues the request and waits for a target that is not paused.
func (s *Service) submit(ctx context.Context, j *job) (admit.RequestID, *conf.Target, error) {
	for range maxPausedGrants {
		id, target, err := s.submitOnce(ctx, j)
		if err != nil || s.startSending(j, target) {
			return id, target, err
		}
		s.opts.Loop.Finish(admit.Finished{ID: id})
	}
	return 0, nil, result.New(result.NoTarget, "%d targets in a row want rest", maxPausedGrants).WithRetryAfter(time.Second)
}

// submitOnce queues the request and waits for a target.
func (s *Service) submitOnce(ctx context.Context, j *job) (admit.RequestID, *conf.Target, error) {
	id := s.opts.Loop.NextID()
	if err := s.checkQuarantine(j); err != nil {
		return id, nil, err
	}
	paused := s.pausedTargets(j)
	if paused.All {
		return id, nil, s.allPausedError(j, paused)
	}
	d, err := s.opts.Loop.Submit(ctx, admit.Request{
		ID: id, Account: j.account.Name, Pool: j.pool.Name, Rank: j.order.Rank, Interactive: j.order.Interactive,
		Cost: j.cost, Bytes: int64(j.request.Bytes), Deadline: j.deadline, Deny: j.denyList(paused), Prefer: j.prefer, Prefix: j.prefix,
		Weight: j.account.Weight, MaxQueued: j.account.MaxQueued, MaxBytes: j.account.MaxQueuedBytes,
	})
	if err != nil {
		return id, nil, err
	}
	if d.Refused != 0 {
		s.opts.Trace.Add(j.requestID, j.account.Name, "refused", "%s, retry after %s", d.Refused, d.RetryAfter)
		s.counters.refused(d.Refused)
		return id, nil, result.New(d.Refused, "account %s, pool %s", j.account.Name, j.pool.Name).WithRetryAfter(d.RetryAfter)
	}
	s.counters.waited(j.order.Class, d.Waited)
	s.opts.Trace.Add(j.requestID, j.account.Name, "grant", "target %s, granted by %s (grant %d) after %s",
		d.Target, d.Scheduler, d.Grant, d.Waited.Round(time.Microsecond))
	target, ok := j.snapshot.Index.Target(d.Target)
	if !ok {
		// The grant may be of a later configuration than the request.
		if current := s.opts.Config.Snapshot(); current != nil {
			target, ok = current.Index.Target(d.Target)
		}
	}
	if !ok {
		s.opts.Loop.Finish(admit.Finished{ID: id})
		return id, nil, result.New(result.NoTarget, "target %s has left", d.Target).WithRetryAfter(time.Second)
	}
	if err := s.checkQuarantine(j); err != nil { // another router may have seen a target die meanwhile
		s.opts.Loop.Finish(admit.Finished{ID: id})
		return id, nil, err
	}
	j.sentAt = s.opts.Clock.Now()
	return id, target, nil
}

// mayRetry reports whether another attempt may follow; number is the number of attempts made.
func (s *Service) mayRetry(j *job, number int, outcome string, status int) bool {
	if number >= maxAttempts || !s.opts.Clock.Now().Before(j.deadline) || s.GaveUp() {
		return false
	}
	allowed := s.repeatable(j, number, outcome, status)
	if allowed {
		s.mu.Lock()
		allowed = s.budgets.Retry(j.account.Name, j.pool.Name)
		s.mu.Unlock()
		if !allowed {
			s.counters.budgetSpent.Inc()
			j.budgetSpent = true
		}
	}
	s.opts.Trace.Add(j.requestID, j.account.Name, "retry", "after %s of attempt %d: %t", outcome, number, allowed)
	if allowed {
		s.counters.retries.Inc()
	}
	return allowed
}

// finalError returns the error for a request without a further attempt.
func (j *job) finalError(err error) error {
	if !j.budgetSpent || result.Convert(err).Execution() != result.RanNo {
		return err
	}
	return result.New(result.RetryBudgetSpent, "last attempt: %v", err).WithRetryAfter(time.Second)
}

// repeatable asks the policy whether a request may be sent again.
func (s *Service) repeatable(j *job, number int, outcome string, status int) bool {
	ok, err := j.program.Retry(j.request, policy.Attempt{Number: number, Outcome: outcome, Status: status})
	s.policyFailed(j, "retry", err)
	return ok
}

func (s *Service) countFirstAttempt(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.Attempt(j.account.Name, j.pool.Name)
}

// Outcomes passed to policies.
const (
	outcomeNotRun  = "not_run"
	outcomeFailed  = "failed"
	outcomeUnknown = "unknown"
)

// detached returns a context that outlives the caller and ends with the deadline or with GiveUp.
func (s *Service) detached(j *job) (context.Context, context.CancelFunc) {
	return clock.WithDeadline(s.working, s.opts.Clock, j.deadline)
}
