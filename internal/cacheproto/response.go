package cacheproto

import (
	"bufio"
	"math"
	"slices"
	"strconv"
	"strings"

	"quilldoor/internal/policy"
)

// Status is what a response says.
type Status uint8

// The statuses of responses.
const (
	StatusOK          Status = iota + 1 // the object follows
	StatusNotModified                   // the client's copy is the current one
	StatusMiss                          // the object is not cached and was not filled
	StatusBusy                          // the server is at capacity
	StatusError                         // the fill or the server failed
	StatusSkipped                       // the budget was over before it ran
	StatusReady                         // to a ping
)

// statusWords are the protocol's words by status.
var statusWords = [...]string{
	StatusOK:          "ACK",
	StatusNotModified: "NOMOD",
	StatusMiss:        "NOENT",
	StatusBusy:        "AGAIN",
	StatusError:       "EIO",
	StatusSkipped:     "STALE",
	StatusReady:       "READY",
}

func (s Status) String() string { return statusWords[s] }

// parseStatus finds a status by its word; 0: there is none.
func parseStatus(word string) Status {
	return Status(max(slices.Index(statusWords[:], word), 0))
}

// reasonWords are the policy's reasons by the protocol's words.
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

// Response is one response's line; Length bytes and CR LF follow it.
type Response struct {
	ID           string
	Status       Status
	Tag          string
	IssuedMillis int64 // Unix milliseconds at which the origin gave the copy out
	Reason       policy.Reason
	DelayMillis  float64 // that the fill waited for the origin
	Load         map[string]float64
	Length       int // -1: neither body nor CR LF follow
}

// ReadResponse reads one line, which must fit into r's buffer. A body longer than
// maxBody bytes is a protocol violation.
func ReadResponse(r *bufio.Reader, maxBody int) (Response, error) {
	words, err := readWords(r)
	if err != nil {
		return Response{}, err
	}
	if len(words) == 2 && words[1] == statusWords[StatusReady] {
		return Response{ID: words[0], Status: StatusReady, Length: -1}, nil
	}
	if len(words) != 4 || words[0] == "" {
		return Response{}, protocolError("%d words", len(words))
	}
	response := Response{ID: words[0], Status: parseStatus(words[1])}
	if response.Status == 0 {
		return response, protocolError("unknown word %.20q", words[1])
	}
	response.Length, err = parseLength(words[3])
	if err != nil {
		return response, err
	}
	if response.Length > maxBody {
		return response, protocolError("length %.20q", words[3])
	}
	if words[2] != noFields {
		if err := parseFields(words[2], response.parseField); err != nil {
			return response, err
		}
	}
	if response.Status == StatusNotModified && response.Length > 0 {
		return response, protocolError("%s with %d bytes", response.Status, response.Length)
	}
	return response, nil
}

// parseField reads one field. Unknown fields and reasons are ignored.
func (r *Response) parseField(name, value string) (err error) {
	switch name {
	case "entity":
		r.Tag = value
	case "issued":
		r.IssuedMillis, err = strconv.ParseInt(value, 10, 64)
	case "detail":
		r.Reason = reasonWords[value]
	case "delay":
		r.DelayMillis, err = parseFigure(value)
	case "use":
		r.Load, err = parseLoad(value)
	}
	return err
}

func parseLoad(text string) (map[string]float64, error) {
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		figure, err := parseFigure(value)
		if err != nil {
			return nil, err
		}
		load[name] = figure
	}
	return load, nil
}

// parseFigure reads a number that the policy may calculate with: strconv takes
// NaN and Inf, too.
func parseFigure(text string) (float64, error) {
	figure, err := strconv.ParseFloat(text, 64)
	if err == nil && !(figure >= 0 && figure <= math.MaxInt32) {
		err = strconv.ErrRange
	}
	return figure, err
}

// AppendResponse writes a response's line; Length bytes of body and CR LF follow it.
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
	if response.DelayMillis > 0 {
		appendName("delay")
		b = strconv.AppendFloat(b, response.DelayMillis, 'f', 3, 64)
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
	for name, figure := range load {
		if !first {
			b = append(b, ';')
		}
		first = false
		b = append(b, name...)
		b = append(b, ':')
		b = strconv.AppendFloat(b, figure, 'f', 4, 64)
	}
	return b
}
