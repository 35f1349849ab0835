package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"quilldoor/internal/handoff"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/supervisor"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// checked is a setup as a keeper wants to know it, of this or of another text.
func checked(f *flags, s *setup) (*supervisor.CheckResult, error) {
	flat, err := flatten(f)
	if err != nil {
		return nil, err
	}
	c := &supervisor.CheckResult{
		Format: handoff.Format, Version: version(), Name: s.Name, MemoryMB: s.MemoryMB, Descriptors: s.Limits.MaxDescriptors,
		LongestMS: s.Limits.MaxRequestTimeout.Milliseconds(), Sockets: map[string]string{"listen": s.Listen}, Flat: flat, Digest: upgrade.Digest(flat),
	}
	if g := s.operator.Gateway; g != nil {
		c.Sockets["gateway"] = g.Listen
	}
	if m := s.operator.Membership; m != nil {
		c.Sockets["members"] = m.Listen
	}
	return c, nil
}

// flatten reads the files of a setup as flat keys.
func flatten(f *flags) (map[string]string, error) {
	flat := map[string]string{}
	text, err := os.ReadFile(cmp.Or(f.over.File, os.Getenv("LB_CONFIG")))
	if err != nil {
		return nil, err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	delete(config, "known") // a keeper has no use for it
	if err := upgrade.Flatten("config", config, flat); err != nil {
		return nil, err
	}
	path := cmp.Or(f.operator, os.Getenv("LB_OPERATOR"), operatorconfig.DefaultPath)
	if text, err = os.ReadFile(path); err == nil {
		var own map[string]any
		if err := yaml.Unmarshal(text, &own); err != nil {
			return nil, err
		}
		if err := upgrade.Flatten("operator", own, flat); err != nil {
			return nil, err
		}
	}
	return flat, nil
}

// programDigest is that of the program, as the keeper has told it.
func programDigest() uint32 {
	sum, _ := strconv.ParseUint(os.Getenv(upgradeagent.EnvProgram), 16, 64)
	return uint32(sum)
}

func checkCommand(f *flags) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "check", Short: "Read and check the configuration and the operator's file, then end", Args: cobra.NoArgs}
	c.Flags().BoolVar(&asJSON, "json", false, "print what a keeper wants to know")
	c.RunE = func(*cobra.Command, []string) error {
		s, err := f.load()
		if err != nil {
			return err
		}
		if !asJSON {
			fmt.Println("configuration of", s.Name, "is good")
			return nil
		}
		out, err := checked(f, s)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(out)
	}
	return c
}
