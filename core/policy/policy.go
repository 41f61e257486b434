// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package policy compiles and runs the operators' Starlark programs. A program may
// define order(request, account), retry(request, attempt) and place(request, target).
// A function that is missing or fails is replaced by a safe default.
package policy

import (
	"errors"
	"fmt"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// StepLimit is the maximum number of Starlark steps of one call.
const StepLimit = 20_000

// ErrBadPolicy is wrapped by all errors of this package.
var ErrBadPolicy = errors.New("bad policy")

// ErrPolicy is a compile or run error of a policy with its position.
type ErrPolicy struct {
	Policy string
	Line   int
	Column int
	Reason string
}

// Error implements error.
func (e ErrPolicy) Error() string {
	return fmt.Sprintf("policy %s, line %d, column %d: %s", e.Policy, e.Line, e.Column, e.Reason)
}

// Unwrap returns ErrBadPolicy.
func (e ErrPolicy) Unwrap() error { return ErrBadPolicy }

// IsErrPolicy reports whether err is an ErrPolicy.
func IsErrPolicy(err error) bool {
	var e ErrPolicy
	return errors.As(err, &e)
}

// Request holds the request attributes that policies can read.
type Request struct {
	Account   string
	Pool      string
	Model     string
	Method    string
	Path      string
	Class     string // requested class, or ""
	Bytes     int
	MaxTokens int
	Stream    bool
	Keyed     bool
	DataHall  string
}

// Account holds the client account attributes that policies can read.
type Account struct {
	Name   string
	Weight float64
	Queued int
}

// Attempt describes a failed attempt to a policy.
type Attempt struct {
	Number  int
	Outcome string // "not_run", "failed" or "unknown"
	Status  int
}

// Target holds the target attributes that policies can read.
type Target struct {
	Name     string
	Pool     string
	DataHall string
	Region   string
	SameHall bool
}

// Order is a policy's decision on the priority of a request.
type Order struct {
	Class       string
	Rank        int  // orders the requests of one account, lowest first
	Interactive bool // gets the pool's head start
	Keep        bool // store the response if the caller disconnected
}

// Placement is a policy's decision on a request and a target.
type Placement struct {
	Allowed bool
	Score   float64
}

// Classes of the default order.
const (
	ClassInteractive = "interactive"
	ClassLong        = "long"
)

// LongTokens is the number of output tokens from which DefaultOrder classifies a
// request as long.
const LongTokens = 512

// DefaultOrder returns the order of a request without a policy.
func DefaultOrder(r Request) Order {
	if r.Class == ClassLong || r.Class == "" && r.MaxTokens >= LongTokens {
		return Order{Class: ClassLong, Rank: 10, Keep: true}
	}
	return Order{Class: ClassInteractive, Interactive: true}
}

// Program is a compiled policy. It is safe for concurrent use. A nil Program has the defaults.
type Program struct {
	name    string
	globals starlark.StringDict
}

// Compile parses and initializes a policy and checks it against Samples.
func Compile(name, source string) (*Program, error) {
	thread := newThread(name)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{Set: true}, thread, name+".star", source, nil)
	if err != nil {
		return nil, newErrPolicy(name, err)
	}
	globals.Freeze()
	p := &Program{name: name, globals: globals}
	if err := p.checkSignatures(); err != nil {
		return nil, err
	}
	return p, p.checkSamples()
}

func newThread(name string) *starlark.Thread {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(StepLimit)
	return thread
}

func newErrPolicy(name string, err error) error {
	var syn syntax.Error
	if errors.As(err, &syn) {
		return ErrPolicy{name, int(syn.Pos.Line), int(syn.Pos.Col), syn.Msg}
	}
	var res resolve.ErrorList
	if errors.As(err, &res) && len(res) > 0 {
		return ErrPolicy{name, int(res[0].Pos.Line), int(res[0].Pos.Col), res[0].Msg}
	}
	var eval *starlark.EvalError
	if errors.As(err, &eval) && len(eval.CallStack) > 0 {
		pos := lastPosition(eval.CallStack)
		return ErrPolicy{name, int(pos.Line), int(pos.Col), eval.Msg}
	}
	return ErrPolicy{Policy: name, Reason: err.Error()}
}

// lastPosition returns the innermost position in the program's text. Built-in
// functions have no position.
func lastPosition(stack starlark.CallStack) syntax.Position {
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i].Pos.Line > 0 {
			return stack[i].Pos
		}
	}
	return syntax.Position{}
}

func (p *Program) checkSignatures() error {
	for _, name := range []string{"order", "retry", "place"} {
		v, ok := p.globals[name]
		if !ok {
			continue
		}
		fn, ok := v.(*starlark.Function)
		if !ok {
			return ErrPolicy{p.name, 0, 0, name + " is not a function"}
		}
		if fn.NumParams() != 2 {
			pos := fn.Position()
			return ErrPolicy{p.name, int(pos.Line), int(pos.Col), fmt.Sprintf("%s takes %d parameters, not 2", name, fn.NumParams())}
		}
	}
	return nil
}

// Samples returns requests that a policy must handle without an error to be accepted.
func Samples() []Request {
	return []Request{
		{Account: "sample", Pool: "chat", Model: "model", Method: "POST", Path: "/v1/chat/completions", Class: ClassLong, Bytes: 4096, MaxTokens: 4096, Stream: true, DataHall: "hall"},
		{Account: "sample", Pool: "chat", Model: "model", Method: "POST", Path: "/v1/chat/completions", Bytes: 64, MaxTokens: 16, DataHall: "hall"},
		{Account: "sample", Pool: "service", Method: "POST", Path: "/submit", Bytes: 128, Keyed: true, DataHall: "hall"},
		{Account: "sample", Pool: "service", Method: "GET", Path: "/"},
	}
}

func (p *Program) checkSamples() error {
	account := Account{Name: "sample", Weight: 1}
	target := Target{Name: "sample", Pool: "chat", DataHall: "hall", Region: "region"}
	for _, r := range Samples() {
		if _, err := p.Order(r, account); err != nil {
			return err
		}
		for _, outcome := range []string{"not_run", "failed", "unknown"} {
			if _, err := p.Retry(r, Attempt{Number: 1, Outcome: outcome, Status: 502}); err != nil {
				return err
			}
		}
		if _, err := p.Place(r, target); err != nil {
			return err
		}
	}
	return nil
}
