package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"quilldoor/internal/handoff"
	"quilldoor/internal/supervisor"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// checkCommand returns the command 'check', which checks the configuration. A supervisor
// runs it with --json before an upgrade to another program or other settings.
func checkCommand(f *flags) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "check", Short: "Check the configuration and the operator's file", Args: cobra.NoArgs,
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON, for a supervisor")
	c.RunE = func(*cobra.Command, []string) error {
		config, err := f.load()
		if err != nil {
			return err
		}
		if !asJSON {
			fmt.Println("configuration of", config.Name, "is good")
			return nil
		}
		result, err := checkResult(f, config)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	return c
}

// checkResult describes this program and its configuration to a supervisor.
func checkResult(f *flags, config *startConfig) (*supervisor.CheckResult, error) {
	flat, err := flatten(f)
	if err != nil {
		return nil, err
	}
	result := &supervisor.CheckResult{
		Format:      handoff.Format,
		Version:     version(),
		Name:        config.Name,
		MemoryMB:    config.MemoryMB,
		Descriptors: config.Limits.MaxDescriptors,
		LongestMS:   config.Limits.MaxRequestTimeout.Milliseconds(),
		Sockets:     map[string]string{socketClients: config.Listen},
		Flat:        flat,
		Digest:      upgrade.Digest(flat),
	}
	if gateway := config.operator.Gateway; gateway != nil {
		result.Sockets[socketGateway] = gateway.Listen
	}
	if members := config.operator.Membership; members != nil {
		result.Sockets[socketMembers] = members.Listen
	}
	return result, nil
}

// flatten reads the platform's and the operator's files, and returns their values as text
// by flat key.
func flatten(f *flags) (map[string]string, error) {
	flat := map[string]string{}
	if err := flattenPlatform(f.platformPath(), flat); err != nil {
		return nil, err
	}
	if err := flattenOperator(f.operatorPath(), flat); err != nil {
		return nil, err
	}
	return flat, nil
}

func flattenPlatform(path string, flat map[string]string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	delete(document, "known") // the initial endpoint list is not a setting
	return upgrade.Flatten("config", document, flat)
}

func flattenOperator(path string, flat map[string]string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil // an absent file configures nothing; load has rejected one that can't be read
	}
	var document map[string]any
	if err := yaml.Unmarshal(text, &document); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return upgrade.Flatten("operator", document, flat)
}

// programDigest returns the lower half of this program's digest, which the supervisor
// passes in the environment; 0: unknown.
func programDigest() uint32 {
	const base = 16
	digest, err := strconv.ParseUint(os.Getenv(upgradeagent.EnvProgram), base, 64)
	if err != nil {
		return 0
	}
	return uint32(digest)
}
