// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package forward sends requests to targets and their responses back to the callers. A Service
// gets a placement for each request, sends it, retries where the route and the retry budget
// permit it, and forwards only complete responses or complete events of one attempt. A Guard
// protects the gateway from overload.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"madderway/core/attempt"
	"madderway/core/balance"
	"madderway/core/budget"
	"madderway/core/cell"
	"madderway/core/overload"
	"madderway/core/promise"
	"madderway/core/throttle"
	"madderway/core/worktime"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/heldbytes"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/origin"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// ErrAborted reports that part of a response was forwarded and the connection must be closed.
var ErrAborted = errors.New("the answer broke off")

// RetryBudget limits the retries of the whole fleet.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64 // retries per first attempt
	Extra  float64 // retries beyond the ratio, of all gateways together
}

// ratioMargin is a margin for gateways whose counts of first attempts differ for a while.
const ratioMargin = 0.7

// Targets provides the current list of targets; follow.Service implements it.
type Targets interface {
	Targets() *routing.TargetSet
}

// Options are the settings and dependencies of a Service.
type Options struct {
	DataHall string
	Clock    clock.Clock
	Targets  Targets
	Mesh     *mesh.Loop
	Client   *upstream.Client
	Guard    *Guard
	Retry    RetryBudget
	// MaxHeldAnswerBytes bounds what is held of all answers before it is forwarded.
	MaxHeldAnswerBytes int64
	// Scheduling selects how each service is scheduled under hard load.
	Scheduling cell.Scheduling
	// PlainByRecent places requests at plain targets by their last responses, while a service of the
	// configuration has a compact cache.
	PlainByRecent bool
	// Quarantine keeps requests under which targets died from being sent again.
	Quarantine *quarantine.Service
	// Notices holds what targets announced in their responses: that they leave, or a pause.
	Notices *notice.Service
	// Origins tells at which software version streams began.
	Origins *origin.Service
	// Connections returns the number of open caller connections, and of those rejected since
	// the start.
	Connections func() (open int, turnedAway uint64)
	// TargetConnections returns counts of the connections to targets as log values.
	TargetConnections func() []any
}

// Service forwards requests.
type Service struct {
	log     log.Logger
	opts    Options
	started time.Time

	mu         sync.Mutex // guards balancer, windows, throttle, retryTimes, workTimes and opts.Retry
	balancer   *balance.Balancer
	windows    map[string]*budget.Window
	throttle   *throttle.Throttle
	retryTimes promise.RetryTimes
	workTimes  map[string]*worktime.Recent // by route

	plainByRecent atomic.Bool // opts.PlainByRecent applies to the current configuration

	answers *heldbytes.Quota // held before they are forwarded

	counters counters
	outcomes outcomeCounts
	inFlight atomic.Int64              // requests to engines
	answerBy atomic.Pointer[time.Time] // nil unless the gateway stops
	working  context.Context           // ends when no request waits for a target any more
	giveUp   context.CancelFunc        // ends working
}

func New(logger log.Logger, o Options) *Service {
	working, giveUp := context.WithCancel(context.Background())
	return &Service{
		log: logger, opts: o, started: o.Clock.Now(), balancer: balance.New(o.DataHall, rand.Float64), windows: map[string]*budget.Window{}, throttle: throttle.New(),
		answers: heldbytes.New(o.MaxHeldAnswerBytes), workTimes: map[string]*worktime.Recent{}, working: working, giveUp: giveUp, counters: newCounters(),
	}
}

// Request is an authenticated request of a caller.
type Request struct {
	Call     upstream.Call
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Route    *routing.Route
	Service  *routing.Service
	Account  *routing.ClientAccount
	Received time.Time
	Deadline time.Time
	// CallerDisconnected reports whether the caller has closed its connection. If it is nil, only
	// the end of the context shows that.
	CallerDisconnected func() bool
	// HandedOverBy is the gateway that handed the request over, or empty.
	HandedOverBy string
}

func (r *Request) account() string { return r.Account.GetName() }

// Serve answers a request. It returns ErrAborted if the connection must be closed, and an
// ErrResult if nothing was written yet.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	ctx, cancel := clock.WithDeadlineOrEnd(ctx, s.opts.Clock, r.Deadline, s.working)
	defer cancel()
	j := &job{s: s, ctx: ctx, w: w, r: r, lastEvent: r.Call.LastEvent, history: attempt.History{Route: r.Route}, quarantineAttempt: s.opts.Quarantine.NewAttempt(r.identity(), r)}
	j.takeFromRetryBudget = func() bool { return s.takeFromRetryBudget(r.Service.Name) }
	if scheduled(r.Service, &r.Call) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
	}
	err := j.run()
	s.counters.record(r.Service, err, s.opts.Clock.Now().Sub(r.Received))
	s.logResult(j, err)
	return err
}

// InFlight returns the number of requests to engines in flight.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// takeFromRetryBudget takes a retry of a service from this gateway's share of the budget.
func (s *Service) takeFromRetryBudget(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	extra := budget.ExtraShare(s.opts.Retry.Extra, s.opts.Mesh.Known(), now.Sub(s.started), s.opts.Retry.Window)
	ok := s.window(service).Retry(now, extra)
	if !ok {
		s.counters.budgetSpent.Inc()
	}
	return ok
}

func (s *Service) countFirstSend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).Attempt(s.opts.Clock.Now())
}

