// Package yamlfile decodes and validates YAML files that people write. Decoding is strict,
// and each error is one line that names the file, the line and the key.
package yamlfile

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes exceeds the size of a file written by hand. Aliases in a larger file could
// expand to any amount of memory.
const maxFileBytes = 1 << 20

// wholeFile replaces the key in errors that concern no single key.
const wholeFile = "file"

// Error is an error in a file, with its location.
type Error struct {
	File string
	Key  string // path from the root, as in "stages[0].share"
	Line int    // from 1
	Text string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Errorf returns an *Error about a key, for use by validate functions. It has no file and
// no line; Decode adds them.
func Errorf(key, format string, args ...any) error {
	return &Error{Key: key, Text: fmt.Sprintf(format, args...)}
}

// CheckRange returns an error about the key if the value is below low, above high or NaN,
// and else nil.
func CheckRange[T int | float64](key string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return Errorf(key, "%v is not within %v and %v", value, low, high)
}

// Decode decodes a file's text into the struct that target points to, and calls validate.
// Unknown keys, duplicate keys and a second document are errors; an empty file is not an
// error. All errors are of type *Error, except for errors of validate of other types.
func Decode(name string, text []byte, target any, validate func() error) error {
	if len(text) > maxFileBytes {
		return &Error{
			File: name, Key: wholeFile, Line: 1,
			Text: fmt.Sprintf("%d bytes, at most %d are allowed", len(text), maxFileBytes),
		}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(name, err)
	}
	if len(file.Docs) > 1 && file.Docs[1].Body != nil {
		line := file.Docs[1].Body.GetToken().Position.Line
		return &Error{File: name, Key: wholeFile, Line: line, Text: "more than one YAML document"}
	}
	if err := yaml.UnmarshalWithOptions(text, target, yaml.Strict()); err != nil && !isEmpty(file) {
		return syntaxError(name, err)
	}
	err = validate()
	var invalid *Error
	if errors.As(err, &invalid) {
		invalid.File = name
		invalid.Line = lineOf(file, invalid.Key)
	}
	return err
}

func isEmpty(file *ast.File) bool {
	return !slices.ContainsFunc(file.Docs, func(d *ast.DocumentNode) bool { return d.Body != nil })
}

// syntaxError converts an error of the YAML library, whose text shows an excerpt of the
// file in several lines, into an *Error of one line. Its Key is the text of the token at
// the error, which is not always a key.
func syntaxError(name string, err error) error {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return &Error{File: name, Key: wholeFile, Line: 1, Text: err.Error()}
	}
	located := &Error{File: name, Key: wholeFile, Line: 1, Text: yamlError.GetMessage()}
	if token := yamlError.GetToken(); token != nil {
		located.Line = token.Position.Line
		located.Key = cmp.Or(token.Value, located.Key)
	}
	return located
}

// lineOf returns the line of a key, else of its nearest parent in the file, else 1.
func lineOf(file *ast.File, key string) int {
	for ; key != ""; key = parentOf(key) {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			continue
		}
		if node, err := path.FilterFile(file); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 1
}

// parentOf returns the parent of a key, or "" for a key at the root.
func parentOf(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
