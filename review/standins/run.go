package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// run is one play of a case: its record, its store and the gateways that it started.
type run struct {
	program string
	trouble bool
	began   time.Time
	folder  string // temporary: settings and logs
	store   *store

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

func newRun(program, recordPath string, trouble bool) (*run, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &run{program: program, trouble: trouble, began: time.Now(), folder: folder, store: s, record: record}, nil
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail notes why the case cannot run.
func (r *run) fail(format string, args ...any) int {
	r.note("the case cannot run: "+format, args...)
	return cannotRun
}

func (r *run) close() {
	for _, g := range r.gateways {
		g.kill()
	}
	r.store.close()
	_ = r.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", r.folder)
	}
}

// gateway is a machine of the system with its one process.
type gateway struct {
	run      *run
	name     string
	settings string
	callers  string
	ready    string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// Settings as deploy/gateway.toml gives them with the figures of haddad-cal.
const settingsText = `[gateway]
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
memory_mb = %d
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

// memoryMb is limits.memoryMb of a machine.
const memoryMb = 284

// gatewayHost returns a loopback address of this process only: outgoing connections take ports of
// 127.0.0.1, so that none takes a port between its choice and the start of a gateway.
func gatewayHost() string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%values, 1+os.Getpid()/values%values)
}

// freeAddresses returns addresses of the loopback network with free ports.
func freeAddresses(host string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startGateways starts n gateways for the first time and waits until all are ready.
func (r *run) startGateways(n int) error {
	const perGateway = 4
	addresses, err := freeAddresses(gatewayHost(), n*perGateway)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[i*perGateway+2]))
	}
	halls := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	for i := range n {
		a := addresses[i*perGateway : (i+1)*perGateway]
		hall := halls[i%len(halls)]
		g := &gateway{run: r, name: fmt.Sprintf("front-%s-%d", hall, 1+i/len(halls)), callers: a[0], ready: a[1]}
		g.settings = filepath.Join(r.folder, g.name+".toml")
		const first = "first_start = true\n"
		text := fmt.Sprintf(settingsText, g.name, hall, a[0], a[1], a[2], strings.Join(seeds, ", "), a[3], r.store.address, first, memoryMb)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
		// The platform fills the file in at every start; "bootstrap" is true at the first one only.
		if err := os.WriteFile(g.settings+".next", []byte(strings.Replace(text, first, "", 1)), 0o600); err != nil {
			return err
		}
	}
	return r.awaitReady(10 * time.Second)
}

func (r *run) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, g := range r.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(r.gateways) {
			r.note("all %d gateways are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the gateways were not ready after %v", limit)
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start runs the command of the deploy file with the settings file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.starts == 1 {
		if err := os.Rename(g.settings+".next", g.settings); err != nil {
			return err
		}
	}
	g.starts++
	out, err := os.Create(fmt.Sprintf("%s.%d.log", strings.TrimSuffix(g.settings, ".toml"), g.starts))
	if err != nil {
		return err
	}
	defer out.Close()
	g.process = exec.Command(g.run.program, "gateway")
	g.process.Env = []string{"MADDERWAY_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.process.Stdout, g.process.Stderr = out, out
	if err := g.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	process := g.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	g.run.note("%s starts, process %d", g.name, process.Process.Pid)
	return nil
}

// kill sends SIGKILL and waits for the end.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || g.process.Process == nil {
		return
	}
	_ = g.process.Process.Kill()
	<-g.exited
}

// pid returns the number of the running process.
func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process.Process.Pid
}
