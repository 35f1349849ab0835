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

// checkCommand checks the configuration. A supervisor runs it by --json for another
// program or other settings.
func checkCommand(f *flags) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "check", Short: "Read and check the configuration and the operator's file, then end", Args: cobra.NoArgs,
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print what a supervisor wants to know")
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

// flatten reads the configuration's files as flat keys.
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
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	delete(keys, "known") // the endpoint list at the start is no setting
	return upgrade.Flatten("config", keys, flat)
}

func flattenOperator(path string, flat map[string]string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil // an absent file turns all off; one that can't be read ends the start before
	}
	var keys map[string]any
	if err := yaml.Unmarshal(text, &keys); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return upgrade.Flatten("operator", keys, flat)
}

// programDigest is the lower half of the program's digest, as the supervisor told it; 0:
// unknown.
func programDigest() uint32 {
	const base = 16
	sum, err := strconv.ParseUint(os.Getenv(upgradeagent.EnvProgram), base, 64)
	if err != nil {
		return 0
	}
	return uint32(sum)
}
