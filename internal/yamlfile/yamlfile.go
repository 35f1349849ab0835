// Package yamlfile reads YAML files of people: strictly, and with faults that name
// file, line and key.
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

// Error names what is wrong, and where.
type Error struct {
	File, Key string
	Line      int
	Text      string
}

func (f *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Errorf makes the fault that a check returns; Read adds the place.
func Errorf(key, format string, args ...any) error {
	return &Error{Key: key, Text: fmt.Sprintf(format, args...)}
}

// Decode decodes a file's text into a struct and checks it. Unknown keys, keys that
// stand twice and a second document are faults; an empty file is not.
func Decode(name string, text []byte, into any, check func() error) error {
	const most = 1 << 20 // no person writes more; aliases could blow it up in memory
	if len(text) > most {
		return &Error{name, "file", 1, fmt.Sprintf("%d bytes, %d at most", len(text), most)}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntax(name, err)
	}
	if len(file.Docs) > 1 && file.Docs[1].Body != nil {
		return &Error{name, "file", file.Docs[1].Body.GetToken().Position.Line, "a second document"}
	}
	if err := yaml.UnmarshalWithOptions(text, into, yaml.Strict()); err != nil && !empty(file) {
		return syntax(name, err)
	}
	err = check()
	if f := (*Error)(nil); errors.As(err, &f) {
		f.File, f.Line = name, line(file, f.Key)
	}
	return err
}

func empty(f *ast.File) bool {
	return !slices.ContainsFunc(f.Docs, func(d *ast.DocumentNode) bool { return d.Body != nil })
}

// syntax turns the library's errors, which draw the place over several lines,
// into one line.
func syntax(name string, err error) error {
	var wrong yaml.Error
	if errors.As(err, &wrong) {
		f := &Error{File: name, Key: "file", Line: 1, Text: wrong.GetMessage()}
		if t := wrong.GetToken(); t != nil {
			f.Line, f.Key = t.Position.Line, cmp.Or(t.Value, f.Key)
		}
		return f
	}
	return &Error{name, "file", 1, err.Error()}
}

// line finds where a key stands, or else the key above it.
func line(file *ast.File, key string) int {
	for ; key != ""; key = parentOf(key) {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			continue
		}
		if n, err := path.FilterFile(file); err == nil && n != nil {
			return n.GetToken().Position.Line
		}
	}
	return 1
}

func parentOf(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
