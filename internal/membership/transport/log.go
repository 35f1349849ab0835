package transport

import (
	"github.com/sirupsen/logrus"

	"quilldoor/internal/membership"
)

// logChanges logs the state transitions of members. A suspicion and its refutation are part of normal operation, so
// they are logged at the debug level.
func (a *Agent) logChanges(changes []membership.Change) {
	for _, change := range changes {
		entry := a.log.WithFields(logrus.Fields{
			"member":         change.Name,
			"previous_state": change.From.String(),
			"epoch":          change.ID.Epoch,
		})
		switch change.To {
		case membership.StateSuspect:
			entry.Debug("member suspect")
		case membership.StateDead:
			entry.Warn("member dead")
		case membership.StateNameConflict:
			entry.Error("another process has this router's name, this one keeps quiet")
		case membership.StateAlive:
			if change.From == membership.StateSuspect {
				entry.Debug("member alive")
			} else {
				entry.Info("member alive")
			}
		case membership.StateUnknown:
			entry.Debug("member forgotten")
		case membership.StateLeaving:
			entry.Info("member leaving")
		case membership.StateLeft:
			entry.Info("member left")
		}
	}
}

// logMajority logs when the node begins or ceases to reach a majority of the members. A joining node logs nothing.
func (a *Agent) logMajority(c membership.Connectivity) {
	if c.Majority == a.majority || c.State == membership.StateJoining {
		return
	}
	a.majority = c.Majority
	entry := a.log.WithFields(logrus.Fields{
		"known":           c.Known,
		"reachable":       c.Reachable,
		"probes_answered": c.ProbesAnswered,
		"probes_sent":     c.ProbesSent,
		"silence_ms":      c.Silence / 1000,
		"resuming":        c.Resuming,
	})
	if c.Majority {
		entry.Info("majority of members reachable")
	} else {
		entry.Warn("majority of members not reachable")
	}
}
