// Package scenarios holds the library of scripted incidents.
package scenarios

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"quilldoor/internal/scenario"
)

//go:embed *.yaml
var files embed.FS

// Names are those of the library, in order.
func Names() (names []string) {
	list, _ := fs.Glob(files, "*.yaml")
	for _, n := range list {
		names = append(names, strings.TrimSuffix(n, ".yaml"))
	}
	return names
}

// Load reads a rehearsal of the library by its name, or a file.
func Load(name string) (*scenario.Scenario, error) {
	text, err := files.ReadFile(name + ".yaml")
	if err == nil {
		return scenario.Parse(name, text)
	}
	text, err = os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%s is no rehearsal of the library, and: %w", name, err)
	}
	return scenario.Parse(name, text)
}
