// Package simhost keeps the instances of the decision module in one process and
// hands each its own events.
package simhost

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"quilldoor/internal/policy"
	"quilldoor/internal/simwire"
)

// Host holds the instances and the numbered lists of servers.
type Host struct {
	routers map[int]*policy.Router // nil once detached
	pages   map[int][]policy.Endpoint
	warn    io.Writer
	buf     []policy.Action
}

// New returns an empty host that reports skipped events on warn.
func New(warn io.Writer) *Host {
	return &Host{routers: map[int]*policy.Router{}, pages: map[int][]policy.Endpoint{}, warn: warn}
}

// Run answers batches from in on out until the input ends.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading: %w", err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := h.HandleBatch(line)
			if err != nil {
				return err
			}
			if _, err := out.Write(reply); err != nil {
				return fmt.Errorf("writing: %w", err)
			}
		}
		if err != nil {
			return nil
		}
	}
}

// HandleBatch answers one line.
func (h *Host) HandleBatch(line []byte) ([]byte, error) {
	b, err := simwire.ReadBatch(line)
	if err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := simwire.NewResponse(b.Turn)
	for i, raw := range b.Events {
		m, err := simwire.ReadMessage(raw)
		if err == nil {
			err = h.message(b, i, m, reply)
		}
		if err != nil {
			return nil, fmt.Errorf("batch %d, event %d: %w", b.Turn, i, err)
		}
	}
	return reply.Encode()
}

func (h *Host) message(b simwire.Batch, index int, m simwire.Message, reply *simwire.Response) error {
	switch {
	case !simwire.KnownVerb(m.Verb):
		_, err := fmt.Fprintf(h.warn, "batch %d, event %d: unknown verb %q skipped\n", b.Turn, index, m.Verb)
		return err
	case m.Verb == simwire.VerbInventory:
		h.pages[m.Page] = m.Endpoints
		return nil
	case m.Verb == simwire.VerbPowerOn:
		return h.act(m.Instance, reply, func([]policy.Action) []policy.Action {
			h.routers[m.Instance] = policy.New(m.Settings, m.Seed)
			return nil
		})
	}
	router, started := h.routers[m.Instance]
	if !started {
		return fmt.Errorf("%s for instance %d, which was never started", m.Verb, m.Instance)
	}
	if m.Verb == simwire.VerbDetach {
		h.routers[m.Instance] = nil
		return nil
	}
	if m.Verb == simwire.VerbDiscovery && m.Event.Scope != policy.ScopeError {
		entries, sent := h.pages[m.Page]
		if !sent {
			return fmt.Errorf("Discovery names list %d, which was never sent", m.Page)
		}
		m.Event.Endpoints = entries
	}
	if router == nil {
		return nil // of an earlier life
	}
	return h.act(m.Instance, reply, func(buf []policy.Action) []policy.Action {
		return router.Handle(b.NowMicros, m.Event, buf)
	})
}

// act runs one call of the module; a panic in it becomes the wire's Panic.
func (h *Host) act(instance int, reply *simwire.Response, call func([]policy.Action) []policy.Action) error {
	defer func() {
		if r := recover(); r != nil {
			reply.Add(instance, []policy.Action{{Kind: policy.ActionPanic, Text: fmt.Sprint(r)}})
		}
	}()
	h.buf = call(h.buf[:0])
	reply.Add(instance, h.buf)
	return nil
}
