// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"madderway/models/result"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond) // in microseconds
	histogramDigits = 3                                          // significant digits
)

// Percentiles summarises durations in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Count int64   `json:"count"`
}

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Add records a duration, clamped to between a microsecond and ten minutes.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Percentiles returns the median and the 99th percentile.
func (h *Histogram) Percentiles() Percentiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{ms(50), ms(99), h.h.TotalCount()}
}

// AccountRecord counts the outcomes of one account's requests.
type AccountRecord struct {
	Account   string
	Requests  int
	Done      int
	Refused   map[result.Code]int
	Lost      int // without answer or error
	Resumed   int
	Restarted int
	Wait      *Histogram // time to the start of the answer
}

// Recorder collects the outcomes of all callers' requests.
type Recorder struct {
	mu       sync.Mutex
	accounts map[string]*AccountRecord
	classes  map[string]*Histogram
	notRun   []string // IDs of requests refused as not run
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{accounts: map[string]*AccountRecord{}, classes: map[string]*Histogram{}}
}

func (r *Recorder) account(name string) *AccountRecord {
	a, ok := r.accounts[name]
	if !ok {
		a = &AccountRecord{Account: name, Refused: map[result.Code]int{}, Wait: NewHistogram()}
		r.accounts[name] = a
	}
	return a
}

// Class returns the histogram of a class's waiting times.
func (r *Recorder) Class(name string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.classes[name]
	if !ok {
		h = NewHistogram()
		r.classes[name] = h
	}
	return h
}

// Done records a complete answer and the time to its start.
func (r *Recorder) Done(account, class string, wait time.Duration, a Answer, resumed bool) {
	r.Class(class).Add(wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.account(account)
	rec.Requests++
	rec.Done++
	if resumed {
		rec.Resumed++
	}
	if a.Restarted {
		rec.Restarted++
	}
	rec.Wait.Add(wait)
}

// Refused records an error response.
func (r *Recorder) Refused(account string, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.account(account)
	rec.Requests++
	rec.Refused[a.Err.Code]++
	if a.Err.Ran == result.RanNo && a.RequestID != "" {
		r.notRun = append(r.notRun, a.RequestID)
	}
}

// Lost records a request that got neither an answer nor an error response.
func (r *Recorder) Lost(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.account(account)
	rec.Requests++
	rec.Lost++
}

// NotRun returns the IDs of the requests refused as not run.
func (r *Recorder) NotRun() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.notRun...)
}

// Accounts returns the records by account name.
func (r *Recorder) Accounts() map[string]*AccountRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]*AccountRecord, len(r.accounts))
	for k, v := range r.accounts {
		out[k] = v
	}
	return out
}

// Classes returns the percentiles of waiting times by class.
func (r *Recorder) Classes() map[string]Percentiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Percentiles, len(r.classes))
	for k, h := range r.classes {
		out[k] = h.Percentiles()
	}
	return out
}
