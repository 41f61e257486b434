// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"errors"
	"fmt"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
)

const (
	// lookupTimeout bounds the wait for other gateways, graceTime that for further replies after
	// a record was found: a later one may replace it.
	lookupTimeout = 300 * time.Millisecond
	graceTime     = 30 * time.Millisecond
	// ownConfirmTimeout bounds the pause of a stream that this gateway has begun itself.
	ownConfirmTimeout = 300 * time.Millisecond
	// joinTime is the time after the start, or after a gap, in which a gateway may not have heard of
	// others, nor read the archive.
	joinTime         = 800 * time.Millisecond
	joinPollInterval = 20 * time.Millisecond
	// clockSlack bounds the difference between the clocks of a gateway and a target.
	clockSlack = time.Second
)

// ErrUnknown reports that it is not known at which software version a stream began.
type ErrUnknown struct{ Reason string }

// Error implements error.
func (e ErrUnknown) Error() string { return "origin of the stream: " + e.Reason }

// IsErrUnknown reports whether an error is an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// Reply is the reply of another gateway that was asked for a record.
type Reply struct {
	Peer      string
	Record    coreorigin.Record
	Found     bool
	Ambiguous bool // two gateways serve attempts of the same ID
}

// lookup waits for the replies of other gateways.
type lookup struct{ replies chan Reply }

// Basis names the evidence for the software version of a stream.
type Basis string

// Ways to find the version of a stream.
const (
	FromRecord        Basis = "record"
	FromSingleVersion Basis = "single_version"
)

// Origin is the software version at which a stream began.
type Origin struct {
	Software string
	Basis    Basis
	Evidence Evidence
}

// Evidence is what the version of a stream was taken from, for the log.
type Evidence struct {
	ListRevision   routing.Revision // of the list of targets
	ListAge        time.Duration    // since the list was last known to be complete
	Held           bool             // this gateway held a record of another one
	Asked, Replied int              // gateways asked for a record after the request came
}

// Resolve returns where a stream of a service began, or an ErrUnknown.
func (s *Service) Resolve(ctx context.Context, k coreorigin.Key, service string) (Origin, error) {
	o, err := s.resolve(ctx, k, service)
	o.Evidence.ListRevision, o.Evidence.ListAge = s.listState()
	switch {
	case err != nil:
		s.counters.unknown.Inc()
	case o.Basis == FromSingleVersion:
		s.counters.unasked.Inc()
	default:
		s.counters.found.Inc()
	}
	return o, err
}

func (s *Service) resolve(ctx context.Context, k coreorigin.Key, service string) (Origin, error) {
	reply := s.Lookup(k)
	if reply.Found && reply.Record.Sender == s.opts.Sender {
		return s.resolveOwn(ctx, reply, service)
	}
	evidence := Evidence{Held: reply.Found}
	// What was known before the caller came back says nothing of targets that were listed since.
	confirmErr := s.confirm(ctx)
	if confirmErr == nil {
		s.awaitCoverage(ctx, service)
		if software, ok := s.onlyVersion(service); ok && (!reply.Found || reply.Record.Software == software) {
			return Origin{software, FromSingleVersion, evidence}, nil
		}
	}
	if !reply.Found {
		s.awaitRecords(ctx, service)
		reply = s.Lookup(k)
	}
	reply, evidence.Asked, evidence.Replied = s.ask(ctx, k, reply, confirmErr != nil || !s.coversNow(service))
	switch {
	case reply.Ambiguous:
		return Origin{}, ErrUnknown{"two gateways have attempts of this ID"}
	case !reply.Found:
		return Origin{}, errNoRecord(evidence, confirmErr)
	case reply.Record.Tentative && evidence.Replied < evidence.Asked:
		return Origin{}, ErrUnknown{fmt.Sprintf("the stored record may be of an earlier target, %d of %d gateways that were asked replied", evidence.Replied, evidence.Asked)}
	}
	if confirmErr != nil && s.mayRestartMixed(service) {
		return Origin{}, errUnconfirmed(confirmErr)
	}
	return s.checkRecord(reply.Record, evidence)
}

// resolveOwn returns where a stream began that this gateway has begun itself.
func (s *Service) resolveOwn(ctx context.Context, own Reply, service string) (Origin, error) {
	if own.Ambiguous {
		return Origin{}, ErrUnknown{"two gateways have attempts of this ID"}
	}
	if s.mayRestart(service) {
		ctx, cancel := context.WithTimeout(ctx, ownConfirmTimeout)
		defer cancel()
		if err := s.confirm(ctx); err != nil && s.mayRestartMixed(service) {
			return Origin{}, errUnconfirmed(err)
		}
	}
	return s.checkRecord(own.Record, Evidence{})
}

// confirm updates the list of targets from the store, by a read that begins after the call.
func (s *Service) confirm(ctx context.Context) error {
	err := s.opts.Confirm(ctx)
	if err != nil {
		s.counters.unconfirmed.Inc()
	}
	return err
}

func errNoRecord(e Evidence, confirmErr error) error {
	reason := fmt.Sprintf("no gateway has a record, %d of %d that were asked replied", e.Replied, e.Asked)
	if confirmErr != nil {
		reason += ", and the list of targets is not confirmed: " + confirmErr.Error()
	}
	return ErrUnknown{reason}
}

