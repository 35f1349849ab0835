package operatorconfig

import (
	"cmp"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

// maxSupervisorDirBytes leaves room for a socket's name: a Unix socket's address holds
// 108 bytes.
const maxSupervisorDirBytes = 80

// Supervisor lets a supervisor change the router's program and configuration while it
// serves.
type Supervisor struct {
	Dir string `yaml:"folder"` // the supervisor's own files and socket; absolute
	// ReadyTimeoutS is how long a new process may take to become ready, in seconds
	// (default 10).
	ReadyTimeoutS float64 `yaml:"ready_s"`
	// TrialS is how long a new process is on probation, in seconds (default 30): a short
	// time misses slow failures, a long one delays the next change.
	TrialS      float64 `yaml:"trial_s"`
	RolloutPlan string  `yaml:"plan,omitempty"` // absolute path; "": no rollouts
}

func (s *Supervisor) validate() error {
	if !filepath.IsAbs(s.Dir) || len(s.Dir) > maxSupervisorDirBytes {
		return yamlfile.Errorf("keep.folder", "not an absolute path of up to %d bytes", maxSupervisorDirBytes)
	}
	if s.RolloutPlan != "" && !filepath.IsAbs(s.RolloutPlan) {
		return yamlfile.Errorf("keep.plan", "not an absolute path")
	}
	s.ReadyTimeoutS = cmp.Or(s.ReadyTimeoutS, 10)
	s.TrialS = cmp.Or(s.TrialS, 30)
	if err := yamlfile.CheckRange("keep.ready_s", s.ReadyTimeoutS, 0.1, 600); err != nil {
		return err
	}
	return yamlfile.CheckRange("keep.trial_s", s.TrialS, 0.1, 3600)
}
