// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"madderway/core/admit"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/engine"
)

const (
	resumeTries = 3
	resumeDelay = 50 * time.Millisecond
)

// usage is the token usage in the last events of an engine's stream.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// pump forwards the events of one attempt from the target to the caller.
type pump struct {
	st       *stream
	id       admit.RequestID
	target   *conf.Target
	streamID string
	started  time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	last       int
	firstToken time.Duration
	firstAt    time.Time
	lastAt     time.Time
	answered   bool // the target was seen to survive the request
}

// run reads until the last event. A broken connection is resumed at the same target after the
// last event.
func (p *pump) run(resp *http.Response) error {
	st := p.st
	if !st.callerDisconnected && st.sink.Begin(st.token(p.target, p.streamID), st.attempt) != nil {
		p.setCallerDisconnected()
	}
	stop := context.AfterFunc(st.caller, func() { p.stopAfterGrace() })
	defer stop()
	err := p.read(resp)
	for try := 0; err != nil && p.ctx.Err() == nil && try < resumeTries; try++ {
		p.backOff(try)
		again, resumeErr := st.s.opts.Engine.ResumeStream(p.ctx, p.target.Address, p.target.Name, p.streamID, p.last)
		if resumeErr != nil {
			continue
		}
		st.s.counters.resumed.Inc()
		st.s.opts.Trace.Add(st.j.requestID, st.j.account.Name, "resume", "stream of %s from offset %d", p.target.Name, p.last)
		before := p.last
		err = p.read(again)
		_ = again.Body.Close()
		if p.last > before {
			try = -1
		}
	}
	if err == nil {
		return nil
	}
	if st.callerDisconnected && p.ctx.Err() != nil {
		p.cancelStream()
	}
	return result.Wrap(result.StreamBroken, err)
}

func (p *pump) backOff(try int) {
	if try == 0 {
		return
	}
	select {
	case <-p.ctx.Done():
	case <-p.st.s.opts.Clock.After(resumeDelay << try):
	}
}

// stopAfterGrace cancels the attempt a while after the caller disconnected, unless the response is
// kept.
func (p *pump) stopAfterGrace() {
	if p.st.j.order.Keep {
		return
	}
	select {
	case <-p.ctx.Done():
	case <-p.st.s.opts.Clock.After(callerGracePeriod):
		p.cancel()
	}
}

func (p *pump) cancelStream() {
	ctx, cancel := context.WithTimeout(p.st.s.t.Context(context.Background()), time.Second)
	defer cancel()
	_ = p.st.s.opts.Engine.CancelStream(ctx, p.target.Address, p.streamID)
}

func (p *pump) setCallerDisconnected() {
	st := p.st
	if st.callerDisconnected {
		return
	}
	st.callerDisconnected = true
	st.s.opts.Trace.Add(st.j.requestID, st.j.account.Name, "caller gone", "at offset %d", p.last)
}

func (p *pump) read(resp *http.Response) error {
	held := p.st.s.Hold(p.st.j.requestID)
	defer held.Release()
	reader := engine.NewEventReader(resp.Body, p.last, held.reserveEvent)
	for {
		ev, err := reader.Next()
		if err != nil {
			return err
		}
		p.last = ev.ID
		p.handle(ev)
		if ev.Done() {
			return nil
		}
	}
}

// handle accounts for an event, keeps and forwards it.
func (p *pump) handle(ev engine.Event) {
	st := p.st
	st.s.counters.tokens.Inc()
	p.measure(ev)
	if !p.answered && (ev.Done() || p.outlivesRequest()) {
		p.answered = true
		st.j.quarantineAttempt.Answered()
	}
	st.keep(ev)
	if !st.callerDisconnected && st.sink.Event(ev) != nil {
		p.setCallerDisconnected()
	}
}

// answerSettleTime is the time for which a target must go on after its first event until the stream
// shows that the target survives the request.
const answerSettleTime = 150 * time.Millisecond

// outlivesRequest reports whether the target has sent events for answerSettleTime.
func (p *pump) outlivesRequest() bool {
	return !p.firstAt.IsZero() && p.st.s.opts.Clock.Now().Sub(p.firstAt) >= answerSettleTime
}

func (p *pump) measure(ev engine.Event) {
	st := p.st
	now := p.st.s.opts.Clock.Now()
	if ev.Done() {
		return
	}
	if p.firstAt.IsZero() {
		p.firstAt, p.firstToken = now, now.Sub(p.started)
	}
	p.lastAt = now
	if strings.Contains(ev.Data, `"usage":{`) {
		p.takeUsage(ev.Data)
		return
	}
	st.outputs++
	// The core charges ahead in growing steps, so not every token needs a report.
	if st.outputs%8 == 0 {
		st.s.opts.Loop.Progress(p.id, st.cost())
	}
}

func (p *pump) takeUsage(data string) {
	var final struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &final) == nil && final.Usage != nil {
		p.st.usage = final.Usage
	}
}

// tokenGap returns the average time between two tokens.
func (p *pump) tokenGap() time.Duration {
	if p.st.outputs < 2 {
		return 0
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.st.outputs-1)
}
