// Package cacheproto is the codec of the cache servers' protocol: lines of words
// that end in CR LF, with bodies of a told length behind them.
package cacheproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"quilldoor/internal/policy"
)

// GetCommand is one hop's command. Times are milliseconds.
type GetCommand struct {
	ID, Class, Object string
	Part              int64
	BudgetMillis      int64
	Source            string // "": a miss is not filled
	Priority          int
	MaxAgeMillis      int64 // 0: the fresh time of the class
	FillMode          policy.FillMode
	Tag               string
	IdempotencyKey    string // the client's mark against repeats
	Length            int
}

// MaxValueLen bounds what stands as a value among the fields.
const MaxValueLen = 128

// IsPlain tells whether text can stand as a value among the fields.
func IsPlain(text string) bool {
	if len(text) > MaxValueLen {
		return false
	}
	for _, c := range []byte(text) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("-_.~:@!$*/", c) < 0 {
			return false
		}
	}
	return text != ""
}

// modeWords stand in the order of the mode's bits.
var modeWords = []string{"wait-for", "no-fetch", "no-keep", "background"}

// AppendGet writes the command up to where the body follows.
func AppendGet(b []byte, g *GetCommand) []byte {
	b = append(b, "GET "...)
	b = append(b, g.ID...)
	b = append(b, " queue="...)
	b = append(b, g.Class...)
	b = append(b, ",path="...)
	b = append(b, g.Object...)
	b = append(b, ",blk="...)
	b = strconv.AppendInt(b, g.Part, 10)
	b = append(b, ",budget="...)
	b = strconv.AppendInt(b, g.BudgetMillis, 10)
	if g.Source != "" {
		b = append(append(b, ",miss="...), g.Source...)
	}
	if g.Priority > 0 {
		b = strconv.AppendInt(append(b, ",prio="...), int64(g.Priority), 10)
	}
	if g.MaxAgeMillis > 0 {
		b = strconv.AppendInt(append(b, ",within="...), g.MaxAgeMillis, 10)
	}
	sep := ",f="
	for i, word := range modeWords {
		if g.FillMode>>i&1 == 1 {
			b = append(append(b, sep...), word...)
			sep = "+"
		}
	}
	if g.Tag != "" {
		b = append(append(b, ",mine="...), g.Tag...)
	}
	if g.IdempotencyKey != "" {
		b = append(append(b, ",uniq="...), g.IdempotencyKey...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(g.Length), 10)
	return append(b, "\r\n"...)
}

// AppendDrop writes the command that gives a hop up.
func AppendDrop(b []byte, id string) []byte {
	return append(append(append(b, "DROP "...), id...), "\r\n"...)
}

// AppendPing writes a probe.
func AppendPing(b []byte, tag string) []byte {
	return append(append(append(b, "PING "...), tag...), "\r\n"...)
}

// Status is what an answer says.
type Status uint8

// The words of answers.
const (
	StatusOK          Status = iota + 1 // ok, with the bytes
	StatusNotModified                   // ok, the client's copy is the one
	StatusMiss                          // miss
	StatusBusy                          // full
	StatusError                         // error
	StatusSkipped                       // was over already
	StatusReady                         // to a probe
)

var words = map[string]Status{
	"ACK": StatusOK, "NOMOD": StatusNotModified, "NOENT": StatusMiss, "AGAIN": StatusBusy, "EIO": StatusError,
	"STALE": StatusSkipped, "READY": StatusReady,
}

// notes are the words of an answer's note.
var notes = map[string]policy.Reason{
	"HIT":         policy.ReasonHit,
	"MISS":        policy.ReasonMiss,
	"MISS_ORIGIN": policy.ReasonMissOrigin,
	"COLLAPSED":   policy.ReasonCoalesced,
	"STALE":       policy.ReasonStale,
	"UP_BUSY":     policy.ReasonUpstreamBusy,
	"UP_DOWN":     policy.ReasonUpstreamDown,
	"UP_MISS":     policy.ReasonUpstreamMiss,
	"NO_FILL":     policy.ReasonNoFill,
	"ORIGIN_ERR":  policy.ReasonOriginError,
}

// Response is one answer's line; Length bytes and CR LF follow it.
type Response struct {
	ID           string
	Status       Status
	Tag          string
	IssuedMillis int64 // Unix milliseconds at which the origin gave the copy out
	Reason       policy.Reason
	DelayMillis  float64 // milliseconds
	Load         map[string]float64
	Length       int
}

// ErrProtocol is behind every error about what a peer wrote.
var ErrProtocol = errors.New("broken answer")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// ReadResponse reads one line. A line must fit into r's buffer, a body within most.
func ReadResponse(r *bufio.Reader, most int) (a Response, err error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return a, broken("line too long")
	}
	if err != nil {
		return a, err
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	if !crlf {
		return a, broken("line without CR")
	}
	part := strings.Split(string(line), " ")
	if len(part) == 2 && part[1] == "READY" {
		return Response{ID: part[0], Status: StatusReady, Length: -1}, nil
	}
	if len(part) != 4 || part[0] == "" {
		return a, broken("%d words", len(part))
	}
	a.ID, a.Status = part[0], words[part[1]]
	if a.Status == 0 {
		return a, broken("unknown word %.20q", part[1])
	}
	n, err := strconv.ParseUint(part[3], 10, 31)
	if err != nil || int(n) > most {
		return a, broken("length %.20q", part[3])
	}
	a.Length = int(n)
	if err := a.fields(part[2]); err != nil {
		return a, err
	}
	if a.Status == StatusNotModified && a.Length > 0 {
		return a, broken("NOMOD with %d bytes", a.Length)
	}
	return a, nil
}

func (a *Response) fields(text string) (err error) {
	if text == "-" {
		return nil
	}
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return broken("field %.20q", field)
		}
		switch name {
		case "entity":
			a.Tag = value
		case "issued":
			a.IssuedMillis, err = strconv.ParseInt(value, 10, 64)
		case "detail":
			a.Reason = notes[value] // an unknown note tells nothing
		case "delay":
			a.DelayMillis, err = figure(value)
		case "use":
			a.Load, err = load(value)
		}
		if err != nil {
			return broken("field %.40q", field)
		}
	}
	return nil
}

func load(text string) (map[string]float64, error) {
	out := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		v, err := figure(value)
		if err != nil {
			return nil, err
		}
		out[name] = v
	}
	return out, nil
}

// figure reads what the module may reckon with: strconv takes NaN and Inf, too.
func figure(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && !(v >= 0 && v <= math.MaxInt32) {
		err = strconv.ErrRange
	}
	return v, err
}

// ReadBodyEnd reads the CR LF behind a body.
func ReadBodyEnd(r *bufio.Reader) error {
	end, err := r.Peek(2)
	if err != nil {
		return err
	}
	if string(end) != "\r\n" {
		return broken("body without CR LF behind it")
	}
	_, err = r.Discard(2)
	return err
}
