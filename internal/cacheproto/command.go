package cacheproto

import (
	"bufio"
	"errors"
	"slices"
	"strconv"
	"strings"

	"quilldoor/internal/policy"
)

// GetCommand is the command of one attempt. Its line is followed by a body of Length
// bytes and CR LF.
type GetCommand struct {
	ID             string
	Class          string
	Object         string
	Part           int64
	BudgetMillis   int64
	Source         string // id of the endpoint that a miss is filled from; "": a miss is not filled
	Priority       int    // priority at which a cache keeps the copy; 0: it does not keep it
	MaxAgeMillis   int64  // greatest age of a copy; 0: the class's freshness time
	FillMode       policy.FillMode
	Tag            string // of the copy that needs no transfer if it is current; "": none
	IdempotencyKey string
	Length         int // bytes of the body
}

// Command is a command of a router. Exactly one field is set.
type Command struct {
	Get    *GetCommand
	DropID string // id of the attempt to abandon
	PingID string // id of the health check to answer
}

// fillModeWords are in the order of the bits of policy.FillMode.
var fillModeWords = []string{"wait-for", "no-fetch", "no-keep", "background"}

// AppendGet appends the command's line; the caller writes the body and CR LF after it.
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
	b = appendFillMode(b, get.FillMode)
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

func appendFillMode(b []byte, mode policy.FillMode) []byte {
	separator := ",f="
	for i, word := range fillModeWords {
		if mode>>i&1 == 1 {
			b = append(b, separator...)
			b = append(b, word...)
			separator = "+"
		}
	}
	return b
}

// AppendDrop appends the command that abandons an attempt.
func AppendDrop(b []byte, id string) []byte { return appendByID(b, "DROP ", id) }

// AppendPing appends the command for a health check.
func AppendPing(b []byte, id string) []byte { return appendByID(b, "PING ", id) }

func appendByID(b []byte, verb, id string) []byte {
	b = append(b, verb...)
	b = append(b, id...)
	return append(b, "\r\n"...)
}

// ReadCommand reads the line of one command, which must fit into r's buffer. If the
// command is a Get, the caller reads the body and CR LF after it.
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
	return Command{}, protocolError("unknown command %.20q of %d words", words[0], len(words))
}

var errUnknownName = errors.New("unknown field or fill mode")

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
		g.FillMode, err = parseFillMode(value)
	case "mine":
		g.Tag = value
	case "uniq":
		g.IdempotencyKey = value
	default:
		return errUnknownName
	}
	return err
}

func parseFillMode(text string) (mode policy.FillMode, err error) {
	for word := range strings.SplitSeq(text, "+") {
		bit := slices.Index(fillModeWords, word)
		if bit < 0 {
			return 0, errUnknownName
		}
		mode |= 1 << bit
	}
	return mode, nil
}
