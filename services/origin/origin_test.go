// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// fleet is a group of services that exchange records at once.
type fleet struct {
	t        *testing.T
	clock    *clock.Fake
	gateways map[string]*Service
	outOf    map[string]bool // gateways without contact to others
	frozen   map[string]bool // gateways that do nothing, also without contact
	shared   int             // records sent
	asks     int             // gateways asked
	backups  int             // messages to backups
	records  *fakeRecords
	targets  *routing.TargetSet
	confirm  error
	archive  *fakeArchive
	silent   bool // heartbeats are not exchanged
}

const (
	service = "model"
	account = "account"
)

// newFleet starts a fleet for the first time.
func newFleet(t *testing.T, n int, targets ...routing.Target) *fleet {
	c := clock.NewFake()
	f := &fleet{t: t, clock: c, gateways: map[string]*Service{}, outOf: map[string]bool{}, frozen: map[string]bool{}, targets: routing.NewTargetSet(1, targets...), archive: newFakeArchive(c)}
	f.records = &fakeRecords{archive: f.archive, batches: map[string]fakeBatch{}}
	for i := range n {
		f.launch(fmt.Sprint("g", i), true)
	}
	f.settle()
	f.clock.Advance(patience)
	return f
}

// patience is a time for which callers come back, shorter than that for which a stream may continue.
const patience = 10 * time.Second

// start starts a gateway, or starts it anew without its records.
func (f *fleet) start(id string) {
	f.launch(id, false)
	f.clock.Advance(loadTime)
}

// loseAll kills all gateways and starts them anew.
func (f *fleet) loseAll() {
	f.killAll()
	f.startAll()
}

func (f *fleet) killAll() { clear(f.gateways) }

func (f *fleet) startAll() {
	for i := range fleetSize {
		f.launch(fmt.Sprint("g", i), false)
	}
	f.settle()
}

// fleetSize is the number of gateways that startAll starts.
const fleetSize = 3

func (f *fleet) launch(id string, first bool) {
	f.gateways[id] = New(log.New("origin"), Options{
		Clock: f.clock, MetricsPrefix: "test", Sender: uint32(place.Score(id, uint64(f.clock.Now().UnixNano()))), FirstStart: first,
		InContact:   func() bool { return !f.outOf[id] },
		CutOff:      func() bool { return f.outOf[id] },
		ListFreshAt: f.clock.Now,
		Backup: func(messages []Backup) {
			for _, to := range coreorigin.Backups(f.nodes(id), id) {
				for _, b := range messages {
					f.backups++
					f.gateways[to].ReceiveBackup(b)
				}
			}
		},
		Share: func(records []coreorigin.Record, store bool) {
			for _, r := range records {
				for i, to := range coreorigin.Replicas(f.nodes(id), id, r.Key) {
					f.shared++
					f.gateways[to].Receive([]coreorigin.Record{r})
					if i == 0 && store {
						f.gateways[to].Store([]coreorigin.Record{r})
					}
				}
			}
		},
		ShareEarly: func(r coreorigin.Record) {
			if replicas := coreorigin.Replicas(f.nodes(id), id, r.Key); len(replicas) > 0 {
				f.gateways[replicas[0]].Store([]coreorigin.Record{r})
			}
		},
		Ask: func(k coreorigin.Key, wide bool) []string {
			asked := coreorigin.Holders(f.nodes(id), id, k)
			if wide {
				asked = coreorigin.WideHolders(f.nodes(id), f.nodes(id), id, k)
			}
			f.asks += len(asked)
			for _, to := range asked {
				reply := f.gateways[to].Lookup(k)
				reply.Peer = to
				f.gateways[id].Replied(k, reply)
			}
			return asked
		},
		Confirm: func(context.Context) error {
			if f.outOf[id] {
				return errCut
			}
			return f.confirm
		},
	})
	f.gateways[id].SetTargets(f.targets)
}

