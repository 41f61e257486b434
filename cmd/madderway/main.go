// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Command madderway runs a router or a gateway, and administers a fleet of routers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"madderway/models/result"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitPending = 3 // the change was accepted but is not active on all routers
)

func main() {
	parser := flags.NewNamedParser("madderway", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "A fleet of routers that shares model capacity fairly"
	commands := []struct {
		name, short string
		data        any
	}{
		{"router", "Run a router", &routerCommand{}},
		{"gateway", "Run a gateway in front of the targets of a platform", &gatewayCommand{}},
		{"settings", "Check settings files", &settingsCommand{}},
		{"apply", "Submit accounts, pools, targets and policies", &applyCommand{}},
		{"get", "Show the active configuration", &getCommand{}},
		{"status", "Show the state of the fleet", &statusCommand{}},
		{"explain", "Show what the fleet decided for a request", &explainCommand{}},
		{"dump", "Show the state of a router's process", &dumpCommand{}},
		{"order", "Send an order to an engine", &orderCommand{}},
		{"drain", "Stop a router gracefully", &drainCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			fmt.Fprintln(os.Stderr, "madderway:", err)
			os.Exit(exitUsage)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
	}
}

// errExit exits with a code and no message: the output was already written.
type errExit struct{ code int }

// Error implements error.
func (e errExit) Error() string { return fmt.Sprintf("exit %d", e.code) }

func report(err error) int {
	var exit errExit
	if errors.As(err, &exit) {
		return exit.code
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, "madderway:", usage.Message)
		return exitUsage
	}
	if e, ok := result.FromError(err); ok {
		fmt.Fprintf(os.Stderr, "madderway: %d %s: %s\n", e.Code, e.Code, e.Detail)
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "madderway:", err)
	return exitFailed
}

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
