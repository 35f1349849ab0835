package operatorconfig

import (
	"cmp"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

const defaultMetricsIntervalS = 10

// Metrics configures a file in the text format of Prometheus: the part "metrics" of the
// operator's file. A collector has to read the file, since the platform permits no listener
// for metrics.
type Metrics struct {
	// File is the absolute path; required. Each write replaces the file as a whole, so its
	// directory must be writable.
	File string `yaml:"file"`

	// IntervalS is the time between two writes in seconds (default 10), from 1 to 3600. A
	// short interval shows changes sooner and takes more CPU time.
	IntervalS int `yaml:"every_s"`
}

func (m *Metrics) validate() error {
	if m.File == "" || !filepath.IsAbs(m.File) {
		return yamlfile.Errorf("metrics.file", "%q is not an absolute path", m.File)
	}
	m.IntervalS = cmp.Or(m.IntervalS, defaultMetricsIntervalS)
	return yamlfile.CheckRange("metrics.every_s", m.IntervalS, 1, 3600)
}
