// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// network is a group of gateways whose links to each other and to the store can be cut one by one,
// so that each has its own view of the list of targets.
type network struct {
	t        *testing.T
	clock    *waitingClock
	archive  *fakeArchive
	store    *routing.TargetSet // what the store lists
	nodes    map[string]*networkNode
	ids      []string
	cut      map[[2]string]bool // links from one gateway to another
	storeOff bool
	listedAt map[string]routing.Revision // of the versions that the store lists
	passed   []passedVersion
}

// passedVersion is a version that the store lists no more.
type passedVersion struct {
	listed, removed routing.Revision
}

type networkNode struct {
	*Service
	view     *routing.TargetSet
	freshAt  time.Time // of view
	storeCut bool
	frozenAt time.Time // zero if it runs
	inbox    []func()  // messages that wait for a frozen gateway
}

const (
	viewMaxAge    = 3 * time.Second
	minStandstill = 1500 * time.Millisecond
)

var errCut = errors.New("no path to the store")

func newNetwork(t *testing.T, gateways int, versions ...string) *network {
	fake := clock.NewFake()
	n := &network{t: t, clock: &waitingClock{Fake: fake}, archive: newFakeArchive(fake), nodes: map[string]*networkNode{}, cut: map[[2]string]bool{}, listedAt: map[string]routing.Revision{}}
	n.list(versions...)
	for i := range gateways {
		n.ids = append(n.ids, fmt.Sprint("g", i))
	}
	for _, id := range n.ids {
		n.start(id, true)
	}
	n.pass(patience)
	return n
}

// start starts a gateway, or starts it anew without its records.
func (n *network) start(id string, first bool) {
	node := &networkNode{view: routing.NewTargetSet(0)}
	if old := n.nodes[id]; old != nil {
		node.storeCut = old.storeCut
	}
	n.nodes[id] = node
	node.Service = New(log.New("origin"), Options{
		Clock: n.clock, MetricsPrefix: "test", Sender: uint32(place.Score(id, uint64(n.clock.Now().UnixNano()))), FirstStart: first,
		InContact:   func() bool { return n.followsTargets(id) },
		CutOff:      func() bool { return !n.followsTargets(id) },
		ListFreshAt: func() time.Time { return node.freshAt },
		Backup: func(messages []Backup) {
			for _, to := range coreorigin.Backups(n.members(), id) {
				for _, b := range messages {
					n.send(id, to, func(s *Service) { s.ReceiveBackup(b) })
				}
			}
		},
		Share: func(records []coreorigin.Record, _ bool) {
			for _, r := range records {
				for _, to := range coreorigin.Replicas(n.members(), id, r.Key) {
					n.send(id, to, func(s *Service) { s.Receive([]coreorigin.Record{r}) })
				}
			}
		},
		ShareEarly: func(coreorigin.Record) {},
		Ask: func(k coreorigin.Key, wide bool) []string {
			asked := coreorigin.Holders(n.members(), id, k)
			if wide {
				asked = coreorigin.WideHolders(n.members(), n.members(), id, k)
			}
			for _, to := range asked {
				n.send(id, to, func(s *Service) {
					reply := s.Lookup(k)
					reply.Peer = to
					n.send(to, id, func(s *Service) { s.Replied(k, reply) })
				})
			}
			return asked
		},
		Confirm: func(context.Context) error {
			if node.storeCut || n.storeOff {
				return errCut
			}
			n.read(node)
			return nil
		},
	})
	n.read(node)
}

// members returns all gateways, also those that cannot be reached.
func (n *network) members() []place.Node {
	var out []place.Node
	for _, id := range n.ids {
		out = append(out, place.Node{ID: id})
	}
	return out
}

// send delivers a message, unless the link is cut. A frozen gateway gets it when it wakes.
func (n *network) send(from, to string, deliver func(*Service)) {
	if n.cut[[2]string{from, to}] {
		return
	}
	node := n.nodes[to]
	if node.frozen() {
		node.inbox = append(node.inbox, func() { deliver(node.Service) })
		return
	}
	deliver(node.Service)
}

func (node *networkNode) frozen() bool { return !node.frozenAt.IsZero() }

// followsTargets reports whether a gateway's list is young, or most others can be heard.
func (n *network) followsTargets(id string) bool {
	node := n.nodes[id]
	if n.clock.Now().Sub(node.freshAt) < viewMaxAge {
		return true
	}
	heard := 1
	for _, other := range n.ids {
		if other != id && !n.cut[[2]string{other, id}] && !n.nodes[other].frozen() {
			heard++
		}
	}
	return 2*heard > len(n.ids)
}

