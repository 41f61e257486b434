// Package main holds the stand-ins of the review's scripts: the platform's store, workers, clients
// and the part of the platform that starts, kills and restarts the project's gateways.
//
// Each case starts real gateways as processes on loopback addresses, plays its events, writes
// record.txt and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE GATEWAY-PROGRAM RECORD-FILE; TROUBLE=0 leaves the disruption out")
		os.Exit(cannotRun)
	}
	cases := map[string]func(r *run) int{"versions": versionsCase, "bodies": bodiesCase, "stop": stopCase, "rest": restCase}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannotRun)
	}
	r, err := newRun(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			r.note("the case ends early: %v", s)
		case <-time.After(timeLimit):
			r.note("the case ends early: over %v", timeLimit)
		}
		r.close()
		os.Exit(cannotRun)
	}()
	code := play(r)
	r.close()
	os.Exit(code)
}