func errUnconfirmed(err error) error {
	return ErrUnknown{"targets may have restarted with other software: " + err.Error()}
}

// checkRecord returns the origin that a record names, unless its target ran other software.
func (s *Service) checkRecord(r coreorigin.Record, e Evidence) (Origin, error) {
	if !s.holds(r) {
		return Origin{}, ErrUnknown{"the target restarted with other software at about that time"}
	}
	return Origin{r.Software, FromRecord, e}, nil
}

func (s *Service) coversNow(service string) bool {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.covers(now, service)
}

// listState returns the revision of the list of targets and its age.
func (s *Service) listState() (routing.Revision, time.Duration) {
	age := s.opts.Clock.Now().Sub(s.opts.ListFreshAt())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Revision, age
}

// awaitCoverage waits until all versions of a service are known if this gateway has just started or may
// just have missed versions: the archive or a heartbeat of another gateway is about to tell.
func (s *Service) awaitCoverage(ctx context.Context, service string) {
	for ctx.Err() == nil && s.isJoining(service) {
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(joinPollInterval):
		}
	}
}

func (s *Service) isJoining(service string) bool {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.covers(now, service) && now.Sub(s.gapAt) < joinTime
}

// Lookup returns what this gateway knows of a stream.
func (s *Service) Lookup(k coreorigin.Key) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ambiguous, found := s.table.Get(k)
	return Reply{Record: r, Found: found, Ambiguous: ambiguous}
}

// onlyVersion returns the version of a service at which all streams began that may continue, false
// if there may be several. It is valid only for a list that was read after the caller came back.
func (s *Service) onlyVersion(service string) (string, bool) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.covers(now, service) || s.versions.Mixed(now, service, s.life.at(now)) {
		return "", false
	}
	return s.versions.Only(service)
}

// ask asks other gateways for a record and returns the latest one, which may be the held one: a later
// record of the same attempt may have been lost on its way here. It also returns how many gateways
// were asked and how many replied. wide asks gateways besides those that hold records while versions
// differ.
func (s *Service) ask(ctx context.Context, k coreorigin.Key, held Reply, wide bool) (best Reply, asked, replied int) {
	l := s.startLookup(k)
	defer s.endLookup(k, l)
	asked = len(s.opts.Ask(k, wide))
	s.counters.asked.Add(asked)
	best, wait := held, lookupTimeout
	if held.isFinal() {
		wait = graceTime
	}
	timeout := s.opts.Clock.After(wait)
	for replied < asked {
		select {
		case <-ctx.Done():
			return best, asked, replied
		case <-timeout:
			// Replies may have come while this process stood still.
			for len(l.replies) > 0 {
				best, replied = best.merge(<-l.replies), replied+1
			}
			return best, asked, replied
		case r := <-l.replies:
			replied++
			before := best
			if best = best.merge(r); best.isFinal() && !before.isFinal() {
				timeout = s.opts.Clock.After(graceTime)
			}
		}
	}
	return best, asked, replied
}

// isFinal reports whether a record was found that is made at the first event of its stream.
func (r Reply) isFinal() bool { return r.Found && !r.Record.Tentative }

// merge returns the reply that combines the records of two gateways.
func (r Reply) merge(other Reply) Reply {
	switch {
	case !other.Found:
		return r
	case !r.Found:
		return other
	}
	r.Ambiguous = r.Ambiguous || other.Ambiguous || r.Record.Conflicts(other.Record)
	if other.Record.Follows(r.Record) {
		r.Record = other.Record
	}
	return r
}

func (s *Service) startLookup(k coreorigin.Key) *lookup {
	l := &lookup{replies: make(chan Reply, coreorigin.MaxAsked)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups[k] = append(s.lookups[k], l)
	return l
}

func (s *Service) endLookup(k coreorigin.Key, ended *lookup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []*lookup
	for _, l := range s.lookups[k] {
		if l != ended {
			left = append(left, l)
		}
	}
	if len(left) == 0 {
		delete(s.lookups, k)
		return
	}
	s.lookups[k] = left
}

// Replied passes on the reply of another gateway to those who wait for it.
func (s *Service) Replied(k coreorigin.Key, r Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lookups[k] {
		select {
		case l.replies <- r:
		default: // more replies than gateways were asked
		}
	}
}

// mayRestart reports whether workers of a service restart under their names, perhaps with other software.
func (s *Service) mayRestart(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.targets.ByService(service)
	return len(targets) > 0 && targets[0].Born != 0
}

// mayRestartMixed reports whether a listed target is likely to run other software than the list says: its
// workers restart under their names, and the versions of the service differ.
func (s *Service) mayRestartMixed(service string) bool {
	now := s.opts.Clock.Now()
	if !s.mayRestart(service) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Mixed(now, service, s.life.at(now))
}

// holds reports whether a record's version is right: the target had not restarted with other
// software before the attempt was sent, unknown to the sender.
func (s *Service) holds(r coreorigin.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := s.targets.FindWorker(routing.WorkerNameOf(r.Target))
	if listed == nil || listed.Software == r.Software {
		return true
	}
	return listed.ID != r.Target && listed.Born > r.SentAt+clockSlack.Milliseconds()
}
