// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the system with its settings, which are those of deploy/gateway.toml filled
// with the figures of a machine of haddad-cal.
type gateway struct {
	name, zone                       string
	callers, readiness, peers, store string
	dir                              string
	cmd                              *exec.Cmd
}

// settingsOf is deploy/gateway.toml as the platform fills it in; %s stand for the names and addresses.
const settingsOf = `[gateway]
id = "%s"
data_hall = "%s"
region = "amman"
callers = "%s"
readiness = "%s"
peers = "%s"
seeds = [%s]
peer_key = "madderway in a private network"
metrics = "%s"
store = "%s"
grace = "8s"
retry_window = "10s"
retry_ratio = 0.2
retry_extra = 56
%sfair_window = "4s"
memory_mb = 284
descriptors = 4100
processor = 0.4
link_mbps = 1000.0

[gateway.scheduling]
compact_token_kb = 32
forecast = true
returns = false
room = false
handover = true
pace = true
plain_by_recent = true
crossing_cost = "10ms"
`

// freeAddress returns a loopback address whose port is free. Its IP number is drawn, so that no other
// connection takes the port before the gateway does.
func freeAddress() string {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newGateway(name, zone, store, dir string) *gateway {
	return &gateway{name: name, zone: zone, callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), store: store, dir: dir}
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(program string, seeds []string, first bool) error {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = `"` + seed + `"`
	}
	firstStart := ""
	if first {
		firstStart = "first_start = true\n"
	}
	settings := fmt.Sprintf(settingsOf, g.name, g.zone, g.callers, g.readiness, g.peers, strings.Join(quoted, ","), freeAddress(), g.store, firstStart)
	file := filepath.Join(g.dir, g.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command(program, "gateway")
	g.cmd.Env = []string{"MADDERWAY_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH")}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.cmd.Start()
}

// stop kills the process.
func (g *gateway) stop() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
	}
}

// awaitReady asks the readiness address until it answers 200.
func (g *gateway) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.readiness + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
