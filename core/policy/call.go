// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package policy

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
)

func record(fields starlark.StringDict) starlark.Value {
	s := starlarkstruct.FromStringDict(starlarkstruct.Default, fields)
	s.Freeze()
	return s
}

func (r Request) value() starlark.Value {
	return record(starlark.StringDict{
		"account":    starlark.String(r.Account),
		"pool":       starlark.String(r.Pool),
		"model":      starlark.String(r.Model),
		"method":     starlark.String(r.Method),
		"path":       starlark.String(r.Path),
		"cls":        starlark.String(r.Class),
		"bytes":      starlark.MakeInt(r.Bytes),
		"max_tokens": starlark.MakeInt(r.MaxTokens),
		"stream":     starlark.Bool(r.Stream),
		"keyed":      starlark.Bool(r.Keyed),
		"data_hall":  starlark.String(r.DataHall),
	})
}

func (a Account) value() starlark.Value {
	return record(starlark.StringDict{
		"name":   starlark.String(a.Name),
		"weight": starlark.Float(a.Weight),
		"queued": starlark.MakeInt(a.Queued),
	})
}

func (a Attempt) value() starlark.Value {
	return record(starlark.StringDict{
		"number":  starlark.MakeInt(a.Number),
		"outcome": starlark.String(a.Outcome),
		"status":  starlark.MakeInt(a.Status),
	})
}

func (t Target) value() starlark.Value {
	return record(starlark.StringDict{
		"name":      starlark.String(t.Name),
		"pool":      starlark.String(t.Pool),
		"data_hall": starlark.String(t.DataHall),
		"region":    starlark.String(t.Region),
		"same_hall": starlark.Bool(t.SameHall),
	})
}

// call runs a function of the program; ok is false where it has none.
func (p *Program) call(name string, args ...starlark.Value) (v starlark.Value, ok bool, err error) {
	if p == nil || p.globals[name] == nil {
		return nil, false, nil
	}
	v, err = starlark.Call(newThread(p.name), p.globals[name], args, nil)
	if err != nil {
		return nil, true, describe(p.name, err)
	}
	return v, true, nil
}

func (p *Program) typeError(name string, got starlark.Value, want string) error {
	line, column := 0, 0
	if fn, ok := p.globals[name].(*starlark.Function); ok {
		line, column = int(fn.Position().Line), int(fn.Position().Col)
	}
	return ErrPolicy{p.name, line, column, fmt.Sprintf("%s returned %s, not %s", name, got.Type(), want)}
}

// Order runs order(request, account). It returns a dict with any of the keys
// class (string), rank (int), interactive (bool) and keep (bool).
func (p *Program) Order(r Request, a Account) (Order, error) {
	o := DefaultOrder(r)
	v, ok, err := p.call("order", r.value(), a.value())
	if !ok || err != nil {
		return o, err
	}
	dict, isDict := v.(*starlark.Dict)
	if !isDict {
		return o, p.typeError("order", v, "dict")
	}
	got := o
	for _, item := range dict.Items() {
		if err := p.setOrder(&got, item[0], item[1]); err != nil {
			return o, err
		}
	}
	return got, nil
}

func (p *Program) setOrder(o *Order, key, v starlark.Value) error {
	name, _ := starlark.AsString(key)
	switch name {
	case "class":
		s, ok := starlark.AsString(v)
		if !ok {
			return p.typeError("order", v, "a string for class")
		}
		o.Class = s
	case "rank":
		n, err := starlark.AsInt32(v)
		if err != nil {
			return p.typeError("order", v, "an int for rank")
		}
		o.Rank = n
	case "interactive":
		o.Interactive = bool(v.Truth())
	case "keep":
		o.Keep = bool(v.Truth())
	default:
		return p.typeError("order", key, "one of class, rank, interactive, keep as key")
	}
	return nil
}

// Retry runs retry(request, attempt), which returns whether the request may be
// sent again after that attempt. The safe default is to repeat only what
// provably did not run.
func (p *Program) Retry(r Request, a Attempt) (bool, error) {
	safe := a.Outcome == "not_run"
	v, ok, err := p.call("retry", r.value(), a.value())
	if !ok || err != nil {
		return safe, err
	}
	b, isBool := v.(starlark.Bool)
	if !isBool {
		return safe, p.typeError("retry", v, "bool")
	}
	return bool(b), nil
}

// Place runs place(request, target), which returns None where the request may
// not go to the target, else a number; more is better.
func (p *Program) Place(r Request, t Target) (Placement, error) {
	open := Placement{Allowed: true}
	v, ok, err := p.call("place", r.value(), t.value())
	if !ok || err != nil {
		return open, err
	}
	if v == starlark.None {
		return Placement{}, nil
	}
	f, isNumber := starlark.AsFloat(v)
	if !isNumber {
		return open, p.typeError("place", v, "a number or None")
	}
	return Placement{Allowed: true, Score: f}, nil
}