// read gives a gateway the store's list.
func (n *network) read(node *networkNode) { n.update(node, n.store, n.clock.Now()) }

// update gives a gateway a list, with the removals since its own.
func (n *network) update(node *networkNode, view *routing.TargetSet, freshAt time.Time) {
	old := node.view.Revision
	node.view, node.freshAt = view, freshAt
	node.SetTargets(view)
	for _, p := range n.passed {
		if old > 0 && p.listed > old && p.removed <= view.Revision {
			node.NoteGap("the removal of an unknown target", view.Revision)
			return
		}
	}
}

// list replaces the store's list by targets of the given versions.
func (n *network) list(versions ...string) {
	var targets []routing.Target
	for _, v := range versions {
		targets = append(targets, target(v, v))
	}
	revision := routing.Revision(1)
	if n.store != nil {
		revision = n.store.Revision + 1
	}
	for _, v := range versions {
		if n.listedAt[v] == 0 {
			n.listedAt[v] = revision
		}
	}
	for v, at := range n.listedAt {
		if !slices.Contains(versions, v) {
			n.passed = append(n.passed, passedVersion{at, revision})
			delete(n.listedAt, v)
		}
	}
	n.store = routing.NewTargetSet(revision, targets...)
}

// isArchived reports whether the archive has a version.
func (n *network) isArchived(version string) bool {
	return slices.ContainsFunc(n.archive.stored.history.Versions, func(v coreorigin.VersionState) bool { return v.Software == version })
}

// exchange has the running gateways follow the store and each other.
func (n *network) exchange() {
	for _, id := range n.ids {
		node := n.nodes[id]
		if node.frozen() || node.storeCut || n.storeOff {
			continue
		}
		n.read(node)
		if node.archiveDue(func() (bool, int) { return true, len(n.ids) }, 0) {
			if err := node.syncArchive(n.t.Context(), n.archive); err != nil {
				n.t.Logf("%s: archive: %v", id, err)
			}
		}
	}
	for _, from := range n.ids {
		for _, to := range n.ids {
			sender, receiver := n.nodes[from], n.nodes[to]
			if from == to || sender.frozen() || receiver.frozen() || n.cut[[2]string{from, to}] {
				continue
			}
			if sender.view.Revision >= receiver.view.Revision && sender.freshAt.After(receiver.freshAt) {
				n.update(receiver, sender.view, sender.freshAt)
			}
			receiver.Learn(from, sender.Memory(), sender.view.Revision)
		}
	}
	for _, id := range n.ids {
		if !n.nodes[id].frozen() {
			n.nodes[id].checkContact()
			n.nodes[id].stepBackups()
		}
	}
}

// pass lets time pass in steps in which gateways exchange what is new.
func (n *network) pass(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		n.clock.Advance(min(step, d))
		n.exchange()
	}
}

// wake ends a standstill. Requests that waited are read before the messages of others are.
func (n *network) wake(id string) {
	node := n.nodes[id]
	length := n.clock.Now().Sub(node.frozenAt)
	node.frozenAt = time.Time{}
	if length >= minStandstill {
		node.NoteGap("standstill", 0)
	}
}

func (n *network) deliverInbox(id string) {
	node := n.nodes[id]
	for _, deliver := range node.inbox {
		deliver()
	}
	node.inbox = nil
}

// begin begins a stream at a gateway, at a target of its own list.
func (n *network) begin(id, attempt, software string) {
	n.nodes[id].Began(Attempt{Key: coreorigin.KeyOf(account, attempt), Service: service, Target: n.nodes[id].view.Find(software), Try: 1, SentAt: n.clock.Now()}, false)
}

// takeUp has a caller come back to a gateway. Nothing arrives while the gateway waits.
func (n *network) takeUp(id, attempt string) (Origin, error) {
	defer n.clock.endWait()
	return n.nodes[id].Resolve(n.t.Context(), coreorigin.KeyOf(account, attempt), service)
}

// waitingClock is a fake clock on which waits end at once. The time that they would have taken passes
// until endWait only.
type waitingClock struct {
	*clock.Fake
	waited time.Duration
}

func (c *waitingClock) Now() time.Time { return c.Fake.Now().Add(c.waited) }

func (c *waitingClock) After(d time.Duration) <-chan time.Time {
	c.waited += max(d, 0)
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

func (c *waitingClock) endWait() { c.waited = 0 }
