// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package forward takes a request to a target and its answer back to the
// caller: it asks for a target, exchanges, repeats what may be repeated, and
// passes on nothing but whole and own answers.
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
	"madderway/core/overload"
	"madderway/core/throttle"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// ErrAborted tells that a part of an answer is out and the connection must end.
var ErrAborted = errors.New("the answer broke off")

// RetryBudget bounds the repeats of the whole fleet.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64 // of first sends
	Extra  float64 // beyond the ratio, of all gateways together
}

// budgetShare leaves room for gateways that count differently for a while.
const budgetShare = 0.7

// Targets are the targets as they are known; follow.Service implements it.
type Targets interface {
	Targets() *routing.TargetSet
}

// Options are the parts of a Service.
type Options struct {
	DataHall string
	Clock    clock.Clock
	Follow   Targets
	Mesh     *mesh.Loop
	Client   *upstream.Client
	Guard    *Guard
	Retry    RetryBudget
	// Requests are those under which targets ended.
	Requests *quarantine.Service
	// Notices are what targets have said of themselves.
	Notices *notice.Service
	// Connections tells how many connections of callers are open, and how many were
	// turned away since the start.
	Connections func() (open int, turnedAway uint64)
}

// Service forwards requests.
type Service struct {
	log  log.Logger
	opts Options

	mu       sync.Mutex // mu guards the machines below.
	balancer *balance.Balancer
	windows  map[string]*budget.Window
	throttle *throttle.Throttle

	counters counters
	outcomes outcomes
	running  atomic.Int64 // running is how many requests of engines are under way.
}

// New returns a service.
func New(logger log.Logger, o Options) *Service {
	return &Service{log: logger, opts: o, balancer: balance.New(o.DataHall, rand.Float64), windows: map[string]*budget.Window{}, throttle: throttle.New(), counters: newCounters()}
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
	// Left tells whether the caller has closed its connection; nil where that is told by the
	// context alone.
	Left func() bool
	// Carrier is the gateway that has handed the request over, or empty.
	Carrier string
}

func (r *Request) account() string { return r.Account.GetName() }

// Serve answers a request. It returns ErrAborted where the connection must end,
// and a numbered error where nothing has been written yet.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	ctx, cancel := clock.WithDeadline(ctx, s.opts.Clock, r.Deadline)
	defer cancel()
	j := &job{s: s, ctx: ctx, w: w, r: r, lastEvent: r.Call.LastEvent, history: attempt.History{Route: r.Route}, past: s.opts.Requests.NewAttempt(r.identity())}
	j.repeat = func() bool { return s.repeat(r.Service.Name) }
	if scheduled(r.Service, &r.Call) {
		s.running.Add(1)
		defer s.running.Add(-1)
	}
	err := j.run()
	s.counters.note(r.Service, err, s.opts.Clock.Now().Sub(r.Received))
	s.logEnd(j, err)
	return err
}

// Streams returns how many requests of engines are under way.
func (s *Service) Streams() int { return int(s.running.Load()) }

// repeat takes one repeat of a service from this gateway's share of the budget.
func (s *Service) repeat(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	extra := budgetShare * s.opts.Retry.Extra / float64(s.opts.Mesh.Members())
	ok := s.window(service).Retry(s.opts.Clock.Now(), extra)
	if !ok {
		s.counters.budgetSpent.Inc()
	}
	return ok
}

func (s *Service) first(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).Attempt(s.opts.Clock.Now())
}

func (s *Service) window(service string) *budget.Window {
	w := s.windows[service]
	if w == nil {
		w = budget.NewWindow(s.opts.Retry.Window, budgetShare*s.opts.Retry.Ratio)
		s.windows[service] = w
	}
	return w
}

// throttledAfter is when a request that was refused since its account asks for far more
// than it is given may come back: the account may have got something by then.
const throttledAfter = time.Second

// refusalLines is how many refusals at the entry are told one by one in a second.
const refusalLines = 10

// Admission is what becomes of a request that is not refused.
type Admission int

// The admissions.
const (
	Serve    Admission = iota + 1 // this gateway serves it
	HandOver                      // another gateway of the data hall serves it
)

