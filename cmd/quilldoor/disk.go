package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/diskcache/diskstore"
)

var errUnsound = errors.New("not sound")

// diskCommand looks into the folder of a disk tier. It only reads.
func diskCommand() *cobra.Command {
	c := &cobra.Command{Use: "disk", Short: "Look into the folder of a disk tier; reads only"}
	look := func(deep bool) func(*cobra.Command, []string) error {
		return func(_ *cobra.Command, args []string) error {
			r, err := diskstore.Inspect(diskstore.Dir{Path: args[0], ReadOnly: true}, deep)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			report(os.Stdout, r, deep)
			if !r.Intact() {
				return fmt.Errorf("%s: %w: %d records broken, %d with slots of others", args[0], errUnsound, r.CorruptRecords, r.OverlappingRecords)
			}
			return nil
		}
	}
	c.AddCommand(
		&cobra.Command{
			Use: "check PATH", Short: "Read every record and tell whether all are sound; exit code 1: not",
			Args: cobra.ExactArgs(1), RunE: look(true),
		},
		&cobra.Command{Use: "stat PATH", Short: "Tell what the index says is there", Args: cobra.ExactArgs(1), RunE: look(false)})
	return c
}

func report(to io.Writer, r *diskstore.Report, deep bool) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	defer w.Flush()
	line := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	line("parts", r.Parts)
	line("bytes of records", r.RecordBytes)
	line("slots used", fmt.Sprintf("%d of %d bytes", r.SlotsUsed, r.SlotBytes))
	line("pieces", r.Extents)
	line("data file", r.DataBytes)
	line("index", fmt.Sprintf("%d, %d bytes, %d frames, %d bad", r.IndexNumber, r.IndexBytes, r.Frames, r.BadFrames))
	if r.Parts > 0 {
		line("given out", time.UnixMilli(r.OldestIssuedMillis).UTC().Format(time.DateTime)+" to "+
			time.UnixMilli(r.NewestIssuedMillis).UTC().Format(time.DateTime))
	}
	line("slots of two", r.OverlappingRecords)
	if deep {
		line("broken", r.CorruptRecords)
		for _, rule := range slices.Sorted(maps.Keys(r.PartsByClass)) {
			line("parts of "+rule, r.PartsByClass[rule])
		}
	}
}
