// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package head

import "time"

// Version names a configuration.
type Version struct {
	Number uint64
	Hash   string
}

// FollowEvent is something that a Follower reacts to.
type FollowEvent interface{ isFollowEvent() }

// HeadSeen is a read of the head row. Exists is false where no configuration
// was ever accepted.
type HeadSeen struct {
	Version Version
	Exists  bool
}

// PeerVersionSeen is the version that a peer has in force.
type PeerVersionSeen struct {
	Peer    string
	Version Version
}

// Loaded tells that content with this version was fetched, verified by hash
// and checked.
type Loaded struct{ Version Version }

// LoadFailed tells that the content could not be fetched now.
type LoadFailed struct{ Version Version }

// FollowTick lets time pass.
type FollowTick struct{}

func (HeadSeen) isFollowEvent()        {}
func (PeerVersionSeen) isFollowEvent() {}
func (Loaded) isFollowEvent()          {}
func (LoadFailed) isFollowEvent()      {}
func (FollowTick) isFollowEvent()      {}

// FollowAction is something that the owner of a Follower must do.
type FollowAction interface{ isFollowAction() }

// Fetch asks for the content of a version, from these peers or the store.
type Fetch struct {
	Version Version
	Peers   []string
}

// Adopt puts a loaded version in force.
type Adopt struct{ Version Version }

func (Fetch) isFollowAction() {}
func (Adopt) isFollowAction() {}

const (
	fetchTimeout = 2 * time.Second
	agreement    = 2 // peers that must agree while the head cannot be read
)

// Follower tracks which version is in force at one router. It never goes back.
type Follower struct {
	isolation   time.Duration
	force       Version
	adopted     bool
	confirmed   bool // confirmed tells that the head or two peers vouched for a version since the start.
	empty       bool // empty tells that the head was read and holds nothing.
	wanted      Version
	fetching    time.Time
	peers       map[string]Version
	lastContact time.Time
}

// NewFollower returns a follower with no memory. isolation is how long it may
// reach neither the store nor a peer before it stops admitting.
func NewFollower(now time.Time, isolation time.Duration) *Follower {
	return &Follower{isolation: isolation, peers: map[string]Version{}, lastContact: now}
}

// Step takes one event and returns what is to be done.
func (f *Follower) Step(now time.Time, ev FollowEvent) []FollowAction {
	switch e := ev.(type) {
	case HeadSeen:
		f.lastContact = now
		f.confirmed = true
		f.empty = !e.Exists
		if e.Exists {
			f.want(e.Version)
		}
	case PeerVersionSeen:
		f.lastContact = now
		f.peers[e.Peer] = e.Version
		f.heedPeer(e.Version)
	case Loaded:
		return f.loaded(e.Version)
	case LoadFailed:
		if e.Version == f.wanted {
			f.fetching = time.Time{}
		}
		return nil
	}
	return f.fetch(now)
}

// heedPeer follows a peer's higher version. A router with no memory heeds only
// what two peers agree on, unless it has read the head.
func (f *Follower) heedPeer(v Version) {
	if v.Number == 0 {
		return
	}
	if f.confirmed {
		f.want(v)
		return
	}
	same := 0
	for _, other := range f.peers {
		if other == v {
			same++
		}
	}
	if same >= agreement {
		f.confirmed = true
		f.want(v)
	}
}

func (f *Follower) want(v Version) {
	if v.Number > f.force.Number && v.Number > f.wanted.Number {
		f.wanted = v
		f.fetching = time.Time{}
	}
}

func (f *Follower) fetch(now time.Time) []FollowAction {
	if f.wanted.Number <= f.force.Number {
		return nil
	}
	if !f.fetching.IsZero() && now.Sub(f.fetching) < fetchTimeout {
		return nil
	}
	f.fetching = now
	var holders []string
	for peer, v := range f.peers {
		if v == f.wanted {
			holders = append(holders, peer)
		}
	}
	return []FollowAction{Fetch{f.wanted, holders}}
}

func (f *Follower) loaded(v Version) []FollowAction {
	if v.Number <= f.force.Number {
		return nil
	}
	f.force, f.adopted = v, true
	return []FollowAction{Adopt{v}}
}

// Version returns the version in force, zero before the first.
func (f *Follower) Version() Version { return f.force }

// Wanted returns the highest version that is known of.
func (f *Follower) Wanted() Version {
	if f.wanted.Number > f.force.Number {
		return f.wanted
	}
	return f.force
}

// Admits tells whether requests may be admitted: a version is in force and the
// store or a peer was reached within the isolation time.
func (f *Follower) Admits(now time.Time) bool {
	return f.adopted && now.Sub(f.lastContact) <= f.isolation
}
