// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"madderway/core/quarantine"
)

// Parts of the prompts of these tests.
const (
	badPart quarantine.Part = iota + 1
	commonPart
	groupPart
	otherGroup
)

// partTester feeds a table with deaths that are a second apart.
type partTester struct {
	*quarantine.PartTable
	now     time.Time
	targets int
	owner   bool
}

func newPartTester() *partTester {
	return &partTester{PartTable: quarantine.NewPartTable(), now: start}
}

// die records the death of another target under prompts that were not answered yet.
func (p *partTester) die(prompts ...[]quarantine.Part) {
	p.now = p.now.Add(time.Second)
	p.targets++
	for _, prompt := range prompts {
		p.TargetDied(p.now, prompt, fmt.Sprint("t", p.targets), p.now.Add(-100*time.Millisecond), false)
	}
}

func (p *partTester) check(prompt ...quarantine.Part) quarantine.PartVerdict {
	p.SetOwned(func(quarantine.Part) bool { return p.owner })
	return p.Check(p.now, prompt, 0)
}

// Guards against refusing prompts for the parts that stand beside the one that ends targets.
func TestOnlyPartThatEndsTargetsIsRefused(t *testing.T) {
	p := newPartTester()
	for i := range quarantine.PartThreshold + 1 {
		if v := p.check(badPart, commonPart); v.Refused != (i >= quarantine.PartThreshold) {
			t.Fatalf("got %+v after %d deaths", v, i)
		}
		prompts := [][]quarantine.Part{{commonPart, groupPart, badPart}, {commonPart, otherGroup}}
		if i == 0 {
			prompts = [][]quarantine.Part{{commonPart, badPart}}
		}
		p.die(prompts...)
		p.Answered(p.now, []quarantine.Part{commonPart})
	}
	if v := p.check(commonPart, groupPart, badPart); !v.Refused || v.RetryAfter < time.Minute {
		t.Errorf("got %+v for the prompt that ends targets, want a refusal", v)
	}
	if v := p.check(commonPart, otherGroup); v.Refused || v.OnTrial {
		t.Errorf("got %+v for a part whose deaths another part explains", v)
	}
	if v := p.check(commonPart); v.Refused || v.OnTrial {
		t.Errorf("got %+v for a part that was answered", v)
	}
}

// Guards against refusing a part for good that always stood beside the bad one: one prompt with it
// alone runs as a trial, whose answer clears it.
func TestPartsThatDeathsDoNotTellApartAreTried(t *testing.T) {
	for _, answered := range []bool{true, false} {
		p := newPartTester()
		for range quarantine.PartThreshold {
			p.die([]quarantine.Part{groupPart, badPart})
		}
		if v := p.check(groupPart, badPart); !v.Refused {
			t.Fatalf("got %+v for both parts, want a refusal", v)
		}
		if v := p.check(groupPart); !v.OnTrial {
			t.Fatalf("got %+v for one of the parts, want a trial", v)
		}
		if v := p.check(groupPart); !v.Refused || v.RetryAfter > time.Second {
			t.Errorf("got %+v during the trial, want a refusal for a moment", v)
		}
		p.EndTrial(badPart)
		if answered {
			p.Answered(p.now, []quarantine.Part{groupPart})
		} else {
			p.die([]quarantine.Part{groupPart})
		}
		if v := p.check(groupPart); v.Refused == answered || v.OnTrial {
			t.Errorf("answered %v: got %+v for the tried part", answered, v)
		}
		if v := p.check(badPart); v.Refused != answered || v.OnTrial {
			t.Errorf("answered %v: got %+v for the other part", answered, v)
		}
	}
}

// Guards against taking the loss of many targets at once for the work of a part that many prompts
// have, and against deaths before the send.
func TestDeathsOfOneEpisodeCountOnce(t *testing.T) {
	p := newPartTester()
	for i := range 3 * quarantine.PartThreshold {
		p.now = p.now.Add(5 * time.Millisecond)
		p.TargetDied(p.now, []quarantine.Part{commonPart}, fmt.Sprint("t", i), p.now.Add(-time.Second), false)
	}
	if v := p.check(commonPart); v.Refused || v.OnTrial {
		t.Errorf("got %+v after the loss of many targets at once", v)
	}
	p = newPartTester()
	for i := range quarantine.PartThreshold {
		p.die([]quarantine.Part{commonPart})
		p.TargetDied(p.now, []quarantine.Part{groupPart}, fmt.Sprint("t", i+1), p.now.Add(time.Millisecond), false)
	}
	if v := p.check(groupPart); v.Refused {
		t.Errorf("got %+v for a part that was sent after the deaths", v)
	}
}

