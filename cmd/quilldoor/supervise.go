package main

import (
	"cmp"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/discovery"
	"quilldoor/internal/invariant"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/supervisor"
	"quilldoor/internal/upgrade"
)

var errNoSupervisor = errors.New("the operator's file has no section 'keep'")

// keepCommand returns the command 'keep', which runs a router under a supervisor.
func keepCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "keep", Short: "Supervise a router: upgrade its program and settings under load", Args: cobra.NoArgs,
		Long: "Holds the router's sockets and runs the router as a child process, as configured by keep in the operator's file.\n" +
			"'quilldoor change' then upgrades it to another program or other settings.",
		RunE: func(*cobra.Command, []string) error { return f.supervise() },
	}
}

func (f *flags) supervise() error {
	log, err := f.logger()
	if err != nil {
		return err
	}
	config, err := f.load()
	if err != nil {
		return err
	}
	file := config.operator.Supervisor
	if file == nil {
		return errNoSupervisor
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	term, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hup, syscall.SIGHUP)
	return supervisor.Run(supervisor.Config{
		Observer:   f.observer(config),
		Folder:     file.Dir,
		Program:    self,
		Platform:   f.platformPath(),
		Operator:   f.operatorPath(),
		Plan:       file.RolloutPlan,
		MemberName: memberName(config.operator),
		Log:        log.WithField("router", config.Name),
		Timeouts:   upgradeTimeouts(config, file),
	}, term, hup)
}

// platformPath and operatorPath return the paths of the files that the configuration is read
// from.
func (f *flags) platformPath() string { return cmp.Or(f.overrides.File, os.Getenv("LB_CONFIG")) }

func (f *flags) operatorPath() string {
	return cmp.Or(f.operatorFile, os.Getenv("LB_OPERATOR"), operatorconfig.DefaultPath)
}

// observer returns the supervisor's observer, which checks the router's invariants against the
// supervisor's own view of discovery.
func (f *flags) observer(config *startConfig) *supervisor.Observer {
	settings := config.Settings.PolicySettings()
	return &supervisor.Observer{
		Invariants: invariant.SettingsFrom(&settings),
		Limits:     config.Limits,
		Discovery: func() (string, *discovery.Update, error) {
			updated, err := f.load()
			if err != nil {
				return "", nil, err
			}
			return updated.DiscoveryAddr, updated.initialUpdate, nil
		},
	}
}

func upgradeTimeouts(config *startConfig, file *operatorconfig.Supervisor) upgrade.Timeouts {
	// shutdownSlack covers the steps before and after the drain: the router accepts clients
	// for another half a second, writes the disk cache's last records and closes connections.
	const shutdownSlack = 3 * time.Second
	drain := config.Limits.MaxRequestTimeout + config.Limits.ClientIdleTimeout + shutdownSlack
	return upgrade.Timeouts{
		ReadyMicros: micros(file.ReadyTimeoutS),
		TrialMicros: micros(file.TrialS),
		DrainMicros: drain.Microseconds(),
	}
}

func micros(seconds float64) int64 {
	return int64(seconds * microsPerSecond)
}

// memberName returns the name of the router as a member, or "" without a membership.
func memberName(operator *operatorconfig.Config) string {
	if operator.Membership == nil {
		return ""
	}
	return operator.Membership.Name
}
