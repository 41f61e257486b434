// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"sort"
	"strings"
)

// Index finds routes, services and accounts of one configuration.
type Index struct {
	Configuration *Configuration
	byHost        map[string][]*Route // longest path prefix first
	services      map[string]*Service
	byKey         map[string]*ClientAccount
}

// NewIndex builds the look-up tables of a configuration.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Configuration: c, byHost: map[string][]*Route{},
		services: map[string]*Service{}, byKey: map[string]*ClientAccount{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, routes := range x.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			x.byKey[key] = &c.Accounts[i]
		}
	}
	return x
}

// Route returns the route of the host whose path prefix is the longest that
// begins the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Account returns the account that has the key, or nil.
func (x *Index) Account(key string) *ClientAccount { return x.byKey[key] }

// EffectiveRank returns the rank of an account's request on a route.
func EffectiveRank(r *Route, a *ClientAccount) int {
	if a != nil && a.Rank != nil {
		return *a.Rank
	}
	return r.Rank
}

// PickService draws the service of a request; draw is between 0 and 1.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := draw * total
	for _, s := range r.Split {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// MayRepeat tells whether a request may be executed more than once.
func (r *Route) MayRepeat() bool { return r.Repeat == RepeatSafe || r.Stream && r.Resumable }
