// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderway/core/place"
)

// Part identifies a part of prompts to a model. Callers name the parts of their prompts, so that
// nothing is gained by forging one.
type Part uint64

// PartOf returns the identity of a part by the hash of its ID.
func PartOf(model string, id uint64) Part {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	var suffix [9]byte // a zero byte ends the name
	binary.LittleEndian.PutUint64(suffix[1:], id)
	_, _ = d.Write(suffix[:])
	return Part(d.Sum64())
}

// key returns the part as a key for the choice of gateways.
func (p Part) key() string {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(p))
	return string(b[:])
}

const (
	// PartThreshold is the number of episodes of deaths at which a part is refused.
	PartThreshold = 3
	// episodeLength groups the deaths that may have one cause, such as the loss of a data hall:
	// those within this time after the first count once.
	episodeLength = 50 * time.Millisecond
	// maxEpisodeDeaths bounds the deaths of an episode that are kept.
	maxEpisodeDeaths = 4
	// answerCredit is the time after an answer to a prompt with the part in which deaths do not
	// count against it. It covers the differences between the clocks by which gateways tell ages.
	answerCredit = 2 * time.Second
	// partHold is the time for which a part is refused after its last death. Each death that
	// follows a hold doubles the next one, up to maxRetention.
	partHold = 5 * time.Minute
	// maxPartDeaths bounds the deaths of a record.
	maxPartDeaths = 16
)

// PartDeath is the death of a target while it had requests that it had not begun to answer.
type PartDeath struct {
	Target string
	At     time.Time
}

// PartRecord holds the deaths of targets that had not begun to answer prompts with a part, and when
// such a prompt was answered last. A part that ends targets is never answered, while one that stands
// beside it in prompts is.
type PartRecord struct {
	Part       Part
	Deaths     []PartDeath // in the order of time
	AnsweredAt time.Time   // zero if no answer is known

	toldLevel int // level at the last change that was told
}

// level returns the number of episodes of deaths that count, at most PartThreshold.
func (r *PartRecord) level() int { return min(episodes(r.counted(nil)), PartThreshold) }

// IsShared reports whether all gateways are to have the record.
func (r *PartRecord) IsShared() bool {
	return r.level() >= ShareThreshold || !r.AnsweredAt.IsZero() && len(r.Deaths) > 0
}

func (r *PartRecord) clone() PartRecord {
	return PartRecord{Part: r.Part, Deaths: slices.Clone(r.Deaths), AnsweredAt: r.AnsweredAt}
}

// counts reports whether a death counts against the part.
func (r *PartRecord) counts(d PartDeath) bool { return d.At.After(r.AnsweredAt.Add(answerCredit)) }

// counted returns the deaths that count against the part and are not among the explained ones, in the
// order of time.
func (r *PartRecord) counted(explained []PartDeath) []PartDeath {
	var out []PartDeath
	for _, d := range r.Deaths {
		if r.counts(d) && !containsDeath(explained, d) {
			out = append(out, d)
		}
	}
	return out
}

// isSame reports whether two reports tell of the same death.
func (d PartDeath) isSame(other PartDeath) bool {
	return d.Target == other.Target && d.At.Sub(other.At).Abs() < minLifetime
}

func containsDeath(deaths []PartDeath, d PartDeath) bool {
	return slices.ContainsFunc(deaths, d.isSame)
}

// sameDeaths reports whether two lists without repetitions tell of the same deaths.
func sameDeaths(a, b []PartDeath) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(d PartDeath) bool { return !containsDeath(b, d) })
}

// isRefused reports whether enough deaths count against the part to refuse it.
func (r *PartRecord) isRefused() bool { return r.level() == PartThreshold }

// takeLevelChange reports whether all gateways are to be told of a change. Those of refused parts are
// told each, as their deaths explain others.
func (r *PartRecord) takeLevelChange() bool {
	level := r.level()
	changed := max(level, r.toldLevel) >= ShareThreshold && (level != r.toldLevel || level == PartThreshold)
	r.toldLevel = level
	return changed
}

// episodes returns the number of episodes of deaths in the order of time.
func episodes(deaths []PartDeath) int {
	n := 0
	var start time.Time
	for i, d := range deaths {
		if i == 0 || d.At.Sub(start) >= episodeLength {
			start = d.At
			n++
		}
	}
	return n
}

