// Package yamlfile reads YAML files that people write: strictly, and with errors of one
// line that name the file, the line and the key.
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

// maxFileBytes is more than a person writes. Aliases in a larger file could take any
// amount of memory.
const maxFileBytes = 1 << 20

// wholeFile stands in place of a key in errors that concern none.
const wholeFile = "file"

// Error says what is wrong with a file, and where.
type Error struct {
	File string
	Key  string // path from the root, as in "stages[0].share"
	Line int    // from 1
	Text string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Errorf returns the *Error of a key for a validate function, without file and line:
// Decode adds them.
func Errorf(key, format string, args ...any) error {
	return &Error{Key: key, Text: fmt.Sprintf(format, args...)}
}

// CheckRange returns the error of a key whose value is below low, above high or NaN; nil
// for others.
func CheckRange[T int | float64](key string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return Errorf(key, "%v is not within %v and %v", value, low, high)
}

// Decode decodes a file's text into a struct and validates it. Unknown keys, duplicate
// keys and a second document are errors; an empty file is none. All errors are *Error,
// but for those of validate that are not.
func Decode(name string, text []byte, into any, validate func() error) error {
	if len(text) > maxFileBytes {
		return &Error{
			File: name, Key: wholeFile, Line: 1,
			Text: fmt.Sprintf("%d bytes, %d at most", len(text), maxFileBytes),
		}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(name, err)
	}
	if len(file.Docs) > 1 && file.Docs[1].Body != nil {
		line := file.Docs[1].Body.GetToken().Position.Line
		return &Error{File: name, Key: wholeFile, Line: line, Text: "a second document"}
	}
	if err := yaml.UnmarshalWithOptions(text, into, yaml.Strict()); err != nil && !isEmpty(file) {
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

// syntaxError turns an error of the library, whose text draws the place over several
// lines, into one line.
func syntaxError(name string, err error) error {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return &Error{File: name, Key: wholeFile, Line: 1, Text: err.Error()}
	}
	e := &Error{File: name, Key: wholeFile, Line: 1, Text: syntax.GetMessage()}
	if token := syntax.GetToken(); token != nil {
		e.Line = token.Position.Line
		e.Key = cmp.Or(token.Value, e.Key)
	}
	return e
}

// lineOf returns the line of a key, or else of the nearest key above it; 1 without any.
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

// parentOf returns the key above; "": there is none.
func parentOf(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
