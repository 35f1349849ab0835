package cacheproto

import (
	"bufio"
	"bytes"
	"errors"
	"slices"
	"strconv"
	"strings"
)

// The other side of the protocol, for stand-ins of cache servers.

// Command is what a router writes: a Get, or else a Drop or a Ping by id.
type Command struct {
	Get            *GetCommand
	DropID, PingID string
}

// ReadCommand reads one line; a Get's body of Length bytes and CR LF follow it.
// The line must fit into r's buffer.
func ReadCommand(r *bufio.Reader) (c Command, err error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return c, broken("line too long")
	}
	if err != nil {
		return c, err
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	if !crlf {
		return c, broken("line without CR")
	}
	part := strings.Split(string(line), " ")
	switch {
	case len(part) == 2 && part[0] == "DROP":
		c.DropID = part[1]
	case len(part) == 2 && part[0] == "PING":
		c.PingID = part[1]
	case len(part) == 4 && part[0] == "GET":
		g := &GetCommand{ID: part[1]}
		n, err := strconv.ParseUint(part[3], 10, 31)
		if err != nil {
			return c, broken("length %.20q", part[3])
		}
		g.Length = int(n)
		if err := g.parse(part[2]); err != nil {
			return c, err
		}
		c.Get = g
	default:
		return c, broken("%d words", len(part))
	}
	return c, nil
}

func (g *GetCommand) parse(text string) (err error) {
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return broken("field %.20q", field)
		}
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
			for word := range strings.SplitSeq(value, "+") {
				i := slices.Index(modeWords, word)
				if i < 0 {
					return broken("word %.20q", word)
				}
				g.FillMode |= 1 << i
			}
		case "mine":
			g.Tag = value
		case "uniq":
			g.IdempotencyKey = value
		default:
			return broken("field %.20q", name)
		}
		if err != nil {
			return broken("field %.40q", field)
		}
	}
	return nil
}

var answerWords = [...]string{StatusOK: "ACK", StatusNotModified: "NOMOD", StatusMiss: "NOENT", StatusBusy: "AGAIN", StatusError: "EIO", StatusSkipped: "STALE"}

// AppendResponse writes an answer's line; Length bytes of body and CR LF follow it.
func AppendResponse(b []byte, a *Response) []byte {
	b = append(append(append(b, a.ID...), ' '), answerWords[a.Status]...)
	sep := byte(' ')
	field := func(name string) {
		b = append(append(append(b, sep), name...), '=')
		sep = ','
	}
	if a.Tag != "" {
		field("entity")
		b = append(b, a.Tag...)
	}
	if a.IssuedMillis > 0 {
		field("issued")
		b = strconv.AppendInt(b, a.IssuedMillis, 10)
	}
	for name, n := range notes {
		if n == a.Reason {
			field("detail")
			b = append(b, name...)
		}
	}
	if a.DelayMillis > 0 {
		field("delay")
		b = strconv.AppendFloat(b, a.DelayMillis, 'f', 3, 64)
	}
	if len(a.Load) > 0 {
		field("use")
		first := true
		for name, v := range a.Load {
			if !first {
				b = append(b, ';')
			}
			first = false
			b = append(append(b, name...), ':')
			b = strconv.AppendFloat(b, v, 'f', 4, 64)
		}
	}
	if sep == ' ' {
		b = append(b, " -"...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(a.Length), 10)
	return append(b, "\r\n"...)
}