// settle has the gateways use the archive and exchange heartbeats and backups, as they do within a
// second.
func (f *fleet) settle() {
	watchers := func() (bool, int) { return true, len(f.gateways) }
	for range 2 {
		for _, id := range f.ids() {
			g := f.gateways[id]
			if !f.frozen[id] {
				g.stepBackups()
				f.useRecordStore(g)
			}
			g.checkContact()
			if g.archiveDue(watchers, 0) {
				if err := g.syncArchive(f.t.Context(), f.archive); err != nil {
					f.t.Logf("%s: archive: %v", id, err)
				}
			}
		}
		if !f.silent {
			f.exchange()
		}
	}
}

// useRecordStore has a gateway read and write the records of streams.
func (f *fleet) useRecordStore(g *Service) {
	ctx := f.t.Context()
	if err := errors.Join(g.loadRecords(ctx, f.records, true, true), g.writeRecords(ctx, f.records)); err != nil {
		f.t.Logf("records: %v", err)
	}
}

// exchange sends the heartbeats of all gateways in contact to each other.
func (f *fleet) exchange() {
	for _, from := range f.ids() {
		for _, to := range f.ids() {
			if from != to && !f.outOf[from] && !f.outOf[to] {
				f.gateways[to].Learn(from, f.gateways[from].Memory(), f.gateways[from].targets.Revision)
			}
		}
	}
}

func (f *fleet) ids() []string { return slices.Sorted(maps.Keys(f.gateways)) }

// nodes returns the gateways that a gateway is in contact with.
func (f *fleet) nodes(id string) []place.Node {
	var out []place.Node
	for other := range f.gateways {
		if other == id || !f.outOf[id] && !f.outOf[other] {
			out = append(out, place.Node{ID: other})
		}
	}
	return out
}

// list gives all gateways in contact a new list of targets.
func (f *fleet) list(targets ...routing.Target) {
	f.targets = routing.NewTargetSet(f.targets.Revision+1, targets...)
	for id, g := range f.gateways {
		if !f.outOf[id] {
			g.SetTargets(f.targets)
		}
	}
}

// begin begins a stream at a gateway.
func (f *fleet) begin(id, attempt, target string) {
	a := Attempt{Key: coreorigin.KeyOf(account, attempt), Service: service, Target: f.targets.Find(target), Try: 1, SentAt: f.clock.Now()}
	f.gateways[id].Began(a, f.gateways[id].Sent(a))
}

// expect checks the version that a gateway resolves, "" for unknown.
func (f *fleet) expect(what, id, attempt, want string) {
	f.t.Helper()
	got, err := f.gateways[id].Resolve(f.t.Context(), coreorigin.KeyOf(account, attempt), service)
	if got.Software != want || (want == "") != IsErrUnknown(err) {
		f.t.Errorf("%s: got version %q, error %v, want %q", what, got.Software, err, want)
	}
}

func target(id, software string) routing.Target {
	return routing.Target{ID: id, Service: service, Software: software}
}

// Guards against records and asks for services with one version, besides a message to two backups for
// each interval.
func TestOneVersionCostsNothing(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"), target("b", "v1"))
	for i := range 100 {
		attempt := fmt.Sprint("attempt-", i)
		f.begin("g0", attempt, "a")
		f.expect("one version", "g1", attempt, "v1")
	}
	if f.shared != 0 || f.asks != 0 {
		t.Errorf("got %d records sent and %d gateways asked, want none", f.shared, f.asks)
	}
	f.gateways["g0"].stepBackups()
	f.gateways["g0"].stepBackups()
	if f.backups != 2 {
		t.Errorf("got %d messages to backups, want one to each of two", f.backups)
	}
	for _, id := range f.ids() {
		f.expect("at a backup", id, "attempt-0", "v1")
	}
	if f.asks != 0 {
		t.Errorf("got %d gateways asked with backups, want none", f.asks)
	}
}

