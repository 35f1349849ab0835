// Package host keeps the instances of the decision module in one process and
// hands each its own events.
package host

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"quilldoor/internal/wire"
	"quilldoor/logic"
)

// Host holds the instances and the numbered lists of servers.
type Host struct {
	routers map[int]*logic.Router // nil once detached
	pages   map[int][]logic.Entry
	warn    io.Writer
	buf     []logic.Action
}

// New returns an empty host that reports skipped events on warn.
func New(warn io.Writer) *Host {
	return &Host{routers: map[int]*logic.Router{}, pages: map[int][]logic.Entry{}, warn: warn}
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
			reply, err := h.Batch(line)
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

// Batch answers one line.
func (h *Host) Batch(line []byte) ([]byte, error) {
	b, err := wire.ReadBatch(line)
	if err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	reply := wire.NewReply(b.Turn)
	for i, raw := range b.Input {
		m, err := wire.ReadMessage(raw)
		if err == nil {
			err = h.message(b, i, m, reply)
		}
		if err != nil {
			return nil, fmt.Errorf("batch %d, event %d: %w", b.Turn, i, err)
		}
	}
	return reply.Encode()
}

func (h *Host) message(b wire.Batch, index int, m wire.Message, reply *wire.Reply) error {
	switch {
	case !wire.Known(m.Verb):
		_, err := fmt.Fprintf(h.warn, "batch %d, event %d: unknown verb %q skipped\n", b.Turn, index, m.Verb)
		return err
	case m.Verb == wire.Inventory:
		h.pages[m.Page] = m.Entries
		return nil
	case m.Verb == wire.PowerOn:
		return h.act(m.Instance, reply, func([]logic.Action) []logic.Action {
			h.routers[m.Instance] = logic.New(m.Settings, m.Seed)
			return nil
		})
	}
	router, started := h.routers[m.Instance]
	if !started {
		return fmt.Errorf("%s for instance %d, which was never started", m.Verb, m.Instance)
	}
	if m.Verb == wire.Detach {
		h.routers[m.Instance] = nil
		return nil
	}
	if m.Verb == wire.Discovery && m.Event.Scope != "error" {
		entries, sent := h.pages[m.Page]
		if !sent {
			return fmt.Errorf("Discovery names list %d, which was never sent", m.Page)
		}
		m.Event.Entries = entries
	}
	if router == nil {
		return nil // of an earlier life
	}
	return h.act(m.Instance, reply, func(buf []logic.Action) []logic.Action {
		return router.Handle(b.Now, m.Event, buf)
	})
}

// act runs one call of the module; a panic in it becomes the wire's Panic.
func (h *Host) act(instance int, reply *wire.Reply, call func([]logic.Action) []logic.Action) error {
	defer func() {
		if r := recover(); r != nil {
			reply.Add(instance, []logic.Action{{Kind: logic.ActPanic, Text: fmt.Sprint(r)}})
		}
	}()
	h.buf = call(h.buf[:0])
	reply.Add(instance, h.buf)
	return nil
}
