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

var errCorrupt = errors.New("the disk cache is corrupt")

// diskCommand returns the command 'disk', which inspects the folder of a disk cache without
// changing it.
func diskCommand() *cobra.Command {
	c := &cobra.Command{Use: "disk", Short: "Inspect the folder of a disk cache, without changing it"}
	c.AddCommand(
		&cobra.Command{
			Use: "check PATH", Short: "Read every record and check that all are intact; exit code 1 if not", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return inspectDisk(args[0], true) },
		},
		&cobra.Command{
			Use: "stat PATH", Short: "Summarize the content by the index alone", Args: cobra.ExactArgs(1),
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
		return fmt.Errorf("%s: %w: %d corrupt records, %d records that overlap others",
			path, errCorrupt, report.CorruptRecords, report.OverlappingRecords)
	}
	return nil
}

func printDiskReport(output io.Writer, report *diskstore.Report, readRecords bool) {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	defer w.Flush()
	printRow := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	printRow("parts", report.Parts)
	printRow("bytes of records", report.RecordBytes)
	printRow("slots used", fmt.Sprintf("%d of %d bytes", report.SlotsUsed, report.SlotBytes))
	printRow("extents", report.Extents)
	printRow("data file", report.DataBytes)
	printRow("index", fmt.Sprintf("%d, %d bytes, %d frames, %d bad",
		report.IndexNumber, report.IndexBytes, report.Frames, report.BadFrames))
	if report.Parts > 0 {
		oldest, newest := time.UnixMilli(report.OldestIssuedMillis), time.UnixMilli(report.NewestIssuedMillis)
		printRow("issued", oldest.UTC().Format(time.DateTime)+" to "+newest.UTC().Format(time.DateTime))
	}
	printRow("overlapping records", report.OverlappingRecords)
	if !readRecords {
		return
	}
	printRow("corrupt records", report.CorruptRecords)
	for _, class := range slices.Sorted(maps.Keys(report.PartsByClass)) {
		printRow("parts of "+class, report.PartsByClass[class])
	}
}
