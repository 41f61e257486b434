// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// One in unframedOneIn answers of some workers has neither a length nor chunks.
const unframedOneIn = 20

// runWorker is the main function of a model worker that is a process of its own. If mixed is set, the tenth
// of each twenty answers has neither a length nor chunks, and ends with its connection; all others come in
// chunks. It prints the runs and each event that it has sent.
func runWorker(name, address string, events int, mixed bool) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	var runs atomic.Int64
	_ = http.Serve(l, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		switch expected := r.Header.Get("Expect-Instance"); {
		case r.URL.Path == "/health":
			out.Header().Set("Instance-Id", name)
			return
		case r.URL.Path == "/-/kv-list":
			out.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(out, `{"epoch":1,"nextPageToken":1,"held":[]}`)
			return
		case expected != "" && expected != name:
			out.Header().Set("Attempt-Id", id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		head := http.Header{"Content-Type": {"text/event-stream"}, "Attempt-Id": {id}, "Response-Signature": {"sig-" + name + "-" + id}}
		send, framing := sendChunks(out, head), "chunks"
		if mixed && runs.Add(1)%unframedOneIn == unframedOneIn/2 {
			conn, _, err := http.NewResponseController(out).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			send, framing = sendUnframed(conn, head), "none"
		}
		fmt.Printf("run %s %s\n", id, framing)
		time.Sleep(firstEvent)
		for i := after; i < events; i++ {
			if send(fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i+1, i+1, events)) != nil {
				return
			}
			fmt.Printf("event %s %d\n", id, i+1)
			time.Sleep(eventGap)
		}
	}))
}

// sendChunks returns a function that sends an event of a chunked answer.
func sendChunks(out http.ResponseWriter, head http.Header) func(event string) error {
	flusher := http.NewResponseController(out)
	for name, values := range head {
		out.Header()[name] = values
	}
	return func(event string) error {
		if _, err := io.WriteString(out, event); err != nil {
			return err
		}
		return flusher.Flush()
	}
}

// sendUnframed returns a function that sends an event of an answer that ends with its connection.
func sendUnframed(conn net.Conn, head http.Header) func(event string) error {
	var start strings.Builder
	start.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = head.Write(&start)
	start.WriteString("\r\n")
	return func(event string) error {
		_, err := io.WriteString(conn, start.String()+event)
		start.Reset()
		return err
	}
}

// workerProcess is a model worker that runs as a process.
type workerProcess struct {
	name, zone, address string
	cmd                 *exec.Cmd

	mu    sync.Mutex
	lines []string
}

func startWorkerProcess(st *store, name, zone string, events int, mixed bool) (*workerProcess, error) {
	w := &workerProcess{name: name, zone: zone, address: freeAddress()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w.cmd = exec.Command(self, "-worker", name, "-address", w.address, "-events", fmt.Sprint(events), fmt.Sprintf("-mixed=%t", mixed))
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			w.mu.Lock()
			w.lines = append(w.lines, lines.Text())
			w.mu.Unlock()
		}
	}()
	st.put("servers", name, map[string]any{
		"service": engineService, "address": w.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

// kill ends the process at once. The kernel closes its connections.
func (w *workerProcess) kill() {
	_ = w.cmd.Process.Kill()
	_ = w.cmd.Wait()
}

// ran returns how the worker framed its answer to an attempt, "" if it did not run it, and the last event
// that it has sent.
func (w *workerProcess) ran(id string) (framing string, event int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.lines {
		fields := strings.Fields(line)
		switch {
		case fields[1] != id:
		case fields[0] == "run":
			framing = fields[2]
		default:
			event, _ = strconv.Atoi(fields[2])
		}
	}
	return framing, event
}

// runs returns the number of runs that the worker has begun.
func (w *workerProcess) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, line := range w.lines {
		if strings.HasPrefix(line, "run ") {
			n++
		}
	}
	return n
}
