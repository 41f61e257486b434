// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package claim

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// fakeTable holds one row. It may delay writes and lose their results.
type fakeTable struct {
	rng          *rand.Rand
	row          Versioned
	next         uint64
	delayed      []Write
	faultPercent int // percentage of failing calls
}

func (f *fakeTable) apply(w Write) bool {
	if f.row.Version != w.IfVersion {
		return false
	}
	f.next++
	f.row = Versioned{w.Row, f.next}
	return true
}

// flush applies the oldest delayed write if its condition holds.
func (f *fakeTable) flush() {
	if len(f.delayed) == 0 {
		return
	}
	w := f.delayed[0]
	f.delayed = f.delayed[1:]
	f.apply(w)
}

func (f *fakeTable) write(w Write) Written {
	if f.rng.Intn(100) < f.faultPercent {
		switch f.rng.Intn(3) {
		case 0:
			return Written{Result: ResultUnavailable}
		case 1:
			f.delayed = append(f.delayed, w)
			return Written{Result: ResultUnknown}
		default:
			f.apply(w)
			return Written{Result: ResultUnknown}
		}
	}
	if f.apply(w) {
		return Written{ResultOK, f.row}
	}
	return Written{ResultConflict, f.row}
}

// caller is one attempt with its machine.
type caller struct {
	id       int
	machine  *Claim
	todo     []Event
	sent     bool
	reply    *Reply
	finished bool
	dead     bool
	start    int64
	end      int64
}

func newCaller(id int) *caller {
	return &caller{
		id:      id,
		machine: New(Row{Attempt: fmt.Sprintf("att-%d", id), Digest: "same", Router: fmt.Sprintf("r%d", id), Incarnation: 1}),
		todo:    []Event{Begin{}},
	}
}

// step passes the next event to the machine and performs its actions.
func (c *caller) step(f *fakeTable, now int64) {
	if c.start == 0 {
		c.start = now
	}
	ev := c.todo[0]
	c.todo = c.todo[1:]
	for _, a := range c.machine.Step(ev) {
		switch a := a.(type) {
		case Write:
			c.todo = append(c.todo, f.write(a))
		case ReadRow:
			c.todo = append(c.todo, Read{OK: f.rng.Intn(100) >= f.faultPercent/2, Current: f.row})
		case Wait:
			c.todo = append(c.todo, Waited{})
		case Send:
			c.sent = true
			c.todo = append(c.todo, Ended{Row{State: StateDone, Attempt: c.machine.mine.Attempt, Digest: "same", Status: 200 + c.id}})
			c.end = now
		case Reply:
			c.reply = &a
			c.end = now
		case Finish:
			c.finished = true
		}
	}
}

// claimOutput is the result of an attempt in the porcupine model: it sent the call,
// got the recorded outcome of another attempt, or was refused as not run.
type claimOutput struct {
	sent    bool
	verdict Verdict
	status  int
}

// The state is 0 until a call was sent, then the status of its response.
var claimModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		done, id, out := state.(int), input.(int), output.(claimOutput)
		switch {
		case out.sent:
			return done == 0, 200 + id
		case out.verdict == VerdictRecorded:
			return done == out.status, done
		default:
			return true, done
		}
	},
}

// Racing attempts over a faulty table send the call twice or see results that no
// sequential order explains.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range int64(3000) {
		rng := rand.New(rand.NewSource(seed))
		f := &fakeTable{rng: rng, faultPercent: 40}
		callers := []*caller{newCaller(0), newCaller(1), newCaller(2)}
		for now := int64(1); now < 400; now++ {
			c := callers[rng.Intn(len(callers))]
			if rng.Intn(4) == 0 {
				f.flush()
			}
			if c.finished || c.dead {
				continue
			}
			if rng.Intn(100) == 0 {
				c.dead = true // the router crashes or hangs forever
				continue
			}
			if rng.Intn(60) == 0 {
				c.todo = append(c.todo, Deadline{})
			}
			if len(c.todo) > 0 {
				c.step(f, now)
			}
		}
		sent := 0
		var history []porcupine.Operation
		for _, c := range callers {
			if c.sent {
				sent++
			}
			out, known := claimOutput{sent: c.sent}, c.sent
			if c.reply != nil {
				out.verdict, out.status, known = c.reply.Verdict, c.reply.Row.Status, true
				if c.reply.Verdict == VerdictUnavailable && c.sent {
					t.Fatalf("seed %d: refused as not run, but sent", seed)
				}
			}
			if known && !c.dead {
				history = append(history, porcupine.Operation{ClientId: c.id, Input: c.id, Output: out, Call: c.start, Return: c.end + 1})
			}
		}
		if sent > 1 {
			t.Fatalf("seed %d: sent %d times", seed, sent)
		}
		if sent == 1 && !anyDead(callers) && !porcupine.CheckOperations(claimModel, history) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
		}
	}
}

func anyDead(callers []*caller) bool {
	for _, c := range callers {
		if c.dead {
			return true
		}
	}
	return false
}

