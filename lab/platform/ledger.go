// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"net/http"
	"sync"
)

// Ledger records each request, its runs and its answer, and detects violated guarantees such as
// a second run of a request that must not be repeated.
type Ledger struct {
	mu      sync.Mutex
	asked   map[string]*asked
	broken  []string
	counts  Counts
	account map[string]*Counts
}

// Counts counts the outcomes of requests.
type Counts struct {
	Sent, Served, Late, Refused, Failed, Duplicates int // Served includes Late
}

type asked struct {
	account    string
	repeatable bool
	method     string
	uri        string
	body       string
	runs       int
	refused    bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{asked: map[string]*asked{}, account: map[string]*Counts{}} }

func (l *Ledger) breakRule(format string, args ...any) {
	const most = 20
	if len(l.broken) < most {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// AddRequest records a request before a client sends it.
func (l *Ledger) AddRequest(id, account, method, uri, body string, repeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = &asked{account: account, repeatable: repeatable, method: method, uri: uri, body: body}
}

// AddRun records that a worker runs a request, and checks what the worker got.
func (l *Ledger) AddRun(worker, id string, r *http.Request, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asked[id]
	if a == nil {
		l.breakRule("%s ran %q, which no client sent", worker, id)
		return
	}
	a.runs++
	if a.method != r.Method || a.uri != r.RequestURI || a.body != string(body) || a.account != r.Header.Get("Tenant") {
		l.breakRule("%s ran %s %s for %q, sent was %s %s for %q", worker, r.Method, r.RequestURI, r.Header.Get("Tenant"), a.method, a.uri, a.account)
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Deadline-Ms") == "" {
		l.breakRule("%s saw a key, or no deadline", worker)
	}
	if a.runs > 1 && !a.repeatable {
		l.counts.Duplicates++
		l.breakRule("%s ran %s a second time", worker, id)
	}
	if a.refused && !a.repeatable {
		l.breakRule("%s ran %s after it was refused as not run", worker, id)
	}
}

// AddRefusal records an answer that promises that the request did not run and never will.
func (l *Ledger) AddRefusal(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asked[id]
	a.refused = true
	if a.runs > 0 && !a.repeatable {
		l.breakRule("%s was refused as not run, but ran", id)
	}
}

// AddViolation records a violation.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakRule(format, args...)
}

// AddOutcome counts the outcome of a client's request.
func (l *Ledger) AddOutcome(account string, count func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.account[account] == nil {
		l.account[account] = &Counts{}
	}
	for _, c := range []*Counts{&l.counts, l.account[account]} {
		c.Sent++
		count(c)
	}
}

// Violations returns the first violations found.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Totals returns the counts of all requests and those by account.
func (l *Ledger) Totals() (Counts, map[string]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Counts{}
	for name, c := range l.account {
		out[name] = *c
	}
	return l.counts, out
}
