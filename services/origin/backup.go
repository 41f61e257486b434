// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"slices"
	"time"

	"gopkg.in/tomb.v2"

	coreorigin "madderway/core/origin"
)

const (
	// backupInterval is the time between two messages to the backups, which do not know of streams
	// that began since the last one.
	backupInterval = 250 * time.Millisecond
	// backupDelay is the time that a gateway has to share the records of its own streams after a
	// second version was listed, before its backups do so.
	backupDelay = 500 * time.Millisecond
	// maxPendingBackups bounds the records that wait for the next message. Later ones are not backed up.
	maxPendingBackups = 4096
)

// Backup holds records of a service's streams that a gateway serves, for its backups: gateways that
// share the records if it falls silent before a second version is listed.
type Backup struct {
	Service string
	Sender  uint32 // incarnation of the gateway that serves the streams
	Records []coreorigin.Record
	// Shared is set once the sender has shared all its records of the service.
	Shared bool
}

// backups is the state of records that only the backups of a gateway have; guarded by Service.mu.
type backups struct {
	pending map[string][]coreorigin.Record // by service, to be sent to the own backups
	count   int                            // of pending
	shared  []string                       // services whose own records were shared since the last message
	// due is the time at which to share the records of other gateways, by service.
	due map[string]time.Time
}

func newBackups() backups {
	return backups{pending: map[string][]coreorigin.Record{}, due: map[string]time.Time{}}
}

// addBackup adds a record to the next message to the backups; the caller holds mu.
func (s *Service) addBackup(r coreorigin.Record, service string) {
	b := &s.backups
	if b.count >= maxPendingBackups {
		s.counters.notBackedUp.Inc()
		return
	}
	b.count++
	b.pending[service] = append(b.pending[service], r)
}

// versionsDiffer notes that a service has several versions now; the caller holds mu and shares the own
// records.
func (s *Service) versionsDiffer(now time.Time, service string) {
	b := &s.backups
	b.count -= len(b.pending[service])
	delete(b.pending, service)
	if !slices.Contains(b.shared, service) {
		b.shared = append(b.shared, service)
	}
	if _, scheduled := b.due[service]; !scheduled {
		b.due[service] = now.Add(backupDelay)
	}
}

// RunBackups starts sending records to the backups and sharing those of silent gateways, until the
// tomb dies.
func (s *Service) RunBackups(t *tomb.Tomb) {
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case <-s.opts.Clock.After(backupInterval):
				s.stepBackups()
			}
		}
	})
}

// stepBackups sends what waits for the backups, and shares the records of gateways that have not done
// so themselves.
func (s *Service) stepBackups() {
	s.mu.Lock()
	messages := s.takePendingBackups()
	records := s.takeDueBackups(s.opts.Clock.Now())
	s.mu.Unlock()
	if len(messages) > 0 {
		s.opts.Backup(messages)
	}
	if len(records) > 0 {
		s.log.Info("Records of streams of silent gateways shared.", "records", len(records))
	}
	s.share(records)
}

// takePendingBackups returns the messages to the backups; the caller holds mu.
func (s *Service) takePendingBackups() []Backup {
	b := &s.backups
	var messages []Backup
	for service, records := range b.pending {
		messages = append(messages, Backup{Service: service, Sender: s.opts.Sender, Records: records})
		s.counters.backedUp.Add(len(records))
	}
	for _, service := range b.shared {
		messages = append(messages, Backup{Service: service, Sender: s.opts.Sender, Shared: true})
	}
	clear(b.pending)
	b.count, b.shared = 0, nil
	return messages
}

// takeDueBackups returns the records of other gateways that are to be shared; the caller holds mu.
func (s *Service) takeDueBackups(now time.Time) []coreorigin.Record {
	var records []coreorigin.Record
	for service, due := range s.backups.due {
		if now.Before(due) {
			continue
		}
		delete(s.backups.due, service)
		if s.versions.Mixed(now, service, s.life.at(now)) {
			records = append(records, s.table.TakeBackups(service)...)
		}
	}
	return records
}

// ReceiveBackup takes records of which this gateway is a backup.
func (s *Service) ReceiveBackup(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if b.Shared {
		s.table.NoteShared(b.Service, b.Sender)
		return
	}
	for _, r := range b.Records {
		s.table.PutBackup(r, b.Service)
	}
	s.expire(now)
	// The sender does not know yet that versions differ, and may fall silent before it does.
	if _, scheduled := s.backups.due[b.Service]; !scheduled && s.versions.Mixed(now, b.Service, s.life.at(now)) {
		s.backups.due[b.Service] = now.Add(backupDelay)
	}
}
