package operatorconfig

import (
	"cmp"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

// maxSupervisorDirBytes leaves space for the name of the socket in the directory: the
// address of a Unix socket holds 108 bytes.
const maxSupervisorDirBytes = 80

const (
	defaultReadyTimeoutS = 10
	defaultTrialS        = 30
)

// Supervisor configures the supervisor, which changes the router's program and
// configuration while it serves: the part "keep" of the file. It takes effect if 'quilldoor
// keep' runs the router.
type Supervisor struct {
	// Dir is the directory of the supervisor's files and socket; absolute, up to 80 bytes,
	// required. No other supervisor may use it.
	Dir string `yaml:"folder"`

	// ReadyTimeoutS is how long a new process may take to become ready, in seconds
	// (default 10), from 0.1 to 600. With a short time, programs that start slowly are
	// refused; a long time delays the next attempt after a program that never gets ready.
	ReadyTimeoutS float64 `yaml:"ready_s"`

	// TrialS is how long a new process is on probation, in seconds (default 30), from 0.1
	// to 3600. A short time misses slow failures; a long one delays the next change.
	TrialS float64 `yaml:"trial_s"`

	// RolloutPlan is the absolute path of the plan for the rollout of an upgrade to many
	// routers (default: no rollouts). It requires the part "members".
	RolloutPlan string `yaml:"plan,omitempty"`
}

func (s *Supervisor) validate() error {
	if !filepath.IsAbs(s.Dir) || len(s.Dir) > maxSupervisorDirBytes {
		return yamlfile.Errorf("keep.folder", "%q is not an absolute path of up to %d bytes",
			s.Dir, maxSupervisorDirBytes)
	}
	if s.RolloutPlan != "" && !filepath.IsAbs(s.RolloutPlan) {
		return yamlfile.Errorf("keep.plan", "%q is not an absolute path", s.RolloutPlan)
	}
	s.ReadyTimeoutS = cmp.Or(s.ReadyTimeoutS, defaultReadyTimeoutS)
	s.TrialS = cmp.Or(s.TrialS, defaultTrialS)
	if err := yamlfile.CheckRange("keep.ready_s", s.ReadyTimeoutS, 0.1, 600); err != nil {
		return err
	}
	return yamlfile.CheckRange("keep.trial_s", s.TrialS, 0.1, 3600)
}
