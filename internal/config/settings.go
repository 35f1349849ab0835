package config

import (
	"fmt"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/settings"
)

// maxClassMillis bounds the latency objective and the timeout of a traffic class: a
// request holds memory until it times out.
const maxClassMillis = 60e3

// noKind is the index that stands for a kind of endpoint that the site does not have.
const noKind = -1

// checkSettings rejects settings that the router can't work with or that the protocols
// on sockets can't express.
func checkSettings(s *settings.Setup) error {
	switch {
	case len(s.Classes) == 0:
		return keyError{"settings.Classes", "missing or empty"}
	case len(s.Kinds) == 0:
		return keyError{"settings.Kinds", "missing or empty"}
	case s.Zone == "":
		return keyError{"settings.Zone", "missing"}
	case len(s.Tenants) > 0:
		return keyError{"settings.Tenants", "not supported: the protocol has no field for a request's tenant"}
	case !isIndex(s.FamilyInfo.MasterKind, len(s.Kinds)):
		return keyError{
			"settings.FamilyInfo.MasterKind",
			fmt.Sprintf("%d is not an index of the %d settings.Kinds", s.FamilyInfo.MasterKind, len(s.Kinds)),
		}
	case s.FamilyInfo.SecondTierKind != nil && !isIndexOrNone(*s.FamilyInfo.SecondTierKind, len(s.Kinds)):
		return keyError{
			"settings.FamilyInfo.SecondTierKind",
			fmt.Sprintf("%d is neither %d nor an index of the %d settings.Kinds",
				*s.FamilyInfo.SecondTierKind, noKind, len(s.Kinds)),
		}
	}
	if err := checkNotNegative(s); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := checkClass(fmt.Sprintf("settings.Classes[%d].", i), &s.Classes[i]); err != nil {
			return err
		}
	}
	return nil
}

func isIndex(i, length int) bool { return i >= 0 && i < length }

func isIndexOrNone(i, length int) bool { return i == noKind || isIndex(i, length) }

func checkNotNegative(s *settings.Setup) error {
	for _, number := range []struct {
		key   string
		value float64
	}{
		{"Limits.MostTries", float64(s.Limits.MostTries)},
		{"Limits.MaxOpen", float64(s.Limits.MaxOpen)},
		{"Limits.StreamsPerConn", float64(s.Limits.StreamsPerConn)},
		{"Limits.ConnectTimeoutMs", s.Limits.ConnectTimeoutMs},
		{"Limits.ConnIdleMs", s.Limits.ConnIdleMs},
		{"Limits.MaxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"Contract.AnswerSlackMs", s.Contract.AnswerSlackMs},
		{"Contract.DrainGraceMs", s.Contract.DrainGraceMs},
		{"Contract.ColdMs", s.Contract.ColdMs},
		{"Contract.FallMs", s.Contract.FallMs},
		{"FamilyInfo.ClearedWithinMs", s.FamilyInfo.ClearedWithinMs},
		{"FamilyInfo.PurgeGraceMs", s.FamilyInfo.PurgeGraceMs},
		{"Siblings", float64(s.Siblings)},
	} {
		if number.value < 0 {
			return keyError{"settings." + number.key, fmt.Sprintf("%g is negative", number.value)}
		}
	}
	return nil
}

func checkClass(prefix string, class *settings.Class) error {
	switch {
	case class.Name == "" || !cacheproto.IsValidValue(class.Name):
		return keyError{
			prefix + "Name",
			fmt.Sprintf("%q is empty, too long or has characters that the cache protocol does not allow", class.Name),
		}
	case class.Effect != "safe" && class.Effect != "keyed" && class.Effect != "unsafe":
		return keyError{prefix + "Effect", fmt.Sprintf("%q is not safe, keyed or unsafe", class.Effect)}
	case class.Streamed:
		return keyError{prefix + "Streamed", "not supported: the protocol has no streams"}
	}
	if err := checkClassTime(prefix+"TargetMs", class.TargetMs); err != nil {
		return err
	}
	return checkClassTime(prefix+"GiveUpMs", class.GiveUpMs)
}

func checkClassTime(key string, millis float64) error {
	if millis <= 0 || millis > maxClassMillis {
		return keyError{key, fmt.Sprintf("%g is not above 0 and up to %g", millis, maxClassMillis)}
	}
	return nil
}