// Guards against a guess where the version is not known, and against refusing where it is.
func TestOriginOutlastsItsGateway(t *testing.T) {
	f := newFleet(t, 4, target("a", "v1"), target("b", "v2"))
	f.begin("g0", "one", "a")
	f.begin("g0", "two", "b")
	f.expect("at the gateway that served it", "g0", "one", "v1")
	f.start("g0")
	for id := range f.gateways {
		f.expect("after its loss at "+id, id, "one", "v1")
		f.expect("after its loss at "+id, id, "two", "v2")
	}
	f.expect("an attempt that began nothing", "g1", "three", "")
	if _, err := f.gateways["g1"].Resolve(t.Context(), coreorigin.KeyOf("another account", "one"), service); !IsErrUnknown(err) {
		t.Errorf("for another account: got error %v, want ErrUnknown", err)
	}
	f.loseAll()
	f.clock.Advance(patience)
	f.expect("after the loss of all", "g1", "one", "")
}

// Guards against an earlier record of an attempt that counts: gateways of older releases send one for
// each target that they try.
func TestLastTryBeginsTheStream(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"), target("b", "v2"))
	first := coreorigin.Record{Key: coreorigin.KeyOf(account, "one"), Target: "a", Software: "v1", Sender: 7, Try: 1, At: f.clock.Now()}
	last := first
	last.Target, last.Software, last.Try = "b", "v2", 2
	f.gateways["g1"].Receive([]coreorigin.Record{first})
	f.gateways["g1"].Receive([]coreorigin.Record{last})
	f.gateways["g2"].Receive([]coreorigin.Record{last, first})
	f.expect("at a gateway that has both", "g1", "one", "v2")
	f.expect("at one that got them in the other order", "g2", "one", "v2")
}

// Guards against a gateway that keeps an earlier record and has not got the later one.
func TestKeeperAsksForLaterRecord(t *testing.T) {
	f := newFleet(t, 4, target("a", "v1"), target("b", "v2"))
	f.begin("g0", "one", "a")
	k := coreorigin.KeyOf(account, "one")
	for id, g := range f.gateways {
		if known := g.Lookup(k); id != "g0" && id != "g1" && known.Found {
			later := known.Record
			later.Target, later.Software, later.Try = "b", "v2", 2
			g.Receive([]coreorigin.Record{later})
		}
	}
	f.expect("a later record is at others", "g1", "one", "v2")
}

// Guards against losing the streams that began before the versions differed, or that come back
// after they do no longer.
func TestRollOutBetweenBeginningAndReturn(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"))
	f.begin("g0", "old", "a")
	f.list(target("a", "v1"), target("b", "v2"))
	f.start("g0")
	f.expect("the roll-out has begun", "g1", "old", "v1")
	f.begin("g1", "new", "b")
	f.list(target("b", "v2"))
	f.expect("the roll-out has ended", "g2", "old", "v1")
	f.expect("the roll-out has ended", "g2", "new", "v2")
	f.expect("nobody has a record", "g2", "lost", "")
	f.clock.Advance(maxLife)
	f.expect("no stream of the old version is left", "g2", "lost", "v2")
}

// Guards against a restarted gateway that lists one version and takes it for the only one.
func TestRestartedGatewayLearnsOfVersions(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"), target("b", "v2"))
	f.list(target("b", "v2"))
	f.start("g0")
	f.expect("before it has heard of others", "g0", "lost", "")
	f.gateways["g0"].Learn("g1", Memory{}, f.targets.Revision)
	f.expect("after a heartbeat of another restarted gateway", "g0", "lost", "")
	f.gateways["g0"].Learn("g1", f.gateways["g1"].Memory(), f.targets.Revision)
	f.expect("after a heartbeat", "g0", "lost", "")
	f.start("g2")
	f.clock.Advance(maxLife)
	f.gateways["g2"].Learn("g1", f.gateways["g1"].Memory(), f.targets.Revision)
	f.expect("once the old version is forgotten", "g2", "lost", "v2")
}

