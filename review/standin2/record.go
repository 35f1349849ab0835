package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// newRecord makes the record of a case anew.
func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// note writes a line with the milliseconds since the start of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	fmt.Fprintf(r.out, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, text)
}

// say writes a line to the record and to the terminal.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record.txt:", err)
	}
	r.file.Close()
}
