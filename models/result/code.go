// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package result defines the numbered result codes that routers return to callers
// and operators. docs/result-codes.md holds the same table; a test compares the two.
package result

import "net/http"

// Code is the number in the body of an error response.
type Code int

// The codes by range: 1000 invalid requests, 2000 rejected requests that did not
// run, 3000 failures of requests that ran or may have run, 4000 responses to
// operators, 5000 internal errors of the router.
const (
	BadRequest        Code = 1001
	Unauthorized      Code = 1002
	NotFound          Code = 1003
	UnknownModel      Code = 1004
	UnknownPool       Code = 1005
	BodyTooLarge      Code = 1006
	KeyReused         Code = 1007
	BadResumeToken    Code = 1008
	HeaderTooLarge    Code = 1009
	BodyTooSlow       Code = 1010
	QueueFull         Code = 2001
	QueueTimeout      Code = 2002
	NoTarget          Code = 2003
	Draining          Code = 2004
	NotReady          Code = 2005
	ClaimUnavailable  Code = 2006
	RetryBudgetSpent  Code = 2007
	TargetRefused     Code = 2008
	NotInTime         Code = 2009
	Overloaded        Code = 2010
	EndsTargets       Code = 2011
	OriginUnknown     Code = 2012
	PartEndsTargets   Code = 2013
	TargetFailed      Code = 3001
	OutcomeUnknown    Code = 3002
	ClaimInProgress   Code = 3003
	StreamBroken      Code = 3004
	AnswerUnavailable Code = 3005
	TimedOut          Code = 3006
	ConfigConflict    Code = 4001
	BadPolicy         Code = 4002
	BadConfig         Code = 4003
	BadOperatorToken  Code = 4004
	ConfigUnknown     Code = 4005
	PlatformDown      Code = 4006
	OrderRefused      Code = 4007
	TraceNotFound     Code = 4008
	Internal          Code = 5001
)

// Ran is the execution status of a request: whether a target executed it.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info describes a result code.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Ran     Ran
	Retry   bool // the same request may succeed later
	Meaning string
}

// Table lists every code in ascending order.
var Table = []Info{
	{BadRequest, "bad_request", http.StatusBadRequest, RanNo, false, "The call could not be parsed."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, RanNo, false, "No client account has this key."},
	{NotFound, "not_found", http.StatusNotFound, RanNo, false, "No such path or no such answer."},
	{UnknownModel, "unknown_model", http.StatusNotFound, RanNo, false, "No pool serves this model."},
	{UnknownPool, "unknown_pool", http.StatusNotFound, RanNo, false, "No plain service has this name."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, false, "The body is over the limit."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, RanNo, false, "The idempotency key was used with another body."},
	{BadResumeToken, "bad_resume_token", http.StatusForbidden, RanNo, false, "The resume token is not valid for this account and request."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RanNo, false, "The header is over the limit."},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, RanNo, true, "The body did not arrive in time."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, RanNo, true, "The account has too many requests or bytes waiting at this router."},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, RanNo, true, "No target took the request before its deadline."},
	{NoTarget, "no_target", http.StatusServiceUnavailable, RanNo, true, "No target may serve the request."},
	{Draining, "draining", http.StatusServiceUnavailable, RanNo, true, "The router is stopping; call another one."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, RanNo, true, "The router does not know the configuration in force."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, RanNo, true, "The platform's table did not confirm the claim in time; the call will never be sent."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, RanNo, true, "No attempt ran and the retry budget is spent."},
	{TargetRefused, "target_refused", http.StatusServiceUnavailable, RanNo, true, "The target said that it did not run the call."},
	{NotInTime, "not_in_time", http.StatusServiceUnavailable, RanNo, true, "The request cannot be served within its objective; come back later."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, true, "The router is asked for more than it can serve in time; call another one."},
	{EndsTargets, "ends_targets", http.StatusServiceUnavailable, RanNo, true, "Targets ended under earlier tries of the same request; it may be tried again after the time that is named."},
	{OriginUnknown, "origin_unknown", http.StatusServiceUnavailable, RanNo, true, "It is not known which software version began the stream that the caller continues, and several are in use."},
	{PartEndsTargets, "part_ends_targets", http.StatusServiceUnavailable, RanNo, true, "Targets ended before they answered prompts with a part that this one has; it may be tried again after the time that is named."},
	{TargetFailed, "target_failed", http.StatusBadGateway, RanYes, false, "The target ran the call and failed."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RanUnknown, false, "The call may have run; it will not be repeated."},
	{ClaimInProgress, "claim_in_progress", http.StatusConflict, RanUnknown, true, "Another call with this key has not ended yet."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, RanUnknown, true, "The stream of the target ended early; resume it."},
	{AnswerUnavailable, "answer_unavailable", http.StatusServiceUnavailable, RanYes, true, "The call ran; its recorded answer cannot be read now."},
	{TimedOut, "timed_out", http.StatusGatewayTimeout, RanUnknown, true, "The time of the request was over before its target answered."},
	{ConfigConflict, "config_conflict", http.StatusConflict, RanNo, false, "Another change came first; both versions are named."},
	{BadPolicy, "bad_policy", http.StatusUnprocessableEntity, RanNo, false, "A policy failed its check; line and column are given."},
	{BadConfig, "bad_config", http.StatusUnprocessableEntity, RanNo, false, "The configuration document is not valid."},
	{BadOperatorToken, "bad_operator_token", http.StatusUnauthorized, RanNo, false, "The operator's token is not valid."},
	{ConfigUnknown, "config_unknown", http.StatusGatewayTimeout, RanUnknown, true, "It is not known whether the change was accepted; submit it again with the same operation ID."},
	{PlatformDown, "platform_down", http.StatusServiceUnavailable, RanNo, true, "The platform's store did not take the change."},
	{OrderRefused, "order_refused", http.StatusConflict, RanNo, true, "The engine or the lease refused the order."},
	{TraceNotFound, "trace_not_found", http.StatusNotFound, RanNo, false, "No router remembers this request."},
	{Internal, "internal", http.StatusInternalServerError, RanUnknown, false, "The router failed."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}()

// Lookup returns the description of c, or that of Internal for an unknown code.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the name of the code.
func (c Code) String() string { return Lookup(c).Name }