func firstOf[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	for _, a := range actions {
		if got, ok := a.(T); ok {
			return got
		}
	}
	var want T
	t.Fatalf("no %T in %v", want, actions)
	return want
}

// A delayed insert takes effect after its call was refused as not run.
func TestReleaseWinsOverLateInsert(t *testing.T) {
	f := &fakeTable{rng: rand.New(rand.NewSource(1))}
	c := New(Row{Attempt: "mine", Digest: "d"})
	late := firstOf[Write](t, c.Step(Begin{}))
	c.Step(Written{Result: ResultUnknown})
	actions := c.Step(Deadline{})
	if r := firstOf[Reply](t, actions); r.Verdict != VerdictUnavailable {
		t.Fatalf("verdict %d", r.Verdict)
	}
	firstOf[ReadRow](t, actions)
	release := firstOf[Write](t, c.Step(Read{OK: true, Current: f.row}))
	f.apply(release)
	if f.apply(late) {
		t.Fatal("the late insert took effect after the release")
	}
	firstOf[Finish](t, c.Step(Written{ResultOK, f.row}))
	if f.row.Row.State != StateReleased {
		t.Fatalf("got row state %s, want released", f.row.Row.State)
	}
}

// The late result of the insert is mistaken for the result of the release.
func TestLateAnswerToInsertIsNotARelease(t *testing.T) {
	f := &fakeTable{rng: rand.New(rand.NewSource(1))}
	c := New(Row{Attempt: "mine", Digest: "d"})
	insert := firstOf[Write](t, c.Step(Begin{}))
	c.Step(Deadline{})
	f.apply(insert)
	release := firstOf[Write](t, c.Step(Written{ResultOK, f.row}))
	if release.Row.State != StateReleased || !f.apply(release) {
		t.Fatalf("got %+v, want a release of the current row", release)
	}
}

func TestNoSendWhileHolderIsPaused(t *testing.T) {
	f := &fakeTable{rng: rand.New(rand.NewSource(1))}
	holder, other := New(Row{Attempt: "a", Digest: "d", Router: "r1", Incarnation: 1}), New(Row{Attempt: "b", Digest: "d"})
	f.apply(firstOf[Write](t, holder.Step(Begin{})))
	firstOf[Send](t, holder.Step(Written{ResultOK, f.row}))
	// The holder stays paused; the other attempt must keep waiting.
	other.Step(Begin{})
	actions := other.Step(Written{ResultConflict, f.row})
	firstOf[Wait](t, actions)
	for range 50 {
		other.Step(Waited{})
		for _, a := range other.Step(Read{OK: true, Current: f.row}) {
			if _, ok := a.(Send); ok {
				t.Fatal("sent while a paused holder may send")
			}
		}
	}
	if router, inc, waiting := other.Holder(); router != "r1" || inc != 1 || !waiting {
		t.Fatal("Holder does not return the waiting attempt's holder, r1 with incarnation 1")
	}
	if r := firstOf[Reply](t, other.Step(HolderDead{})); r.Verdict != VerdictUnknown {
		t.Fatalf("verdict %d", r.Verdict)
	}
}

func TestVerdictFollowsCurrentRow(t *testing.T) {
	for _, c := range []struct {
		row  Row
		want Verdict
	}{
		{Row{State: StateDone, Attempt: "x", Digest: "d"}, VerdictRecorded},
		{Row{State: StateUnknown, Attempt: "x", Digest: "d"}, VerdictUnknown},
		{Row{State: StateDone, Attempt: "x", Digest: "other"}, VerdictKeyReused},
		{Row{State: StateClaimed, Attempt: "x", Digest: "other"}, VerdictKeyReused},
	} {
		m := New(Row{Attempt: "mine", Digest: "d"})
		m.Step(Begin{})
		if r := firstOf[Reply](t, m.Step(Written{ResultConflict, Versioned{c.row, 3}})); r.Verdict != c.want {
			t.Errorf("%+v: verdict %d, want %d", c.row, r.Verdict, c.want)
		}
	}
	m := New(Row{Attempt: "mine", Digest: "d"})
	m.Step(Begin{})
	if w := firstOf[Write](t, m.Step(Written{ResultConflict, Versioned{Row{State: StateReleased, Attempt: "x"}, 3}})); w.IfVersion != 3 {
		t.Errorf("a released row is claimed with IfVersion %d, want 3", w.IfVersion)
	}
}

func TestBackoffGrowsToMax(t *testing.T) {
	m := New(Row{Attempt: "mine"})
	m.Step(Begin{})
	last := time.Duration(0)
	for range 12 {
		w := firstOf[Wait](t, m.Step(Written{Result: ResultUnavailable}))
		if w.For < last || w.For > maxWait {
			t.Fatalf("got a wait of %v after %v, want no shorter one and at most maxWait", w.For, last)
		}
		last = w.For
		m.Step(Waited{})
	}
}
