package main

import (
	"errors"

	"github.com/spf13/cobra"
)

func demoCommand() *cobra.Command {
	return &cobra.Command{Use: "demo", RunE: func(*cobra.Command, []string) error { return errors.New("not there yet") }}
}
