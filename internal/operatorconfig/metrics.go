package operatorconfig

import (
	"cmp"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

// Metrics is a file in the text format of Prometheus, for a collector that reads files:
// the platform permits no listener.
type Metrics struct {
	File      string `yaml:"file"`    // absolute path
	IntervalS int    `yaml:"every_s"` // seconds between two writes (default 10)
}

func (m *Metrics) validate() error {
	if m.File == "" || !filepath.IsAbs(m.File) {
		return yamlfile.Errorf("metrics.file", "not an absolute path")
	}
	m.IntervalS = cmp.Or(m.IntervalS, 10)
	return yamlfile.CheckRange("metrics.every_s", m.IntervalS, 1, 3600)
}
