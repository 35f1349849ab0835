package cacheproto

import (
	"bufio"
	"math"
	"slices"
	"strconv"
	"strings"

	"quilldoor/internal/policy"
)

// Status is the status of a response.
type Status uint8

// The statuses; 0 is none of them.
const (
	StatusOK          Status = iota + 1 // the object follows
	StatusNotModified                   // the copy with the command's tag is current
	StatusMiss                          // the object is not cached and was not filled
	StatusBusy                          // the server is at capacity
	StatusError                         // the fill or the server failed
	StatusSkipped                       // the budget had run out before the server executed the command
	StatusReady                         // the answer to a ping
)

// statusWords holds the protocol's word for each status.
var statusWords = [...]string{
	StatusOK:          "ACK",
	StatusNotModified: "NOMOD",
	StatusMiss:        "NOENT",
	StatusBusy:        "AGAIN",
	StatusError:       "EIO",
	StatusSkipped:     "STALE",
	StatusReady:       "READY",
}

// String returns the protocol's word for the status.
func (s Status) String() string { return statusWords[s] }

// parseStatus returns the status with the given word, or 0 if there is none.
func parseStatus(word string) Status {
	return Status(max(slices.Index(statusWords[:], word), 0))
}

// reasonWords maps the protocol's words to the policy's reasons.
var reasonWords = map[string]policy.Reason{
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

// Response is the line of one response. It is followed by a body of Length bytes and
// CR LF.
type Response struct {
	ID               string
	Status           Status
	Tag              string // identifies the copy
	IssuedMillis     int64  // when the origin issued the copy, in Unix milliseconds
	Reason           policy.Reason
	OriginWaitMillis float64            // how long the fill waited for the origin
	Load             map[string]float64 // the server's load report
	Length           int                // bytes of the body; -1: neither a body nor CR LF follows
}

// ReadResponse reads the line of one response, which must fit into r's buffer. A
// length of more than maxBody bytes is a protocol violation.
func ReadResponse(r *bufio.Reader, maxBody int) (Response, error) {
	words, err := readWords(r)
	if err != nil {
		return Response{}, err
	}
	if len(words) == 2 && words[1] == statusWords[StatusReady] {
		return Response{ID: words[0], Status: StatusReady, Length: -1}, nil
	}
	if len(words) != 4 || words[0] == "" {
		return Response{}, protocolError("response with %d words and id %.20q, want 4 words and an id", len(words), words[0])
	}
	response := Response{ID: words[0], Status: parseStatus(words[1])}
	if response.Status == 0 {
		return response, protocolError("unknown status %.20q", words[1])
	}
	response.Length, err = parseLength(words[3])
	if err != nil {
		return response, err
	}
	if response.Length > maxBody {
		return response, protocolError("length %.20q exceeds the limit of %d bytes", words[3], maxBody)
	}
	if words[2] != noFields {
		if err := parseFields(words[2], response.parseField); err != nil {
			return response, err
		}
	}
	if response.Status == StatusNotModified && response.Length > 0 {
		return response, protocolError("%s response with a body of %d bytes", response.Status, response.Length)
	}
	return response, nil
}

// parseField parses one field. Unknown fields and reasons are ignored.
func (r *Response) parseField(name, value string) (err error) {
	switch name {
	case "entity":
		r.Tag = value
	case "issued":
		r.IssuedMillis, err = strconv.ParseInt(value, 10, 64)
	case "detail":
		r.Reason = reasonWords[value]
	case "delay":
		r.OriginWaitMillis, err = parseNonNegative(value)
	case "use":
		r.Load, err = parseLoad(value)
	}
	return err
}

func parseLoad(text string) (map[string]float64, error) {
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		number, err := parseNonNegative(value)
		if err != nil {
			return nil, err
		}
		load[name] = number
	}
	return load, nil
}

// parseNonNegative parses a number from 0 to math.MaxInt32. The bounds keep NaN and
// Inf, which strconv accepts, out of the policy's calculations.
func parseNonNegative(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err == nil && !(number >= 0 && number <= math.MaxInt32) {
		err = strconv.ErrRange
	}
	return number, err
}

// AppendResponse appends a response's line; the caller writes a body of Length bytes
// and CR LF after it.
func AppendResponse(b []byte, response *Response) []byte {
	b = append(b, response.ID...)
	b = append(b, ' ')
	b = append(b, statusWords[response.Status]...)
	b = append(b, ' ')
	b = appendResponseFields(b, response)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(response.Length), 10)
	return append(b, "\r\n"...)
}

func appendResponseFields(b []byte, response *Response) []byte {
	start := len(b)
	appendName := func(name string) {
		if len(b) > start {
			b = append(b, ',')
		}
		b = append(b, name...)
		b = append(b, '=')
	}
	if response.Tag != "" {
		appendName("entity")
		b = append(b, response.Tag...)
	}
	if response.IssuedMillis > 0 {
		appendName("issued")
		b = strconv.AppendInt(b, response.IssuedMillis, 10)
	}
	for name, reason := range reasonWords {
		if reason == response.Reason {
			appendName("detail")
			b = append(b, name...)
		}
	}
	if response.OriginWaitMillis > 0 {
		appendName("delay")
		b = strconv.AppendFloat(b, response.OriginWaitMillis, 'f', 3, 64)
	}
	if len(response.Load) > 0 {
		appendName("use")
		b = appendLoad(b, response.Load)
	}
	if len(b) == start {
		b = append(b, noFields...)
	}
	return b
}

func appendLoad(b []byte, load map[string]float64) []byte {
	first := true
	for name, number := range load {
		if !first {
			b = append(b, ';')
		}
		first = false
		b = append(b, name...)
		b = append(b, ':')
		b = strconv.AppendFloat(b, number, 'f', 4, 64)
	}
	return b
}
