package cacheproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrProtocol is behind every error about what a peer wrote.
var ErrProtocol = errors.New("protocol violation")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// MaxValueLen bounds, in bytes, what stands as a value among the fields.
const MaxValueLen = 128

// IsPlain reports whether text can stand as a value among the fields.
func IsPlain(text string) bool {
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

// noFields stands in place of fields where there are none.
const noFields = "-"

// readWords reads one line and splits it. The line must fit into r's buffer.
func readWords(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError("line too long")
	}
	if err != nil {
		return nil, err
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	if !crlf {
		return nil, protocolError("line without CR")
	}
	return strings.Split(string(line), " "), nil
}

// parseFields calls parse with each field's name and value.
func parseFields(text string, parse func(name, value string) error) error {
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return protocolError("field %.20q", field)
		}
		if err := parse(name, value); err != nil {
			return protocolError("field %.40q", field)
		}
	}
	return nil
}

func parseLength(text string) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, protocolError("length %.20q", text)
	}
	return int(n), nil
}

// ReadBodyEnd reads the CR LF behind a body.
func ReadBodyEnd(r *bufio.Reader) error {
	end, err := r.Peek(2)
	if err != nil {
		return err
	}
	if string(end) != "\r\n" {
		return protocolError("body without CR LF behind it")
	}
	_, err = r.Discard(2)
	return err
}
