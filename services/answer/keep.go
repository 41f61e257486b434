// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package answer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/models/conf"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/ring"
	"madderway/services/platform"
)

const (
	// objectPrefix is the prefix of the keys of stored answers.
	objectPrefix       = "answer/"
	writeRetryInterval = time.Second
	maxWriteTries      = 120
	// bodyPrefix is the prefix of the keys of large answers to calls that must not be repeated.
	bodyPrefix = "recorded/"
)

// StoredAnswer is a complete answer.
type StoredAnswer struct {
	RequestID   string    `json:"request_id"`
	Account     string    `json:"account"`
	ContentType string    `json:"content_type"`
	Events      []string  `json:"events"` // data of the stream's events, in order from offset 1
	At          time.Time `json:"at"`
	Expires     time.Time `json:"expires"`
}

type writeJob struct {
	account conf.ClientAccount
	answer  StoredAnswer
	done    func()
}

// Options are the dependencies and settings of a Store.
type Options struct {
	Clock     clock.Clock
	Objects   platform.Objects
	Retention time.Duration
	MaxBytes  int64         // of one answer
	Timeout   time.Duration // for each call of the object store
}

// Store writes answers whose callers have disconnected to the object store, from which they can
// fetch them later.
type Store struct {
	t    *tomb.Tomb
	log  log.Logger
	opts Options
	jobs *ring.Ring[writeJob]
}

// NewStore starts the goroutine that writes answers, which runs until the tomb dies.
func NewStore(t *tomb.Tomb, logger log.Logger, o Options) *Store {
	s := &Store{t: t, log: logger, opts: o, jobs: ring.New[writeJob]("answers to keep", 256)}
	t.Go(s.run)
	return s
}

// Ring returns the state of the queue of answers to write.
func (s *Store) Ring() ring.State { return s.jobs.State() }

func accountPrefix(account string) string {
	sum := sha256.Sum256([]byte(account))
	return objectPrefix + hex.EncodeToString(sum[:8]) + "/"
}

// Enqueue queues an answer to be written, and calls done once it is written or given up. It returns false
// if the answer is too large or the queue is full; done is not called then.
func (s *Store) Enqueue(account conf.ClientAccount, requestID, contentType string, events []string, done func()) bool {
	size := int64(0)
	for _, e := range events {
		size += int64(len(e))
	}
	if size > s.opts.MaxBytes || account.KeepAnswers == 0 || size > account.KeepBytes {
		return false
	}
	now := s.opts.Clock.Now()
	return s.jobs.TryPut(writeJob{account, StoredAnswer{
		RequestID: requestID, Account: account.Name, ContentType: contentType,
		Events: events, At: now, Expires: now.Add(s.opts.Retention),
	}, done})
}

func (s *Store) run() error {
	for {
		select {
		case <-s.t.Dying():
			return nil
		case job := <-s.jobs.Out():
			s.t.Go(func() error {
				s.write(job)
				return nil
			})
		}
	}
}

// write writes an answer, with a bounded number of retries.
func (s *Store) write(job writeJob) {
	defer job.done()
	content, err := json.Marshal(job.answer)
	if err != nil {
		s.log.Error(err, "Failed to encode an answer.", "request", job.answer.RequestID)
		return
	}
	key := accountPrefix(job.account.Name) + job.answer.RequestID
	for range maxWriteTries {
		ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
		err = s.opts.Objects.Put(ctx, key, content)
		cancel()
		if err == nil {
			s.log.Debug("Stored an answer.", "request", job.answer.RequestID, "bytes", len(content))
			s.enforceLimits(job.account)
			return
		}
		select {
		case <-s.t.Dying():
			return
		case <-s.opts.Clock.After(writeRetryInterval):
		}
	}
	s.log.Error(err, "Failed to store an answer, giving up.", "request", job.answer.RequestID)
}

// enforceLimits deletes an account's expired answers, and the oldest ones over its limits.
func (s *Store) enforceLimits(account conf.ClientAccount) {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
	defer cancel()
	infos, err := s.opts.Objects.List(ctx, accountPrefix(account.Name))
	if err != nil {
		return
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].Modified.After(infos[j].Modified) })
	now := s.opts.Clock.Now()
	size := int64(0)
	for i, info := range infos {
		size += info.Size
		if i < account.KeepAnswers && size <= account.KeepBytes && now.Sub(info.Modified) < s.opts.Retention {
			continue
		}
		if err := s.opts.Objects.Delete(ctx, info.Key); err != nil {
			return
		}
	}
}

// Fetch returns a stored answer of the account. If there is none or it has expired, the error is
// a platform.ErrObjectNotExist.
func (s *Store) Fetch(ctx context.Context, account, requestID string) (StoredAnswer, error) {
	var a StoredAnswer
	content, err := s.opts.Objects.Get(ctx, accountPrefix(account)+requestID)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(content, &a); err != nil {
		return a, err
	}
	if a.Account != account || s.opts.Clock.Now().After(a.Expires) {
		return a, platform.ErrObjectNotExist{Key: requestID}
	}
	return a, nil
}

// PutBody stores a large answer to a call that must not be repeated. It returns the object's
// name.
func (s *Store) PutBody(ctx context.Context, attempt string, body []byte) (string, error) {
	name := bodyPrefix + attempt
	return name, s.opts.Objects.Put(ctx, name, body)
}

// GetBody reads an answer that PutBody stored.
func (s *Store) GetBody(ctx context.Context, name string) ([]byte, error) {
	return s.opts.Objects.Get(ctx, name)
}
