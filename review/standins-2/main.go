// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Command scene plays a case of the review: it starts gateways as separate processes before stand-ins of
// the platform's store, of workers and of clients, and checks one rule. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	cannot   = 2
	host     = "counter.example"
	plainKey = "key-of-clinic"
)

// Figures of the pages: DEPLOY.md and the site haddad-cal.
const (
	contact = 3000 * time.Millisecond // contactMs
	drainIn = 2000 * time.Millisecond // drainMs
)

// scene holds what all cases use.
type scene struct {
	program string
	dir     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record, with the time since the start.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

func (s *scene) since(t time.Time) float64 { return t.Sub(s.start).Seconds() }

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to write to")
	program := flag.String("program", "target/madderway", "the gateway's program")
	dir := flag.String("dir", "", "temporary folder")
	asWorker := flag.String("worker", "", "run as the worker with this name")
	address := flag.String("address", "", "address of the worker")
	events := flag.Int("events", 0, "events of the worker's streams")
	mixed := flag.Bool("mixed", false, "whether some answers of the worker have no framing")
	flag.Parse()
	if *asWorker != "" {
		runWorker(*asWorker, *address, *events, *mixed)
		return
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	s := &scene{program: *program, dir: *dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: out}
	cases := map[string]func(*scene) int{"stale-list": staleList, "frozen": frozen, "unframed": unframed, "deadly": deadly, "ghosts": ghosts}
	play := cases[*name]
	if play == nil {
		fmt.Println("unknown case", *name)
		os.Exit(cannot)
	}
	status := play(s)
	s.note("exit status %d", status)
	_ = out.Close()
	os.Exit(status)
}
