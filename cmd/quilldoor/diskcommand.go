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

var errCorrupt = errors.New("not sound")

// diskCommand looks into the folder of a disk cache. It only reads.
func diskCommand() *cobra.Command {
	c := &cobra.Command{Use: "disk", Short: "Look into the folder of a disk cache; reads only"}
	c.AddCommand(
		&cobra.Command{
			Use: "check PATH", Short: "Read every record and tell whether all are intact; exit code 1: not", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return inspectDisk(args[0], true) },
		},
		&cobra.Command{
			Use: "stat PATH", Short: "Tell what the index says is there", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return inspectDisk(args[0], false) },
		},
	)
	return c
}

func inspectDisk(path string, readRecords bool) error {
	report, err := diskstore.Inspect(diskstore.Dir{Path: path, ReadOnly: true}, readRecords)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	printDiskReport(os.Stdout, report, readRecords)
	if !report.Intact() {
		return fmt.Errorf("%s: %w: %d records corrupt, %d with slots of others",
			path, errCorrupt, report.CorruptRecords, report.OverlappingRecords)
	}
	return nil
}

func printDiskReport(to io.Writer, report *diskstore.Report, readRecords bool) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	defer w.Flush()
	line := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	line("parts", report.Parts)
	line("bytes of records", report.RecordBytes)
	line("slots used", fmt.Sprintf("%d of %d bytes", report.SlotsUsed, report.SlotBytes))
	line("extents", report.Extents)
	line("data file", report.DataBytes)
	line("index", fmt.Sprintf("%d, %d bytes, %d frames, %d bad",
		report.IndexNumber, report.IndexBytes, report.Frames, report.BadFrames))
	if report.Parts > 0 {
		oldest, newest := time.UnixMilli(report.OldestIssuedMillis), time.UnixMilli(report.NewestIssuedMillis)
		line("issued", oldest.UTC().Format(time.DateTime)+" to "+newest.UTC().Format(time.DateTime))
	}
	line("overlapping records", report.OverlappingRecords)
	if !readRecords {
		return
	}
	line("corrupt records", report.CorruptRecords)
	for _, class := range slices.Sorted(maps.Keys(report.PartsByClass)) {
		line("parts of "+class, report.PartsByClass[class])
	}
}
