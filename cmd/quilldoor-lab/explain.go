package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"quilldoor/internal/eventlog"
)

// explainCommand prints the events of one request.
func explainCommand() *cobra.Command {
	const requestFlag = "txn"
	var request string
	command := &cobra.Command{
		Use:   "explain FILE",
		Short: "Print the events of one request and its attempts from an event log",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return explain(args[0], request) },
	}
	command.Flags().StringVar(&request, requestFlag, "", "ID of the request")
	if err := command.MarkFlagRequired(requestFlag); err != nil {
		panic(err) // not reached: the flag is defined above
	}
	return command
}

// explain prints the events of a request from an event log, each with its time in the run and since
// the request's first event.
func explain(path, request string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	found := false
	var first int64
	decoder := json.NewDecoder(bufio.NewReaderSize(file, logBufferBytes))
	for line := 1; ; line++ {
		var entry eventlog.Entry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if entry.Request != request {
			continue
		}
		if !found {
			found = true
			first = entry.At
		}
		fmt.Printf("%12.6f s %+10.3f ms  %s\n",
			float64(entry.At)/microsPerSecond, float64(entry.At-first)/microsPerMilli, describe(&entry))
	}
	if !found {
		return fmt.Errorf("%s: no events of request %q", path, request)
	}
	return nil
}

// describe returns a short description of an event.
func describe(entry *eventlog.Entry) string {
	switch entry.Kind {
	case eventlog.KindReceived:
		return fmt.Sprintf("router %d accepts it: %s of %s, group %d, %d ms left",
			entry.Router, entry.Class, entry.Object, entry.Group, (entry.Deadline-entry.At)/microsPerMilli)
	case eventlog.KindSent:
		text := fmt.Sprintf("attempt %d is sent to %s", entry.Attempt, entry.Endpoint)
		if entry.Source != "" && entry.Source != entry.Endpoint {
			text += ", filled from " + entry.Source
		}
		return text
	case eventlog.KindArrived:
		return fmt.Sprintf("attempt %d arrives at %s", entry.Attempt, entry.Endpoint)
	case eventlog.KindRan:
		return fmt.Sprintf("attempt %d runs at %s", entry.Attempt, entry.Endpoint)
	case eventlog.KindEffect:
		return fmt.Sprintf("attempt %d has taken effect at %s", entry.Attempt, entry.Endpoint)
	case eventlog.KindEnded:
		return fmt.Sprintf("attempt %d ends: %s", entry.Attempt, entry.Outcome)
	case eventlog.KindAnswered:
		return "answered: " + entry.Outcome
	case eventlog.KindClientTimedOut:
		return "the client's deadline has passed"
	}
	return string(entry.Kind)
}
