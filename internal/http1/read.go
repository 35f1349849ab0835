package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// ReadRequest reads a request up to its body. Every line must fit into r's buffer.
// If the request is malformed, unsupported or exceeds the limits, the error is an
// *Error.
func ReadRequest(r *bufio.Reader, limits Limits) (*Head, error) {
	remaining := limits.MaxBytes
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	head, version, err := parseRequestLine(string(line))
	if err != nil {
		return nil, err
	}
	if err := head.readFields(r, limits, &remaining); err != nil {
		return nil, err
	}
	head.ContentLength = max(head.ContentLength, 0)
	if _, found := head.Get("host"); !found && version == version11 {
		return nil, &Error{http.StatusBadRequest, "missing Host header field"}
	}
	return head, nil
}

func parseRequestLine(line string) (head *Head, version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return nil, "", &Error{http.StatusBadRequest, "malformed request line"}
	}
	head = &Head{Method: parts[0], Target: parts[1]}
	version = parts[2]
	switch version {
	case version11:
	case version10:
		head.Close = true
	default:
		return nil, "", &Error{http.StatusHTTPVersionNotSupported, "unsupported HTTP version"}
	}
	for _, c := range []byte(head.Target) {
		if c <= ' ' || c >= 0x7f {
			return nil, "", &Error{http.StatusBadRequest, "malformed request target"}
		}
	}
	return head, version, nil
}

// ReadResponse reads a response up to its body. Limits and errors are those of
// ReadRequest.
func ReadResponse(r *bufio.Reader, limits Limits) (*Head, error) {
	remaining := limits.MaxBytes
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || version != version11 && version != version10 {
		return nil, &Error{http.StatusBadGateway, fmt.Sprintf("malformed status line %.40q", line)}
	}
	head := &Head{Status: int(status), Close: version == version10}
	return head, head.readFields(r, limits, &remaining)
}

// readLine reads one line and returns it without its line end. It subtracts the
// line's length from remaining, the number of bytes that the head may still have.
func readLine(r *bufio.Reader, remaining *int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	*remaining -= len(line)
	if errors.Is(err, bufio.ErrBufferFull) || *remaining < 0 {
		return nil, &Error{http.StatusRequestHeaderFieldsTooLarge, "message head too long"}
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// readFields reads the header fields up to the empty line that ends the head.
func (h *Head) readFields(r *bufio.Reader, limits Limits, remaining *int) error {
	h.ContentLength = -1
	for {
		line, err := readLine(r, remaining)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if err := h.addField(string(line), limits); err != nil {
			return err
		}
	}
	if h.Chunked && h.ContentLength >= 0 {
		return &Error{http.StatusBadGateway, "both Transfer-Encoding and Content-Length"}
	}
	return nil
}

// addField parses the line of one header field and applies it to the head.
func (h *Head) addField(line string, limits Limits) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return &Error{http.StatusBadRequest, "malformed header field line"}
	}
	if len(h.Fields) >= limits.MaxFields {
		return &Error{http.StatusRequestHeaderFieldsTooLarge, "too many header fields"}
	}
	field := Field{strings.ToLower(name), strings.Trim(value, " \t")}
	if strings.ContainsFunc(field.Value, isForbiddenInValue) {
		return &Error{http.StatusBadRequest, "malformed header field value"}
	}
	h.Fields = append(h.Fields, field)
	return h.applyFraming(field, limits.MaxBody)
}

// isForbiddenInValue reports whether c is a control character that a field's value
// must not contain.
func isForbiddenInValue(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// applyFraming applies a field that determines how the body is sent or whether the
// connection is closed after the message. Other fields have no effect.
func (h *Head) applyFraming(field Field, maxBody int) error {
	switch field.Name {
	case "content-length":
		return h.setContentLength(field.Value, maxBody)
	case "transfer-encoding":
		// The length of a request's body must be stated in Content-Length; only
		// responses may be chunked.
		if h.Status == 0 || h.Chunked || !strings.EqualFold(field.Value, "chunked") {
			return &Error{http.StatusNotImplemented, "unsupported Transfer-Encoding"}
		}
		h.Chunked = true
	case "expect":
		h.ExpectContinue = strings.EqualFold(field.Value, "100-continue")
	case "connection":
		for option := range strings.SplitSeq(strings.ToLower(field.Value), ",") {
			h.Close = h.Close || strings.Trim(option, " \t") == "close"
		}
	}
	return nil
}

func (h *Head) setContentLength(value string, maxBody int) error {
	if value == "" || strings.Trim(value, "0123456789") != "" {
		return &Error{http.StatusBadRequest, "malformed Content-Length"}
	}
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil || int(n) > maxBody {
		return &Error{http.StatusRequestEntityTooLarge, "Content-Length exceeds the limit"}
	}
	if h.ContentLength >= 0 && h.ContentLength != int(n) {
		return &Error{http.StatusBadRequest, "conflicting Content-Length fields"}
	}
	h.ContentLength = int(n)
	return nil
}

// isToken reports whether text is a token, as methods and field names are (RFC 9110,
// section 5.6.2).
func isToken(text string) bool {
	for _, c := range []byte(text) {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}
