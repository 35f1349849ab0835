package operatorconfig

import (
	"cmp"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

const defaultMetricsIntervalS = 10

// Metrics is a file in the text format of Prometheus, for a collector that reads files:
// the platform permits no listener. It is the part "metrics" of the operator's file.
type Metrics struct {
	// File is the absolute path, required. It is replaced as a whole, so that its directory
	// must be writable.
	File string `yaml:"file"`

	// IntervalS is the time between two writes in seconds (default 10), from 1 to 3600. A
	// short one shows changes sooner and takes more work.
	IntervalS int `yaml:"every_s"`
}

func (m *Metrics) validate() error {
	if m.File == "" || !filepath.IsAbs(m.File) {
		return yamlfile.Errorf("metrics.file", "not an absolute path")
	}
	m.IntervalS = cmp.Or(m.IntervalS, defaultMetricsIntervalS)
	return yamlfile.CheckRange("metrics.every_s", m.IntervalS, 1, 3600)
}
