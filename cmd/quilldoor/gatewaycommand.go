package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/gateway"
	"quilldoor/internal/operatorconfig"
)

var errNoStatusFile = errors.New("gateway.status_file is not set; name the file with --file")

// gatewayCommand returns the command 'gateway', which shows the status of a running router's
// gateway.
func gatewayCommand(f *flags) *cobra.Command {
	var file string
	status := &cobra.Command{
		Use: "status", Short: "Show the peers, their state and capacity, and the requests in flight there", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			status, err := readGatewayStatus(f, file)
			if err != nil {
				return err
			}
			printGatewayStatus(status)
			return nil
		},
	}
	status.Flags().StringVar(&file, "file", "", "status file (default: gateway.status_file of the operator's file)")
	c := &cobra.Command{Use: "gateway", Short: "Inspect a running router's gateway"}
	c.AddCommand(status)
	return c
}

func readGatewayStatus(f *flags, file string) (*gateway.Status, error) {
	if file == "" {
		operator, err := operatorconfig.Load(f.operatorFile, os.Getenv)
		if err != nil {
			return nil, err
		}
		if operator.Gateway == nil || operator.Gateway.StatusFile == "" {
			return nil, errNoStatusFile
		}
		file = operator.Gateway.StatusFile
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var status gateway.Status
	if err := json.Unmarshal(text, &status); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &status, nil
}

func printGatewayStatus(status *gateway.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	age := time.Since(time.UnixMilli(status.WrittenAtMS)).Seconds()
	fmt.Fprintf(w, "%s of %s, %.1f s ago: %d requests in flight at peers, %d of peers here, "+
		"capacity for %d more; taken %d, rejected %d\n",
		status.Name, status.Site, age, status.ForwardedInFlight, status.InboundInFlight,
		status.OfferedCapacity, status.Taken, status.Rejected)
	fmt.Fprintln(w, "peer\tsite\tstate\tcapacity\tin flight\tlimit\t"+
		"forwarded\tcompleted\trejected\taborted\tconnection lost\tstale\tlate")
	for _, peer := range status.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			peer.Name, peer.Site, peer.State, peer.Capacity, peer.InFlight, peer.Limit,
			peer.Forwarded, peer.Completed, peer.Rejected, peer.Aborted, peer.ConnectionLost, peer.Stale, peer.Late)
	}
}

// keysCommand returns the command 'keys', which makes certificates for trials.
func keysCommand() *cobra.Command {
	const defaultLifetime = 30 * 24 * time.Hour
	var dir string
	var lifetime time.Duration
	c := &cobra.Command{
		Use: "keys NAME...", Short: "Make a certificate authority, and a certificate and key for each name, for trials", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error { return gateway.MakeKeys(dir, names, lifetime) },
	}
	c.Flags().StringVar(&dir, "out", ".", "folder for ca.pem, NAME.pem and NAME.key")
	c.Flags().DurationVar(&lifetime, "lasts", defaultLifetime, "how long the certificates are valid")
	return c
}
