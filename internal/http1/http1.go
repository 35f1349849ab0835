// Package http1 parses and writes as much of HTTP/1.1 as clients, the health
// check and the notice board need.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Error is a fault in what a peer wrote, with the status that answers it.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func bad(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Head is a message without its body. Header names are in lower case.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	ContentLength  int    // of the body; -1 in a response: until the connection ends
	Chunked        bool   // the body of a response comes in chunks (RFC 9112, section 7.1)
	Close          bool   // the sender ends the connection behind this message
	ExpectContinue bool   // the client waits for 100 before it sends the body
	Fields         []Field
}

// Field is one header.
type Field struct{ Name, Value string }

// Get finds a header by its name in lower case.
func (h *Head) Get(name string) (string, bool) {
	for _, f := range h.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// Count tells how often a header stands in the head.
func (h *Head) Count(name string) (n int) {
	for _, f := range h.Fields {
		if f.Name == name {
			n++
		}
	}
	return n
}

// Limits on a head: all lines together, and their number.
type Limits struct{ MaxBytes, MaxFields, MaxBody int }

// line reads one line without its end. It must fit into r's buffer.
func line(r *bufio.Reader, left *int) ([]byte, error) {
	l, err := r.ReadSlice('\n')
	*left -= len(l)
	if errors.Is(err, bufio.ErrBufferFull) || *left < 0 {
		return nil, bad(431, "header too long")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(l[:len(l)-1], []byte("\r")), nil
}

// ReadRequest reads a request up to its body.
func ReadRequest(r *bufio.Reader, b Limits) (*Head, error) {
	left := b.MaxBytes
	l, err := line(r, &left)
	if err != nil {
		return nil, err
	}
	part := strings.Split(string(l), " ")
	if len(part) != 3 || !token(part[0]) || part[1] == "" {
		return nil, bad(400, "malformed request line")
	}
	h := &Head{Method: part[0], Target: part[1]}
	switch part[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.Close = true
	default:
		return nil, bad(505, "unknown version")
	}
	for _, c := range []byte(h.Target) {
		if c <= ' ' || c >= 0x7f {
			return nil, bad(400, "malformed target")
		}
	}
	if err := h.fields(r, b, &left); err != nil {
		return nil, err
	}
	h.ContentLength = max(h.ContentLength, 0)
	if _, told := h.Get("host"); !told && part[2] == "HTTP/1.1" {
		return nil, bad(400, "no Host")
	}
	return h, nil
}

// ReadResponse reads a response up to its body.
func ReadResponse(r *bufio.Reader, b Limits) (*Head, error) {
	left := b.MaxBytes
	l, err := line(r, &left)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(string(l), " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, bad(502, "malformed status line")
	}
	h := &Head{Status: int(status), Close: version == "HTTP/1.0"}
	return h, h.fields(r, b, &left)
}

func (h *Head) fields(r *bufio.Reader, b Limits, left *int) error {
	h.ContentLength = -1
	for {
		l, err := line(r, left)
		if err != nil {
			return err
		}
		if len(l) == 0 {
			if h.Chunked && h.ContentLength >= 0 {
				return bad(502, "chunks and a length")
			}
			return nil
		}
		name, value, ok := strings.Cut(string(l), ":")
		if !ok || !token(name) {
			return bad(400, "malformed header")
		}
		if len(h.Fields) >= b.MaxFields {
			return bad(431, "too many headers")
		}
		f := Field{strings.ToLower(name), strings.Trim(value, " \t")}
		if strings.ContainsFunc(f.Value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return bad(400, "malformed header")
		}
		h.Fields = append(h.Fields, f)
		if err := h.framing(f, b.MaxBody); err != nil {
			return err
		}
	}
}

// framing takes in what a header says of the message's end.
func (h *Head) framing(f Field, most int) error {
	switch f.Name {
	case "content-length":
		if f.Value == "" || strings.Trim(f.Value, "0123456789") != "" {
			return bad(400, "malformed Content-Length")
		}
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || int(n) > most {
			return bad(413, "body too long")
		}
		if h.ContentLength >= 0 && h.ContentLength != int(n) {
			return bad(400, "two lengths")
		}
		h.ContentLength = int(n)
	case "transfer-encoding":
		// Clients of the protocol tell lengths; a server may answer in chunks.
		if h.Status == 0 || h.Chunked || !strings.EqualFold(f.Value, "chunked") {
			return bad(501, "no transfer encodings here")
		}
		h.Chunked = true
	case "expect":
		h.ExpectContinue = strings.EqualFold(f.Value, "100-continue")
	case "connection":
		for option := range strings.SplitSeq(strings.ToLower(f.Value), ",") {
			h.Close = h.Close || strings.Trim(option, " \t") == "close"
		}
	}
	return nil
}

// token tells whether text is a word of the kind that names methods and headers.
func token(text string) bool {
	for _, c := range []byte(text) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

var reasons = map[int]string{
	200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// AppendResponse writes a response up to its body. A 304 has none.
func AppendResponse(b []byte, status, length int, end bool, fields ...Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reasons[status]...), "\r\n"...)
	if status != 304 {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(length), 10), "\r\n"...)
	}
	if end {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(appendFields(b, fields), "\r\n"...)
}

// AppendRequest writes a request without a body.
func AppendRequest(b []byte, method, target string, fields ...Field) []byte {
	b = append(append(append(b, method...), ' '), target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return append(appendFields(b, fields), "\r\n"...)
}

func appendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return b
}
