// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Parts keeps a gateway's table of the parts of prompts under which targets die. It is safe for
// concurrent use.
type Parts struct {
	log     log.Logger
	clock   clock.Clock
	share   func(n quarantine.PartNews)
	archive func(c change)
	prefix  string // of the metrics' names
	// known is the number of records. Prompts that meet an empty table check only this.
	known atomic.Int32

	mu    sync.Mutex // guards table and refusedParts
	table *quarantine.PartTable
	// refusedParts are the parts that are refused, as of the last change.
	refusedParts map[quarantine.Part]bool

	accused *metrics.Counter
	refused *metrics.Counter
	trials  *metrics.Counter
}

func newParts(logger log.Logger, o Options, set *metrics.Set, archive func(c change)) *Parts {
	return &Parts{
		log: logger, clock: o.Clock, share: o.SharePart, archive: archive, prefix: o.MetricsPrefix, table: quarantine.NewPartTable(),
		accused: set.NewCounter(o.MetricsPrefix + "_prompt_parts_accused_total"),
		refused: set.NewCounter(o.MetricsPrefix + "_prompt_parts_refused_total"),
		trials:  set.NewCounter(o.MetricsPrefix + "_prompt_parts_trials_total"),
	}
}

// Known reports whether there is any record.
func (p *Parts) Known() bool { return p.known.Load() > 0 }

// knows reports whether deaths under a part are known. Those of the archive, which have no times, would
// count as further ones.
func (p *Parts) knows(part quarantine.Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Knows(part)
}

// check decides on a prompt, see PartTable.Check.
func (p *Parts) check(prompt []quarantine.Part, held quarantine.Part) quarantine.PartVerdict {
	p.mu.Lock()
	v := p.table.Check(p.clock.Now(), prompt, held)
	p.mu.Unlock()
	switch {
	case v.Refused:
		p.refused.Inc()
	case v.OnTrial:
		p.trials.Inc()
		p.log.Info("Trial of a prompt part started.", "part", partName(v.Part))
	}
	return v
}

func (p *Parts) endTrial(part quarantine.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.EndTrial(part)
}

// targetDied records the death of a target under a request. answered reports whether the target had
// begun to answer it.
func (p *Parts) targetDied(prompt []quarantine.Part, target string, sent time.Time, answered bool) {
	p.mu.Lock()
	news := p.table.TargetDied(p.clock.Now(), prompt, target, sent, answered)
	changes := p.changes()
	p.mu.Unlock()
	if !answered {
		p.accused.Add(len(news))
	}
	p.publish(news, changes)
}

// answered records that a target has begun to answer a prompt.
func (p *Parts) answered(prompt []quarantine.Part) {
	p.mu.Lock()
	news := p.table.Answered(p.clock.Now(), prompt)
	changes := p.changes()
	p.mu.Unlock()
	p.publish(news, changes)
}

// publish tells other gateways of what this one saw, and logs and archives the changes.
func (p *Parts) publish(news []quarantine.PartNews, changes []partChange) {
	for _, n := range news {
		p.share(n)
	}
	p.report(changes, "", func(quarantine.Part) bool { return true })
}

// Merge merges records of another gateway and returns the news. ownsPart reports whether this gateway
// is the one that archives a part.
func (p *Parts) Merge(from string, records []quarantine.PartRecord, ownsPart func(quarantine.Part) bool) []quarantine.PartNews {
	now := p.clock.Now()
	var news []quarantine.PartNews
	for _, other := range records {
		p.mu.Lock()
		n, ok := p.table.Merge(now, other)
		changes := p.changes()
		p.mu.Unlock()
		p.report(changes, from, ownsPart)
		if ok {
			news = append(news, n)
		}
	}
	return news
}

// partChange is a part that is refused from now on, or not any more.
type partChange struct {
	record  quarantine.PartRecord
	refused bool
}

// changes updates known and refusedParts and returns what has changed. The caller must hold mu.
func (p *Parts) changes() []partChange {
	p.known.Store(int32(p.table.Len()))
	var out []partChange
	refused := map[quarantine.Part]bool{}
	for _, r := range p.table.Refused() {
		refused[r.Part] = true
		if !p.refusedParts[r.Part] {
			out = append(out, partChange{r, true})
		}
	}
	for part := range p.refusedParts {
		if !refused[part] {
			out = append(out, partChange{quarantine.PartRecord{Part: part}, false})
		}
	}
	p.refusedParts = refused
	return out
}

// report logs changes and archives those of the parts that this gateway owns.
func (p *Parts) report(changes []partChange, from string, ownsPart func(quarantine.Part) bool) {
	for _, c := range changes {
		targets := make([]string, len(c.record.Deaths))
		for i, d := range c.record.Deaths {
			targets[i] = d.Target
		}
		p.log.Info("Refusal of a prompt part changed.", "part", partName(c.record.Part), "refused", c.refused, "dead_targets", targets, "from", from)
		switch {
		case !ownsPart(c.record.Part):
		case c.refused:
			p.archive(change{putPart: &c.record})
		default:
			p.archive(change{deletedParts: []quarantine.Part{c.record.Part}})
		}
	}
}

func partName(p quarantine.Part) string { return fmt.Sprintf("%016x", uint64(p)) }

// Shared returns the records that all gateways are to have.
func (p *Parts) Shared() []quarantine.PartRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Shared(p.clock.Now())
}

// refusedRecords returns the records of the refused parts.
func (p *Parts) refusedRecords() []quarantine.PartRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Refused()
}

// RefusedCount returns the number of refused parts.
func (p *Parts) RefusedCount() int {
	if !p.Known() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.refusedParts)
}

// digest returns the digest of the shared records, 0 if there are none, and the time since it last
// changed.
func (p *Parts) digest() (digest uint64, age time.Duration) {
	if !p.Known() {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	digest, changed := p.table.Digest()
	return digest, p.clock.Now().Sub(changed)
}

// Tick deletes old records and notes on which parts' trials this gateway decides.
func (p *Parts) Tick(ownsPart func(quarantine.Part) bool) {
	if !p.Known() {
		return
	}
	p.mu.Lock()
	p.table.Expire(p.clock.Now())
	p.table.SetOwned(ownsPart)
	news := p.changes()
	p.mu.Unlock()
	p.report(news, "", ownsPart)
}

func (p *Parts) writeMetrics(w io.Writer) {
	fmt.Fprintf(w, "%s_refused_prompt_parts %d\n%s_remembered_prompt_parts %d\n", p.prefix, p.RefusedCount(), p.prefix, p.known.Load())
}
