// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package peer answers calls from other routers and makes calls to them. Calls from peers block until
// Attach has set the router's parts.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"madderway/core/head"
	"madderway/core/member"
	"madderway/modules/wire"
	"madderway/services/config"
	"madderway/services/control"
	"madderway/services/trace"
)

const traceTimeout = 2 * time.Second

// Service connects the router's parts with its peers.
type Service struct {
	mu     sync.RWMutex
	loop   *control.Loop
	config *config.Service
	traces *trace.Recorder
	ready  chan struct{}
}

// New returns a service without parts.
func New() *Service { return &Service{ready: make(chan struct{})} }

// Attach sets the router's parts and unblocks calls from peers. It must be called once.
func (s *Service) Attach(l *control.Loop, c *config.Service, b *trace.Recorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loop, s.config, s.traces = l, c, b
	close(s.ready)
}

// HandleFrame implements peernet.Handler.
func (s *Service) HandleFrame(peer string, f *wire.Frame) {
	<-s.ready
	s.loop.HandleFrame(peer, f)
}

// HandleCall implements peernet.Handler.
func (s *Service) HandleCall(peer string, c *wire.Call) *wire.Reply {
	<-s.ready
	switch body := c.Body.(type) {
	case *wire.Call_ConfigNotify:
		return s.handleNotify(peer, body.ConfigNotify)
	case *wire.Call_ChunkFetch:
		content, ok := s.config.Chunk(body.ChunkFetch.Hash)
		return &wire.Reply{Ok: ok, Content: content}
	case *wire.Call_TraceFetch:
		return s.handleTraceFetch(body.TraceFetch.RequestId)
	default:
		return &wire.Reply{Error: "unknown call"}
	}
}

func (s *Service) handleNotify(peer string, n *wire.ConfigNotify) *wire.Reply {
	s.config.HandleNotify(peer, head.Version{Number: n.Version, Hash: n.Hash})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.WaitMs)*time.Millisecond)
	defer cancel()
	return &wire.Reply{Ok: true, ConfigVersion: s.config.Await(ctx, n.Version), Admitting: s.config.Admits()}
}

func (s *Service) handleTraceFetch(id string) *wire.Reply {
	record, ok := s.traces.Find(id)
	if !ok {
		return &wire.Reply{}
	}
	content, err := json.Marshal(record)
	if err != nil {
		return &wire.Reply{Error: err.Error()}
	}
	return &wire.Reply{Ok: true, Content: content}
}

func (s *Service) call(ctx context.Context, peer string, c *wire.Call) (*wire.Reply, error) {
	s.mu.RLock()
	loop := s.loop
	s.mu.RUnlock()
	if loop == nil {
		return nil, fmt.Errorf("router is starting")
	}
	link := loop.Link(peer)
	if link == nil {
		return nil, fmt.Errorf("no link to %s", peer)
	}
	reply, err := link.Call(ctx, c)
	if err == nil && reply.Error != "" {
		err = fmt.Errorf("peer %s: %s", peer, reply.Error)
	}
	return reply, err
}

// FetchChunk implements config.Peers.
func (s *Service) FetchChunk(ctx context.Context, peer, hash string) ([]byte, error) {
	reply, err := s.call(ctx, peer, &wire.Call{Body: &wire.Call_ChunkFetch{ChunkFetch: &wire.ChunkFetch{Hash: hash}}})
	if err != nil {
		return nil, err
	}
	if !reply.Ok {
		return nil, fmt.Errorf("peer %s does not have the chunk", peer)
	}
	return reply.Content, nil
}

// Notify implements config.Peers.
func (s *Service) Notify(ctx context.Context, peer string, v head.Version, wait time.Duration) (config.PeerAnswer, error) {
	reply, err := s.call(ctx, peer, &wire.Call{Body: &wire.Call_ConfigNotify{ConfigNotify: &wire.ConfigNotify{
		Version: v.Number, Hash: v.Hash, WaitMs: uint32(wait.Milliseconds()),
	}}})
	if err != nil {
		return config.PeerAnswer{}, err
	}
	return config.PeerAnswer{Version: reply.ConfigVersion, Admitting: reply.Admitting}, nil
}

// Members implements config.Peers.
func (s *Service) Members() []config.MemberInfo {
	s.mu.RLock()
	loop := s.loop
	s.mu.RUnlock()
	if loop == nil {
		return nil
	}
	var out []config.MemberInfo
	for _, m := range loop.Members() {
		out = append(out, config.MemberInfo{ID: m.ID, Dead: m.State == member.StateDead})
	}
	return out
}

// Explain collects the trace records of a request from this and all reachable routers.
func (s *Service) Explain(ctx context.Context, id string) []trace.Record {
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		records []trace.Record
	)
	if r, ok := s.traces.Find(id); ok {
		records = append(records, r)
	}
	for _, m := range s.Members() {
		if m.Dead {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := s.call(ctx, m.ID, &wire.Call{Body: &wire.Call_TraceFetch{TraceFetch: &wire.TraceFetch{RequestId: id}}})
			var r trace.Record
			if err != nil || !reply.Ok || json.Unmarshal(reply.Content, &r) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			records = append(records, r)
		}()
	}
	wg.Wait()
	return records
}