func (s *Service) window(service string) *budget.Window {
	w := s.windows[service]
	if w == nil {
		w = budget.NewWindow(s.opts.Retry.Window, ratioMargin*s.opts.Retry.Ratio)
		s.windows[service] = w
	}
	return w
}

// throttledRetryAfter is the retry time for throttled accounts.
const throttledRetryAfter = time.Second

// maxRefusalLines is the number of early refusals that are logged one by one in a second.
const maxRefusalLines = 10

// Admission is the decision on a request that is not refused.
type Admission int

// Decisions on a request.
const (
	Serve    Admission = iota + 1 // this gateway serves it
	HandOver                      // another gateway of the data hall serves it
)

// Admit counts a request and refuses it if this gateway is overloaded or the account is
// throttled. Call it before the body is read, so that a flood costs little. movable reports
// whether the request can be handed over to another gateway, which then counts it as its own.
func (s *Service) Admit(call *upstream.Call, service *routing.Service, account *routing.ClientAccount, movable bool) (Admission, error) {
	if !scheduled(service, call) {
		return Serve, nil
	}
	var err error
	name := account.GetName()
	verdict := s.opts.Guard.admit(name, movable)
	switch {
	case verdict == overload.Refuse:
		err = newOverloadError(s.lastRetryTime(service, name, s.opts.Guard.retryAfter()))
	case verdict == overload.HandOver:
		s.outcomes.countAdmitted(name, call.Prompt.Tokens)
		return HandOver, nil
	case !s.throttleAdmits(name):
		err = result.New(result.QueueFull, "the account asks for far more than it is given").WithRetryAfter(s.lastRetryTime(service, name, throttledRetryAfter))
	default:
		s.outcomes.countAdmitted(name, call.Prompt.Tokens)
		return Serve, nil
	}
	s.counters.record(service, err, 0)
	// A flood is logged in full at the beginning of each second, then by a sample and by the
	// counts of each second, to save log volume for other messages.
	if n := s.outcomes.countRefused(account.GetName(), result.Convert(err).Code, call.Prompt.Tokens); n <= maxRefusalLines || sampled(call.ID) {
		s.log.Request("Request refused before its body was read.", "id", call.ID, "account", account.GetName(), "service", service.Name, "error", err)
	}
	return 0, err
}

func newOverloadError(after time.Duration) *result.ErrResult {
	return result.New(result.Overloaded, "this gateway is asked for more than it can serve in time").WithRetryAfter(after)
}

// OverloadError returns the error for a request that could not be handed over in time.
func (s *Service) OverloadError() error { return newOverloadError(s.opts.Guard.retryAfter()) }

// HandOverResult is the result of handing a request over to another gateway.
type HandOverResult struct {
	ID, Account        string
	Peer               string // empty if no gateway took the request; it was served here
	Elapsed            time.Duration
	Bytes              int64 // length of the forwarded response
	Lost               bool  // no response came
	CallerDisconnected bool
}

// RecordHandOver counts a request that was handed over. It logs lost ones and a sample.
func (s *Service) RecordHandOver(h HandOverResult) {
	switch {
	case h.Peer == "" && !h.Lost:
		s.counters.notHandedOver.Inc()
		return
	case h.Lost && !h.CallerDisconnected:
		s.counters.handOverLost.Inc()
		s.log.Request("Request handed over, no response.", "id", h.ID, "account", h.Account, "peer", h.Peer, "elapsed", h.Elapsed)
	case sampled(h.ID):
		s.log.Request("Request handed over.", "id", h.ID, "account", h.Account, "peer", h.Peer, "elapsed", h.Elapsed, "bytes", h.Bytes, "caller_gone", h.CallerDisconnected)
	}
	s.counters.handedOver.Inc()
	s.outcomes.count(outcomeHandedOver)
}

// Overloaded reports whether requests are handed over or refused for lack of processor time.
func (s *Service) Overloaded() bool { return s.opts.Guard.Overloaded() }

// Lateness returns for how long requests wait now before they are read.
func (s *Service) Lateness() time.Duration { return s.opts.Guard.Lateness() }

// throttleAdmits reports whether the throttle lets a request of an account through.
func (s *Service) throttleAdmits(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.throttle.Admit(s.opts.Clock.Now(), account, rand.Float64())
	if !ok {
		s.counters.throttled.Inc()
	}
	return ok
}

// scheduled reports whether a cell's scheduler places the request.
func scheduled(service *routing.Service, call *upstream.Call) bool {
	return service.Engine != nil && call.Prompt != nil
}

func (s *Service) countAccepted(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Accepted(s.opts.Clock.Now(), account)
}

// SetRetryBudget changes the retry budget. The windows are reset if their length or ratio
// changes.
func (s *Service) SetRetryBudget(b RetryBudget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Window != s.opts.Retry.Window || b.Ratio != s.opts.Retry.Ratio {
		s.windows = map[string]*budget.Window{}
	}
	s.opts.Retry = b
}

// SetRouting takes a new configuration, which may be nil, or list of targets. It removes the state
// of targets that are no longer listed.
func (s *Service) SetRouting(index *routing.Index, targets *routing.TargetSet) {
	limited := s.opts.PlainByRecent && index != nil && index.Configuration.HasCompactCache(s.opts.Scheduling.CompactTokenBytes)
	if s.plainByRecent.Swap(limited) != limited {
		s.log.Info("Choice of plain targets changed.", "by_last_responses", limited)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ChooseByRecent(limited)
	s.balancer.Keep(targets)
	s.keepWorkTimes(index)
}
