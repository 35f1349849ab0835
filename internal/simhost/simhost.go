// Package simhost runs routers' decisions under the simulator. A Host owns the routers of one process and the
// endpoint lists that the simulator has sent; it hands each router its own events and writes down its actions.
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

// Host holds the routers of a process. It is used by one goroutine.
type Host struct {
	routers  map[int]*policy.Router    // by instance; nil once detached
	lists    map[int][]policy.Endpoint // by page
	warnings io.Writer
	actions  []policy.Action // reused
}

// New returns an empty host that writes a line about each event it skips to warnings.
func New(warnings io.Writer) *Host {
	return &Host{routers: map[int]*policy.Router{}, lists: map[int][]policy.Endpoint{}, warnings: warnings}
}

// Run answers batches from in on out until the input ends.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	const bufferBytes = 1 << 20
	r := bufio.NewReaderSize(in, bufferBytes)
	for {
		line, readErr := r.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("reading: %w", readErr)
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
		if readErr != nil {
			return nil
		}
	}
}

// HandleBatch answers one line.
func (h *Host) HandleBatch(line []byte) ([]byte, error) {
	batch, err := simwire.ReadBatch(line)
	if err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := simwire.NewResponse(batch.Turn)
	for i, raw := range batch.Events {
		if err := h.handleEvent(&batch, i, raw, reply); err != nil {
			return nil, fmt.Errorf("batch %d, event %d: %w", batch.Turn, i, err)
		}
	}
	return reply.Encode()
}

func (h *Host) handleEvent(batch *simwire.Batch, index int, raw []byte, reply *simwire.Response) error {
	m, err := simwire.ReadMessage(raw)
	switch {
	case err != nil:
		return err
	case !simwire.KnownVerb(m.Verb):
		_, err := fmt.Fprintf(h.warnings, "batch %d, event %d: unknown verb %q skipped\n", batch.Turn, index, m.Verb)
		return err
	case m.Verb == simwire.VerbInventory:
		h.lists[m.Page] = m.Endpoints
		return nil
	case m.Verb == simwire.VerbPowerOn:
		h.start(&m, reply)
		return nil
	}
	return h.handleRouterEvent(batch, &m, reply)
}

// start starts a router, in the place of one that had its number.
func (h *Host) start(m *simwire.Message, reply *simwire.Response) {
	h.decide(m.Instance, reply, func([]policy.Action) []policy.Action {
		h.routers[m.Instance] = policy.New(m.Settings, m.Seed)
		return nil
	})
}

// handleRouterEvent hands a router its event. Events for one that was detached are dropped.
func (h *Host) handleRouterEvent(batch *simwire.Batch, message *simwire.Message, reply *simwire.Response) error {
	router, started := h.routers[message.Instance]
	if !started {
		return fmt.Errorf("%s for instance %d, which was never started", message.Verb, message.Instance)
	}
	if message.Verb == simwire.VerbDetach {
		h.routers[message.Instance] = nil
		return nil
	}
	if message.Verb == simwire.VerbDiscovery && message.Event.Scope != policy.ScopeError {
		list, sent := h.lists[message.Page]
		if !sent {
			return fmt.Errorf("%s names list %d, which was never sent", message.Verb, message.Page)
		}
		message.Event.Endpoints = list
	}
	if router == nil {
		return nil
	}
	h.decide(message.Instance, reply, func(actions []policy.Action) []policy.Action {
		return router.Handle(batch.NowMicros, message.Event, actions)
	})
	return nil
}

// decide makes one call into the decisions and writes down their actions. A panic becomes the wire's Panic.
func (h *Host) decide(instance int, reply *simwire.Response, call func([]policy.Action) []policy.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			reply.Add(instance, []policy.Action{{Kind: policy.ActionPanic, Text: fmt.Sprint(cause)}})
		}
	}()
	h.actions = call(h.actions[:0])
	reply.Add(instance, h.actions)
}
