// Package scenarios is the library of scenarios, embedded in the programs that run them.
package scenarios

import (
	"embed"
	"fmt"
	"os"
	"strings"

	"quilldoor/internal/scenario"
)

//go:embed *.yaml
var files embed.FS

const extension = ".yaml"

// Names returns the names of the library's scenarios in order.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err) // cannot fail: the root of an embedded file system is readable
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), extension))
	}
	return names
}

// Load parses the library's scenario of a name or, if the library has none of that name, the file at
// that path.
func Load(name string) (*scenario.Scenario, error) {
	text, err := files.ReadFile(name + extension)
	if err == nil {
		return scenario.Parse(name, text)
	}
	text, err = os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario %q is not in the library and cannot be read as a file: %w", name, err)
	}
	return scenario.Parse(name, text)
}