func (r *PartRecord) lastDeath() time.Time {
	if len(r.Deaths) == 0 {
		return time.Time{}
	}
	return r.Deaths[len(r.Deaths)-1].At
}

// hold returns for how long after the last death the part is refused.
func (r *PartRecord) hold() time.Duration {
	hold := partHold
	deaths := r.counted(nil)
	for i := 1; i < len(deaths) && hold < maxRetention; i++ {
		if deaths[i].At.Sub(deaths[i-1].At) >= partHold {
			hold *= 2
		}
	}
	return min(hold, maxRetention)
}

// heldUntil returns the end of the hold after the last death, and the time from which any gateway
// may try the part.
func (r *PartRecord) heldUntil() (until, open time.Time) {
	hold := r.hold()
	return r.lastDeath().Add(hold), r.lastDeath().Add(2 * hold)
}

// expires returns the time at which the record is deleted.
func (r *PartRecord) expires() time.Time {
	life := retention
	if r.isRefused() {
		life = max(life, 4*r.hold())
	}
	return r.lastDeath().Add(life)
}

// add merges a death into the record and reports whether it adds information.
func (r *PartRecord) add(d PartDeath) bool {
	near := 0 // deaths of the same episode
	for i := range r.Deaths {
		known := r.Deaths[i]
		if known.isSame(d) {
			return false
		}
		if d.At.Sub(known.At).Abs() < episodeLength {
			near++
		}
	}
	if !r.counts(d) || near >= maxEpisodeDeaths {
		return false
	}
	if len(r.Deaths) >= maxPartDeaths {
		if until, _ := r.heldUntil(); d.At.Before(until) {
			return false // the part is refused anyway
		}
		r.Deaths = slices.Delete(r.Deaths, 0, 1)
	}
	r.Deaths = append(r.Deaths, d)
	slices.SortFunc(r.Deaths, func(a, b PartDeath) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target))
	})
	return true
}

// answered records an answer and reports whether deaths no longer count for it.
func (r *PartRecord) answered(at time.Time) bool {
	if !at.After(r.AnsweredAt) {
		return false
	}
	before := len(r.counted(nil))
	r.AnsweredAt = at
	return len(r.counted(nil)) < before
}

// digest hashes what gateways must agree on: the level. It is 0 below ShareThreshold.
func (r *PartRecord) digest() uint64 {
	level := r.level()
	if level < ShareThreshold {
		return 0
	}
	var d xxhash.Digest
	d.ResetWithSeed(uint64(r.Part))
	_, _ = d.Write([]byte{byte(level)})
	return d.Sum64()
}

// PartNews is a change of a record at a gateway.
type PartNews struct {
	Record       PartRecord
	Added        bool // the gateway learned of deaths or of an answer
	LevelChanged bool // what all gateways are to know has changed
	AnswerKnown  bool // the gateway knows of an answer that the sender of the record lacks
}

// Recipients returns the gateways that are to have the record. from is the gateway that it came from,
// or empty. Deaths and answers go to the owners of the part, which collect them and tell all
// gateways, each through its neighbors, when the level changes. So the records sent grow with the
// gateways, not with gateways times deaths.
func (n PartNews) Recipients(self, from string, nodes []place.Node, neighbors []string) []string {
	owners := PartOwners(n.Record.Part, nodes)
	owns := slices.Contains(owners, self)
	var to []string
	if owns && n.LevelChanged || !owns && from != "" && n.Added && n.Record.IsShared() {
		to = append(to, neighbors...)
	}
	if from == "" || n.AnswerKnown {
		to = append(to, owners...)
	}
	slices.Sort(to)
	return slices.DeleteFunc(slices.Compact(to), func(id string) bool { return id == self || id == from && !n.AnswerKnown })
}

// PartOwners returns the gateways that collect the deaths of a part. The first one also archives it
// and decides on its trials.
func PartOwners(p Part, nodes []place.Node) []string {
	return place.Top(nodes, p.key(), firstDeathReplicas)
}

// compareParts orders records by their number of deaths that count, the most first.
func compareParts(a, b *PartRecord) int {
	return cmp.Or(cmp.Compare(len(b.counted(nil)), len(a.counted(nil))), cmp.Compare(a.Part, b.Part))
}
