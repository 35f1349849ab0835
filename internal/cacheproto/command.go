package cacheproto

import (
	"bufio"
	"errors"
	"slices"
	"strconv"
	"strings"

	"quilldoor/internal/policy"
)

// GetCommand is one attempt's command. A body of Length bytes and CR LF follow it.
type GetCommand struct {
	ID             string
	Class          string
	Object         string
	Part           int64
	BudgetMillis   int64
	Source         string // where a miss is filled from; "": it is not filled
	Priority       int
	MaxAgeMillis   int64 // 0: the fresh time of the class
	FillMode       policy.FillMode
	Tag            string
	IdempotencyKey string
	Length         int
}

// Command is what a router writes: a Get, or else a drop or a ping by id.
type Command struct {
	Get    *GetCommand
	DropID string
	PingID string
}

// modeWords stand in the order of the bits of policy.FillMode.
var modeWords = []string{"wait-for", "no-fetch", "no-keep", "background"}

// AppendGet writes the command up to where the body follows.
func AppendGet(b []byte, get *GetCommand) []byte {
	b = append(b, "GET "...)
	b = append(b, get.ID...)
	b = append(b, " queue="...)
	b = append(b, get.Class...)
	b = append(b, ",path="...)
	b = append(b, get.Object...)
	b = append(b, ",blk="...)
	b = strconv.AppendInt(b, get.Part, 10)
	b = append(b, ",budget="...)
	b = strconv.AppendInt(b, get.BudgetMillis, 10)
	if get.Source != "" {
		b = append(b, ",miss="...)
		b = append(b, get.Source...)
	}
	if get.Priority > 0 {
		b = append(b, ",prio="...)
		b = strconv.AppendInt(b, int64(get.Priority), 10)
	}
	if get.MaxAgeMillis > 0 {
		b = append(b, ",within="...)
		b = strconv.AppendInt(b, get.MaxAgeMillis, 10)
	}
	b = appendMode(b, get.FillMode)
	if get.Tag != "" {
		b = append(b, ",mine="...)
		b = append(b, get.Tag...)
	}
	if get.IdempotencyKey != "" {
		b = append(b, ",uniq="...)
		b = append(b, get.IdempotencyKey...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(get.Length), 10)
	return append(b, "\r\n"...)
}

func appendMode(b []byte, mode policy.FillMode) []byte {
	separator := ",f="
	for i, word := range modeWords {
		if mode>>i&1 == 1 {
			b = append(b, separator...)
			b = append(b, word...)
			separator = "+"
		}
	}
	return b
}

// AppendDrop writes the command that gives an attempt up.
func AppendDrop(b []byte, id string) []byte { return appendByID(b, "DROP ", id) }

// AppendPing writes a health check.
func AppendPing(b []byte, id string) []byte { return appendByID(b, "PING ", id) }

func appendByID(b []byte, verb, id string) []byte {
	b = append(b, verb...)
	b = append(b, id...)
	return append(b, "\r\n"...)
}

// ReadCommand reads one line, which must fit into r's buffer. A body follows a Get.
func ReadCommand(r *bufio.Reader) (Command, error) {
	words, err := readWords(r)
	if err != nil {
		return Command{}, err
	}
	switch {
	case len(words) == 2 && words[0] == "DROP":
		return Command{DropID: words[1]}, nil
	case len(words) == 2 && words[0] == "PING":
		return Command{PingID: words[1]}, nil
	case len(words) == 4 && words[0] == "GET":
		get := &GetCommand{ID: words[1]}
		if get.Length, err = parseLength(words[3]); err != nil {
			return Command{}, err
		}
		if err := parseFields(words[2], get.parseField); err != nil {
			return Command{}, err
		}
		return Command{Get: get}, nil
	}
	return Command{}, protocolError("%d words", len(words))
}

var errUnknownWord = errors.New("unknown word")

func (g *GetCommand) parseField(name, value string) (err error) {
	switch name {
	case "queue":
		g.Class = value
	case "path":
		g.Object = value
	case "blk":
		g.Part, err = strconv.ParseInt(value, 10, 64)
	case "budget":
		g.BudgetMillis, err = strconv.ParseInt(value, 10, 64)
	case "miss":
		g.Source = value
	case "prio":
		g.Priority, err = strconv.Atoi(value)
	case "within":
		g.MaxAgeMillis, err = strconv.ParseInt(value, 10, 64)
	case "f":
		g.FillMode, err = parseMode(value)
	case "mine":
		g.Tag = value
	case "uniq":
		g.IdempotencyKey = value
	default:
		return errUnknownWord
	}
	return err
}

func parseMode(text string) (mode policy.FillMode, err error) {
	for word := range strings.SplitSeq(text, "+") {
		bit := slices.Index(modeWords, word)
		if bit < 0 {
			return 0, errUnknownWord
		}
		mode |= 1 << bit
	}
	return mode, nil
}
