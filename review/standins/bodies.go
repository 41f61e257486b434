package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	bodySize      = 4_194_304 // limits.maxBodyBytes, as on haddad-cal
	usualClients  = 10
	hotTenant     = 7.5 // hot_tenant of haddad-cal: the tenant sends so many times its usual
	burstClients  = int(hotTenant * usualClients)
	bodyTime      = 6 * time.Second // 75 bodies in 6 s are 420 Mbit/s, of a link of 1,000
	importTimeout = 12 * time.Second
	workTime      = 400 * time.Millisecond
	keptClients   = 12 // on kept connections, at each gateway
	lostAllowed   = 3
	// How often the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
)

// bookingWorker is a worker of a plain service.
type bookingWorker struct {
	run    *run
	id     string
	work   time.Duration
	begun  sync.Map // attempts that began to run
	server *http.Server
}

func (r *run) startBookingWorker(id, zone string, work time.Duration) (*bookingWorker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &bookingWorker{run: r, id: id, work: work}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	r.store.put("servers", id, map[string]any{
		"service": "booking-api", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	r.note("worker %s starts at %s", id, l.Addr())
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *bookingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect-Instance") != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.begun.Store(attempt, true)
	time.Sleep(w.work)
	body := fmt.Sprintf("done %s %d", attempt, size)
	rw.Header().Set("Attempt-Id", attempt)
	rw.Header().Set("Response-Signature", w.id+"."+attempt)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

func (r *run) putBodiesConfig() {
	route := func(name, path string, timeout, aim time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": "counter.example", "pathPrefix": path, "kind": "unsafe", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": aim.Milliseconds(), "maxAttempts": 1, "priority": 2, "service": "booking-api",
		}
	}
	r.store.put("op", "config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{route("slot-confirm", "/slot/", 4*time.Second, time.Second), route("season-import", "/season/", importTimeout, importTimeout)},
		"services": []map[string]any{{"name": "booking-api", "healthPath": "/health", "maxConnections": 370}},
		"tenants":  []map[string]any{{"name": "salon", "apiKeys": []string{"key-of-salon"}}, {"name": "clinic", "apiKeys": []string{"key-of-clinic"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodySize, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 400000},
	})
}

// residentMb returns the memory of a process in megabytes, 0 if it is gone.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory kills a process that exceeds memoryMb, and starts it again after a short delay.
func (r *run) watchMemory(g *gateway, stop <-chan struct{}, peak *atomic.Int64, kills *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		used := residentMb(g.pid())
		if int64(used) > peak.Load() {
			peak.Store(int64(used))
		}
		if used <= memoryMb {
			continue
		}
		r.note("platform: %s uses %d MB of %d and is killed", g.name, used, memoryMb)
		kills.Add(1)
		g.kill()
		time.Sleep(300 * time.Millisecond)
		if err := g.start(); err != nil {
			r.note("platform: %v", err)
			return
		}
	}
}

// bodiesCounts counts what clients saw.
type bodiesCounts struct {
	sent, answered, refused, lost atomic.Int64
	imports, importsAnswered      atomic.Int64
}

// confirm sends slot confirmations on a kept connection, one after the other, until stop.
func (r *run) confirm(client int, g *gateway, workers []*bookingWorker, stop <-chan struct{}, n *bodiesCounts) {
	var conn net.Conn
	var reader *bufio.Reader
	onConn := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp4", g.callers, time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn, reader, onConn = c, bufio.NewReader(c), 0
		}
		attempt := fmt.Sprintf("%04x%08x", client, i)
		n.sent.Add(1)
		_, err := fmt.Fprintf(conn, "POST /slot/%d HTTP/1.1\r\nHost: counter.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer key-of-salon\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbook", i, attempt)
		var resp *http.Response
		if err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			_, isTimeout := err.(net.Error)
			ran := false
			for _, w := range workers {
				if _, found := w.begun.Load(attempt); found {
					ran = true
				}
			}
			r.note("client %d: attempt %s on a connection with %d answers before ends without an answer: %v; a worker ran it: %v", client, attempt, onConn, err, ran)
			if ran && onConn > 0 && (!isTimeout || err == io.EOF || strings.Contains(err.Error(), "reset")) {
				n.lost.Add(1)
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		onConn++
		if resp.StatusCode == http.StatusOK {
			n.answered.Add(1)
		} else {
			n.refused.Add(1)
			time.Sleep(200 * time.Millisecond)
		}
		if resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// importSeason sends one long body at an even pace, as a client does whose line is slower than the
// link of the machine.
func (r *run) importSeason(client int, g *gateway, n *bodiesCounts) {
	const pieces = 60
	conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
	if err != nil {
		r.note("import %d: %v", client, err)
		return
	}
	defer conn.Close()
	n.imports.Add(1)
	began := time.Now()
	_ = conn.SetDeadline(began.Add(importTimeout))
	answer := make(chan string, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		answer <- fmt.Sprintf("%d, Retry-After %q: %.100s", resp.StatusCode, resp.Header.Get("Retry-After"), body)
		if resp.StatusCode == http.StatusOK {
			n.importsAnswered.Add(1)
		}
	}()
	_, err = fmt.Fprintf(conn, "POST /season/%d HTTP/1.1\r\nHost: counter.example\r\nAttempt-Id: f%07x\r\nAuthorization: Bearer key-of-clinic\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		client, client, importTimeout.Milliseconds(), bodySize)
	piece := make([]byte, bodySize/pieces+1)
	for sent := 0; err == nil && sent < bodySize; sent += len(piece) {
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / bodySize * float64(bodyTime)))))
		_, err = conn.Write(piece[:min(len(piece), bodySize-sent)])
	}
	r.note("import %d at %s: %s", client, g.name, <-answer)
}