// Guards against refusing a part that all prompts have when all targets die at different times.
func TestAnswersThatDieWithTheirTargetsClearTheirParts(t *testing.T) {
	for _, answeredFirst := range []bool{true, false} {
		p := newPartTester()
		for i := range 2 * quarantine.PartThreshold {
			p.now = p.now.Add(time.Second)
			for _, answered := range []bool{answeredFirst, !answeredFirst} {
				p.TargetDied(p.now, []quarantine.Part{commonPart}, fmt.Sprint("t", i), p.now.Add(-time.Second), answered)
			}
		}
		if v := p.check(commonPart); v.Refused || v.OnTrial {
			t.Errorf("answered first %v: got %+v for a part that every target had answered", answeredFirst, v)
		}
	}
}

// Guards against a target that crashes again and again under its ID, unknown while the store is away.
func TestDeathsOfRebornTargetCount(t *testing.T) {
	p := newPartTester()
	for range quarantine.PartThreshold {
		p.now = p.now.Add(3 * time.Second)
		p.TargetDied(p.now, []quarantine.Part{badPart}, "t", p.now.Add(-100*time.Millisecond), false)
	}
	if v := p.check(badPart); !v.Refused {
		t.Errorf("got %+v, want a refusal", v)
	}
}

// Guards against a part that ends a target at each gateway when its hold is over, and against one
// that is never let in again.
func TestHeldPartComesBackByOneTrial(t *testing.T) {
	p := newPartTester()
	last := time.Duration(0)
	for round := range 4 {
		for range quarantine.PartThreshold {
			p.die([]quarantine.Part{badPart})
			if round > 0 {
				break // one more death is enough
			}
		}
		v := p.check(badPart)
		if !v.Refused || v.RetryAfter <= last {
			t.Fatalf("round %d: got %+v, want a longer refusal than %v", round, v, last)
		}
		last = v.RetryAfter
		p.now = p.now.Add(v.RetryAfter)
		if v := p.check(badPart); !v.Refused {
			t.Errorf("round %d: got %+v after the hold at a gateway that does not own the part", round, v)
		}
		p.owner = true
		if v := p.check(badPart); !v.OnTrial {
			t.Errorf("round %d: got %+v after the hold at the owner, want a trial", round, v)
		}
		if v := p.check(badPart); !v.Refused {
			t.Errorf("round %d: got %+v during the trial", round, v)
		}
		p.owner = false
		p.EndTrial(badPart)
	}
	p.Answered(p.now, []quarantine.Part{badPart})
	if v := p.check(badPart); v.Refused || v.OnTrial {
		t.Errorf("got %+v after an answer", v)
	}
	p.now = p.now.Add(25 * time.Hour)
	p.Expire(p.now)
	if digest, _ := p.Digest(); p.Len() != 0 || digest != 0 {
		t.Errorf("got %d records and digest %x after they have expired", p.Len(), digest)
	}
}

// Guards against gateways that disagree once all records have come, in any order and more than once.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("same verdicts", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		source := newPartTester()
		var told []quarantine.PartRecord
		for range 12 {
			source.die([]quarantine.Part{quarantine.Part(1 + rng.IntN(3)), quarantine.Part(1 + rng.IntN(3))})
			told = append(told, source.Shared(source.now)...)
			if rng.IntN(4) == 0 {
				source.Answered(source.now, []quarantine.Part{quarantine.Part(1 + rng.IntN(3))})
			}
		}
		told = append(told, source.Shared(source.now)...)
		other := quarantine.NewPartTable()
		for range 2 {
			rng.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			for _, r := range told {
				other.Merge(source.now, r)
			}
		}
		a, _ := source.Digest()
		b, _ := other.Digest()
		return a == b && slices.EqualFunc(source.Refused(), other.Refused(), func(a, b quarantine.PartRecord) bool { return a.Part == b.Part })
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a table that grows without a bound, and against the loss of a refused part to
// parts with a single death each.
func TestPartTableIsBounded(t *testing.T) {
	p := newPartTester()
	for range quarantine.PartThreshold {
		p.die([]quarantine.Part{badPart})
	}
	for i := range 2000 {
		p.TargetDied(p.now, []quarantine.Part{quarantine.Part(1000 + i)}, "last", p.now, false)
	}
	crowd := make([]quarantine.Part, 64)
	for group := range 10 {
		for i := range crowd {
			crowd[i] = quarantine.Part(5000 + 64*group + i)
		}
		for range quarantine.PartThreshold {
			p.die(crowd)
		}
		p.TargetDied(p.now, []quarantine.Part{quarantine.Part(9000 + group)}, "answering", p.now, true)
		p.Refused() // must not look for a part that has just been evicted
	}
	for range quarantine.PartThreshold + 1 {
		p.die([]quarantine.Part{badPart})
	}
	if p.Len() > 512 || !p.check(badPart).Refused {
		t.Errorf("got %d records, part refused %v", p.Len(), p.check(badPart).Refused)
	}
}
