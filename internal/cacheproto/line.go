package cacheproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrProtocol is wrapped by every error about input that violates the protocol.
var ErrProtocol = errors.New("protocol violation")

// protocolError returns an error that wraps ErrProtocol.
func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// MaxValueLen is the greatest length of a field's value, in bytes.
const MaxValueLen = 128

// IsValidValue reports whether text can be written as a field's value.
func IsValidValue(text string) bool {
	if len(text) > MaxValueLen {
		return false
	}
	for _, c := range []byte(text) {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && strings.IndexByte("-_.~:@!$*/", c) < 0 {
			return false
		}
	}
	return text != ""
}

// noFields is written in place of an empty list of fields.
const noFields = "-"

// readWords reads one line and splits it into words. The line must fit into r's
// buffer.
func readWords(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError("line longer than %d bytes", r.Size())
	}
	if err != nil {
		return nil, err
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	if !crlf {
		return nil, protocolError("line %.20q does not end in CR LF", line)
	}
	return strings.Split(string(line), " "), nil
}

// parseFields calls parse with the name and value of each field.
func parseFields(text string, parse func(name, value string) error) error {
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return protocolError("field %.20q without a value", field)
		}
		if err := parse(name, value); err != nil {
			return protocolError("invalid field %.40q", field)
		}
	}
	return nil
}

func parseLength(text string) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, protocolError("invalid length %.20q", text)
	}
	return int(n), nil
}

// ReadBodyEnd reads the CR LF that follows a body.
func ReadBodyEnd(r *bufio.Reader) error {
	end, err := r.Peek(2)
	if err != nil {
		return err
	}
	if string(end) != "\r\n" {
		return protocolError("%q after a body, want CR LF", end)
	}
	_, err = r.Discard(2)
	return err
}