// bodiesCase lets one tenant send long bodies at many times its usual rate while clients of another
// one confirm slots on kept connections. Without the disruption the same bodies come a few at a time.
func bodiesCase(r *run) int {
	r.putBodiesConfig()
	var workers []*bookingWorker
	for i, zone := range []string{"abdali-hall", "sweileh-hall", "marka-hall"} {
		w, err := r.startBookingWorker(fmt.Sprintf("i-booking-%d", i+1), zone, workTime)
		if err != nil {
			return r.fail("%v", err)
		}
		workers = append(workers, w)
	}
	if err := r.startGateways(3); err != nil {
		return r.fail("%v", err)
	}
	time.Sleep(3 * time.Second)
	var n bodiesCounts
	var kills atomic.Int64
	peaks := make([]atomic.Int64, len(r.gateways))
	stop, stopMemory := make(chan struct{}), make(chan struct{})
	var open, watch sync.WaitGroup
	for i, g := range r.gateways {
		watch.Add(1)
		go func() {
			defer watch.Done()
			r.watchMemory(g, stopMemory, &peaks[i], &kills)
		}()
		for k := range keptClients {
			open.Add(1)
			go func() {
				defer open.Done()
				r.confirm(i*keptClients+k, g, workers, stop, &n)
			}()
		}
	}
	time.Sleep(4 * time.Second)
	atOnce := burstClients
	if !r.trouble {
		atOnce = usualClients
	}
	r.note("%d clients with bodies of %d bytes, %d at a time, come to %s", burstClients, bodySize, atOnce, r.gateways[0].name)
	var imports sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for client := range burstClients {
		places <- struct{}{}
		imports.Add(1)
		go func() {
			defer imports.Done()
			defer func() { <-places }()
			r.importSeason(client, r.gateways[0], &n)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	imports.Wait()
	time.Sleep(time.Second)
	close(stop)
	open.Wait()
	close(stopMemory)
	watch.Wait()
	for i, g := range r.gateways {
		r.note("%s: %d MB at the most", g.name, peaks[i].Load())
	}
	r.note("slot confirmations: %d sent, %d answered, %d refused; %d that a worker ran ended without an answer on a kept connection, allowed %d",
		n.sent.Load(), n.answered.Load(), n.refused.Load(), n.lost.Load(), lostAllowed)
	r.note("imports: %d sent, %d answered with 200; processes killed for their memory: %d", n.imports.Load(), n.importsAnswered.Load(), kills.Load())
	switch {
	case n.answered.Load() == 0 || int(n.imports.Load()) < burstClients:
		return r.fail("no traffic")
	case n.lost.Load() > lostAllowed:
		r.note("LOST is broken")
		return ruleBroken
	default:
		r.note("LOST held")
		return ruleHeld
	}
}