// Admit counts a request and refuses it where this gateway is overloaded, or its
// account asks for far more than it is given. It is asked before the body is
// read, so that a flood costs little. Movable tells whether the request can be
// handed over to another gateway, which then counts it as its own.
func (s *Service) Admit(call *upstream.Call, service *routing.Service, account *routing.ClientAccount, movable bool) (Admission, error) {
	if !scheduled(service, call) {
		return Serve, nil
	}
	var err error
	name := account.GetName()
	verdict := s.opts.Guard.admit(name, movable)
	switch {
	case verdict == overload.Refuse:
		err = s.overloaded()
	case verdict == overload.HandOver:
		s.outcomes.noteTaken(name, call.Prompt.Tokens)
		return HandOver, nil
	case !s.underThrottle(name):
		err = result.New(result.QueueFull, "the account asks for far more than it is given").WithRetryAfter(throttledAfter)
	default:
		s.outcomes.noteTaken(name, call.Prompt.Tokens)
		return Serve, nil
	}
	s.counters.note(service, err, 0)
	// A flood is told in full at the beginning of each second, then by a sample and by
	// the counts in the lines of a second: the budget of the log is for what tells more.
	if n := s.outcomes.noteRefused(account.GetName(), result.Convert(err).Code, call.Prompt.Tokens); n <= refusalLines || sampled(call.ID) {
		s.log.Request("Request refused at the entry.", "id", call.ID, "account", account.GetName(), "service", service.Name, "error", err)
	}
	return 0, err
}

// overloaded is the refusal of a request for which this gateway has no time.
func (s *Service) overloaded() *result.ErrResult {
	return result.New(result.Overloaded, "this gateway is asked for more than it can serve in time").WithRetryAfter(s.opts.Guard.returnAfter())
}

// RefuseBusy returns the refusal of a request that could not be handed over in time.
func (s *Service) RefuseBusy() error { return s.overloaded() }

// HandedOver tells of a request that another gateway was to serve.
type HandedOver struct {
	ID, Account string
	Peer        string // Peer is empty where no gateway took it; it was served here.
	After       time.Duration
	Bytes       int64 // Bytes are those of the answer that was passed on.
	Lost        bool  // Lost tells that no answer came.
	Gone        bool  // Gone tells that the caller has left.
}

// NoteHandedOver counts a request that was handed over, and tells of it where it failed or
// the request is of the sample.
func (s *Service) NoteHandedOver(h HandedOver) {
	switch {
	case h.Peer == "" && !h.Lost:
		s.counters.notHandedOver.Inc()
		return
	case h.Lost && !h.Gone:
		s.counters.handOverLost.Inc()
		s.log.Request("Request handed over and lost.", "id", h.ID, "account", h.Account, "peer", h.Peer, "after", h.After)
	case sampled(h.ID):
		s.log.Request("Request handed over.", "id", h.ID, "account", h.Account, "peer", h.Peer, "after", h.After, "bytes", h.Bytes, "gone", h.Gone)
	}
	s.counters.handedOver.Inc()
	s.outcomes.note(outcomeHandedOver)
}

// Strained tells whether requests are refused for want of processor time.
func (s *Service) Strained() bool { return s.opts.Guard.Strained() }

// underThrottle tells whether a scheduler is to be asked for a request of an
// account.
func (s *Service) underThrottle(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.throttle.Admit(s.opts.Clock.Now(), account, rand.Float64())
	if !ok {
		s.counters.throttled.Inc()
	}
	return ok
}

// scheduled tells whether a scheduler decides where a request goes.
func scheduled(service *routing.Service, call *upstream.Call) bool {
	return service.Engine != nil && call.Prompt != nil
}

func (s *Service) accepted(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Accepted(s.opts.Clock.Now(), account)
}

// SetRetry changes the retry budget. What was counted in windows of another
// length is forgotten.
func (s *Service) SetRetry(b RetryBudget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Window != s.opts.Retry.Window || b.Ratio != s.opts.Retry.Ratio {
		s.windows = map[string]*budget.Window{}
	}
	s.opts.Retry = b
}

// SetTargets forgets what is known of targets that are gone.
func (s *Service) SetTargets(targets *routing.TargetSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Keep(targets)
}
