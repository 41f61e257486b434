// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package head

import "time"

// Version identifies a configuration.
type Version struct {
	Number uint64
	Hash   string
}

// FollowEvent is an input of Follower.Step.
type FollowEvent interface{ isFollowEvent() }

// HeadSeen is a successful read of the head row. Exists is false if no configuration
// was ever accepted.
type HeadSeen struct {
	Version Version
	Exists  bool
}

// PeerVersionSeen is the current version of a peer.
type PeerVersionSeen struct {
	Peer    string
	Version Version
}

// Loaded reports that the content of a version was fetched, verified by hash and
// validated.
type Loaded struct{ Version Version }

// LoadFailed reports that the content of a version could not be fetched.
type LoadFailed struct{ Version Version }

// FollowTick drives timeouts and must come regularly.
type FollowTick struct{}

func (HeadSeen) isFollowEvent()        {}
func (PeerVersionSeen) isFollowEvent() {}
func (Loaded) isFollowEvent()          {}
func (LoadFailed) isFollowEvent()      {}
func (FollowTick) isFollowEvent()      {}

// FollowAction is an output of Follower.Step that the caller must perform.
type FollowAction interface{ isFollowAction() }

// Fetch loads the content of a version from one of the peers or from the store.
type Fetch struct {
	Version Version
	Peers   []string
}

// Adopt activates a loaded version.
type Adopt struct{ Version Version }

func (Fetch) isFollowAction() {}
func (Adopt) isFollowAction() {}

const (
	fetchTimeout = 2 * time.Second
	peerQuorum   = 2 // peers that must agree while the head row cannot be read
)

// Follower tracks the current version of one router. The version never decreases.
type Follower struct {
	isolation    time.Duration
	current      Version
	adopted      bool
	confirmed    bool // the head row was read or a quorum of peers agreed since the start
	empty        bool // the head row does not exist
	wanted       Version
	fetchStarted time.Time // zero if no fetch is in progress
	peers        map[string]Version
	lastContact  time.Time // with the store or a peer
}

// NewFollower returns a follower without a version. It stops admitting requests after
// it has reached neither the store nor a peer for the isolation time.
func NewFollower(now time.Time, isolation time.Duration) *Follower {
	return &Follower{isolation: isolation, peers: map[string]Version{}, lastContact: now}
}

// Step processes one event and returns the resulting actions.
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
		f.followPeer(e.Version)
	case Loaded:
		return f.loaded(e.Version)
	case LoadFailed:
		if e.Version == f.wanted {
			f.fetchStarted = time.Time{}
		}
		return nil
	}
	return f.fetch(now)
}

// followPeer follows a peer's higher version. Before the first read of the head row it
// requires a quorum of peers, as one peer alone may be wrong.
func (f *Follower) followPeer(v Version) {
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
	if same >= peerQuorum {
		f.confirmed = true
		f.want(v)
	}
}

func (f *Follower) want(v Version) {
	if v.Number > f.current.Number && v.Number > f.wanted.Number {
		f.wanted = v
		f.fetchStarted = time.Time{}
	}
}

func (f *Follower) fetch(now time.Time) []FollowAction {
	if f.wanted.Number <= f.current.Number {
		return nil
	}
	if !f.fetchStarted.IsZero() && now.Sub(f.fetchStarted) < fetchTimeout {
		return nil
	}
	f.fetchStarted = now
	var holders []string
	for peer, v := range f.peers {
		if v == f.wanted {
			holders = append(holders, peer)
		}
	}
	return []FollowAction{Fetch{f.wanted, holders}}
}

func (f *Follower) loaded(v Version) []FollowAction {
	if v.Number <= f.current.Number {
		return nil
	}
	f.current, f.adopted = v, true
	return []FollowAction{Adopt{v}}
}

// Version returns the current version, zero before the first.
func (f *Follower) Version() Version { return f.current }

// Wanted returns the highest known version.
func (f *Follower) Wanted() Version {
	if f.wanted.Number > f.current.Number {
		return f.wanted
	}
	return f.current
}

// Admits reports whether requests may be admitted: there is a current version, and the
// store or a peer was reached within the isolation time.
func (f *Follower) Admits(now time.Time) bool {
	return f.adopted && now.Sub(f.lastContact) <= f.isolation
}
