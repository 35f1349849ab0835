// Package simhost runs the policy of routers under the simulator. A Host owns the routers of one process and the
// endpoint lists that the simulator has sent. It passes each event to the router that it is for and adds the router's
// actions to the reply.
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

// Host holds the routers of a process. It must be used by one goroutine only.
type Host struct {
	routers  map[int]*policy.Router    // by instance; nil: detached
	lists    map[int][]policy.Endpoint // by page
	warnings io.Writer
	actions  []policy.Action // buffer of decide
}

// New returns a host without routers. It writes a line to warnings for each event that it skips.
func New(warnings io.Writer) *Host {
	return &Host{routers: map[int]*policy.Router{}, lists: map[int][]policy.Endpoint{}, warnings: warnings}
}

// Run reads batches from in and writes their replies to out until the input ends.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	const bufferBytes = 1 << 20
	reader := bufio.NewReaderSize(in, bufferBytes)
	for {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("reading a batch: %w", readErr)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := h.HandleBatch(line)
			if err != nil {
				return err
			}
			if _, err := out.Write(reply); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// HandleBatch handles the events of one line of input and returns the line of the reply.
func (h *Host) HandleBatch(line []byte) ([]byte, error) {
	batch, err := simwire.ReadBatch(line)
	if err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := simwire.NewResponse(batch.Turn)
	for i, event := range batch.Events {
		if err := h.handleEvent(&batch, i, event, reply); err != nil {
			return nil, fmt.Errorf("batch %d, event %d: %w", batch.Turn, i, err)
		}
	}
	return reply.Encode()
}

func (h *Host) handleEvent(batch *simwire.Batch, index int, event []byte, reply *simwire.Response) error {
	message, err := simwire.ReadMessage(event)
	switch {
	case err != nil:
		return err
	case !simwire.KnownVerb(message.Verb):
		_, err := fmt.Fprintf(h.warnings, "batch %d, event %d: unknown verb %q skipped\n", batch.Turn, index, message.Verb)
		return err
	case message.Verb == simwire.VerbInventory:
		h.lists[message.Page] = message.Endpoints
		return nil
	case message.Verb == simwire.VerbPowerOn:
		h.start(&message, reply)
		return nil
	}
	return h.handleRouterEvent(batch, &message, reply)
}

// start starts a router. It replaces an earlier router of the same instance.
func (h *Host) start(message *simwire.Message, reply *simwire.Response) {
	h.decide(message.Instance, reply, func([]policy.Action) []policy.Action {
		h.routers[message.Instance] = policy.New(message.Settings, message.Seed)
		return nil
	})
}

// handleRouterEvent passes an event to its router. Events for a detached router are dropped.
func (h *Host) handleRouterEvent(batch *simwire.Batch, message *simwire.Message, reply *simwire.Response) error {
	router, started := h.routers[message.Instance]
	if !started {
		return fmt.Errorf("%s is for instance %d, which was never started", message.Verb, message.Instance)
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

// decide calls a router's policy and adds its actions to the reply. A panic is reported as the wire's Panic.
func (h *Host) decide(instance int, reply *simwire.Response, call func([]policy.Action) []policy.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			reply.Add(instance, []policy.Action{{Kind: policy.ActionPanic, Text: fmt.Sprint(cause)}})
		}
	}()
	h.actions = call(h.actions[:0])
	reply.Add(instance, h.actions)
}
