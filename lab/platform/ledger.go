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
	mu         sync.Mutex
	requests   map[string]*request
	violations []string
	counts     Counts
	accounts   map[string]*Counts
}

// Counts counts the outcomes of requests.
type Counts struct {
	Sent, Served, Late, Refused, Failed, Duplicates int // Served includes Late
}

type request struct {
	account    string
	repeatable bool
	method     string
	uri        string
	body       string
	runs       int
	refused    bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]*request{}, accounts: map[string]*Counts{}}
}

// addLocked adds a violation, up to a limit. The caller holds l.mu.
func (l *Ledger) addLocked(format string, args ...any) {
	const limit = 20
	if len(l.violations) < limit {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// AddRequest records a request before a client sends it.
func (l *Ledger) AddRequest(id, account, method, uri, body string, repeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &request{account: account, repeatable: repeatable, method: method, uri: uri, body: body}
}

// AddRun records that a worker runs a request, and checks what the worker got.
func (l *Ledger) AddRun(worker, id string, r *http.Request, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.requests[id]
	if a == nil {
		l.addLocked("worker %s ran %q, which no client sent", worker, id)
		return
	}
	a.runs++
	if a.method != r.Method || a.uri != r.RequestURI || a.body != string(body) || a.account != r.Header.Get("Tenant") {
		l.addLocked("worker %s ran %s %s for %q, but the client sent %s %s for %q", worker, r.Method, r.RequestURI, r.Header.Get("Tenant"), a.method, a.uri, a.account)
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Deadline-Ms") == "" {
		l.addLocked("worker %s got an API key or no deadline", worker)
	}
	if a.runs > 1 && !a.repeatable {
		l.counts.Duplicates++
		l.addLocked("worker %s ran %s again", worker, id)
	}
	if a.refused && !a.repeatable {
		l.addLocked("worker %s ran %s after it was refused as not run", worker, id)
	}
}

// AddRefusal records an answer that promises that the request did not run and never will.
func (l *Ledger) AddRefusal(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.requests[id]
	a.refused = true
	if a.runs > 0 && !a.repeatable {
		l.addLocked("request %s was refused as not run, but ran", id)
	}
}

// AddViolation records a violation.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(format, args...)
}

// AddOutcome counts the outcome of a client's request.
func (l *Ledger) AddOutcome(account string, count func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts[account] == nil {
		l.accounts[account] = &Counts{}
	}
	for _, c := range []*Counts{&l.counts, l.accounts[account]} {
		c.Sent++
		count(c)
	}
}

// Violations returns the first violations found.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Totals returns the counts of all requests and those by account.
func (l *Ledger) Totals() (Counts, map[string]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Counts{}
	for name, c := range l.accounts {
		out[name] = *c
	}
	return l.counts, out
}

// Ran reports whether a worker has run a request.
func (l *Ledger) Ran(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].runs > 0
}