// Guards against a gateway that is cut off while others begin to use another version.
func TestGatewayOutOfContactGuessesNothing(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"))
	f.begin("g2", "own", "a")
	f.outOf["g2"] = true
	f.list(target("a", "v1"), target("b", "v2"))
	f.begin("g0", "other", "b")
	f.expect("begun elsewhere", "g2", "other", "")
	f.expect("begun here", "g2", "own", "v1")
}

// Guards against a stream that continues at a worker which restarted with other software under its
// name, or that began there unnoticed.
func TestUpgradeInPlace(t *testing.T) {
	f := newFleet(t, 3)
	at := func(name string, born time.Duration, software string) routing.Target {
		ms := f.clock.Now().Add(born).UnixMilli()
		return routing.Target{ID: routing.TargetID(name, ms), Name: name, Born: ms, Service: service, Software: software}
	}
	a, b, c := at("a", -time.Hour, "v1"), at("b", -time.Hour, "v1"), at("c", -time.Hour, "v2")
	f.list(a, b, c)
	f.begin("g0", "one", a.ID)
	f.clock.Advance(5 * time.Second)
	f.begin("g0", "late", a.ID)
	f.confirm = errors.New("the store is away")
	f.expect("the list cannot be confirmed", "g1", "one", "")
	f.confirm = nil
	upgraded := at("a", -time.Second/2, "v2")
	f.list(upgraded, b, c)
	f.expect("begun before the restart", "g1", "one", "v1")
	f.expect("begun at about the restart", "g1", "late", "")
}

// Guards against two gateways that serve attempts of one ID.
func TestAttemptAtTwoGatewaysIsUnknown(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"), target("b", "v2"))
	f.begin("g0", "one", "a")
	f.begin("g1", "one", "b")
	f.expect("two versions", "g2", "one", "")
}

// Guards against forgetting streams of routes with a long timeout, or without one.
func TestLifeFollowsTimeouts(t *testing.T) {
	stream := func(timeout time.Duration) routing.Route {
		return routing.Route{Stream: true, Resumable: true, Timeout: timeout}
	}
	for _, c := range []struct {
		want   time.Duration
		routes []routing.Route
	}{
		{returnTime, []routing.Route{{Timeout: time.Minute}}},
		{20*time.Second + returnTime, []routing.Route{stream(5 * time.Second), stream(10 * time.Second), {Timeout: time.Minute}}},
		{maxLife, []routing.Route{stream(10 * time.Minute)}},
		{maxLife, []routing.Route{stream(10 * time.Second), stream(0)}},
	} {
		if got := lifeOf(&routing.Configuration{Routes: c.routes}); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.routes, got, c.want)
		}
	}
}

// Guards against a record of another gateway that is taken for superseded, or for right, while the list names
// one other version.
func TestHeldRecordOfOtherVersionDecides(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"))
	f.gateways["g1"].Receive([]coreorigin.Record{{Key: coreorigin.KeyOf(account, "one"), Target: "b", Software: "v2", Sender: 7, Try: 1, At: f.clock.Now()}})
	f.expect("the list names v1 only", "g1", "one", "v2")
}

// Guards against the record of a second target that is not stored, as the one of the first was.
func TestFirstEventOfLaterTryIsStored(t *testing.T) {
	f := newFleet(t, 3, target("a", "v1"))
	f.listAndSettle(target("a", "v1"), target("b", "v2"))
	stored := map[int]bool{}
	g := f.gateways["g0"]
	g.opts.Share = func(r []coreorigin.Record, store bool) { stored[int(r[0].Try)] = store }
	for try, sent := range map[int]bool{1: true, 2: true, 3: false} {
		g.Began(Attempt{Key: coreorigin.Key(try), Service: service, Target: f.targets.Find("b"), Try: try, SentAt: f.clock.Now()}, sent)
	}
	if stored[1] || !stored[2] || !stored[3] {
		t.Errorf("got stored %v, want all but the first", stored)
	}
}
