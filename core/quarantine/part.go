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
	episodeLength = 300 * time.Millisecond
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
}

// IsShared reports whether all gateways are to have the record.
func (r *PartRecord) IsShared() bool { return len(r.Deaths) >= ShareThreshold }

func (r *PartRecord) clone() PartRecord {
	return PartRecord{r.Part, slices.Clone(r.Deaths), r.AnsweredAt}
}

// counts reports whether a death counts against the part.
func (r *PartRecord) counts(d PartDeath) bool { return d.At.After(r.AnsweredAt.Add(answerCredit)) }

// counted returns the deaths that count against the part and are not explained, in the order of time.
func (r *PartRecord) counted(explained map[string]bool) []PartDeath {
	var out []PartDeath
	for _, d := range r.Deaths {
		if r.counts(d) && !explained[d.Target] {
			out = append(out, d)
		}
	}
	return out
}

// isRefused reports whether enough deaths count against the part to refuse it.
func (r *PartRecord) isRefused() bool { return episodes(r.counted(nil)) >= PartThreshold }

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
		known := &r.Deaths[i]
		apart := d.At.Sub(known.At).Abs()
		if known.Target == d.Target && apart < minLifetime {
			return false
		}
		if apart < episodeLength {
			near++
		}
	}
	if !r.counts(d) || near >= maxEpisodeDeaths {
		return false
	}
	r.Deaths = append(r.Deaths, d)
	slices.SortFunc(r.Deaths, func(a, b PartDeath) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target))
	})
	if len(r.Deaths) > maxPartDeaths {
		r.Deaths = slices.Delete(r.Deaths, 0, 1)
	}
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

// digest hashes what gateways must agree on: that the part is refused, or else the targets whose
// deaths count. It is 0 if these are fewer than ShareThreshold.
func (r *PartRecord) digest() uint64 {
	counted := r.counted(nil)
	if len(counted) < ShareThreshold {
		return 0
	}
	var d xxhash.Digest
	d.ResetWithSeed(uint64(r.Part))
	if r.isRefused() {
		return d.Sum64()
	}
	sum := uint64(0) // the same for every order
	for _, death := range counted {
		sum += xxhash.Sum64String(death.Target)
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], sum)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// PartRecipients returns the gateways to which a record is sent: a few that count deaths until
// the record is shared, then all, each through its neighbors.
func PartRecipients(r PartRecord, nodes []place.Node, neighbors []string) []string {
	if r.IsShared() {
		return neighbors
	}
	return place.Top(nodes, r.Part.key(), firstDeathReplicas)
}

// PartOwner returns the gateway that decides on trials of a part and archives it.
func PartOwner(p Part, nodes []place.Node) string {
	if top := place.Top(nodes, p.key(), 1); len(top) > 0 {
		return top[0]
	}
	return ""
}

// compareParts orders records by their number of deaths that count, the most first.
func compareParts(a, b *PartRecord) int {
	return cmp.Or(cmp.Compare(len(b.counted(nil)), len(a.counted(nil))), cmp.Compare(a.Part, b.Part))
}
